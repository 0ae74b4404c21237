"""Runs a deployment for some simulated seconds and measures its cost."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from cProfile import Profile
from dataclasses import replace
from typing import Any

from meadowworks.simulation.event_scheduler import SECOND
from meadowworks.simulation.scale.churn import Churn
from meadowworks.simulation.scale.configuration_changes import ConfigurationChanges
from meadowworks.simulation.scale.deployment import Deployment
from meadowworks.simulation.scale.heartbeats import Heartbeats
from meadowworks.simulation.scale.losses import Losses
from meadowworks.simulation.scale.pulls import Pulls
from meadowworks.simulation.scale.results import RunPeriod, collect_results, traffic_increase
from meadowworks.simulation.scale.scheduler import MemoryLimitError, SimulatedNode
from meadowworks.simulation.scale.settings import Loss, ScaleSettings

WARM_UP_S = 2.5  # simulated time before the measurement
HOUR_S = 3600.0
FIRST_EVENT_NS = SECOND // 2  # after the warm-up; less if the interval of the events is shorter
MAX_WAIT_FACTOR = 10  # multiple of the measured seconds to wait for proxies to apply a configuration

Progress = Callable[[str], None]


def ignore_progress(_line: str) -> None:
    """Discard a line of progress."""


class ScaleSimulation:
    """One run; `ended_early` is the reason if it was not completed, else empty."""

    def __init__(self, settings: ScaleSettings, progress: Progress = ignore_progress) -> None:
        self.settings = settings
        self.deployment = Deployment(settings, progress)
        self.losses = Losses(self.deployment)
        self.changes = ConfigurationChanges(self.deployment)
        self.pulls = Pulls(self.deployment, self.losses.on_answered, self._on_configuration)
        self.heartbeats = Heartbeats(self.deployment)
        self.churn = Churn(self.deployment, self.pulls, self.heartbeats)
        self.profiles: dict[str, Profile] = {}  # by role, as named in the JSON
        self.ended_early = ""
        self._counted_since_ns = self._counted_until_ns = self.deployment.now

    def _on_configuration(self, node: SimulatedNode, version: int) -> None:
        self.losses.on_applied(node)
        self.changes.on_applied(node, version)

    def run(self) -> bool:
        """Run the deployment and return whether the run was completed."""
        if self.settings.profile:
            self._start_profiles()
        with _frozen_heap():
            try:
                self._run_events()
            except KeyboardInterrupt:
                self.ended_early = "ended by hand"
            except MemoryLimitError:
                self.ended_early = f"it took more than {self.settings.most_mb:g} MB"
            finally:
                self._counted_until_ns = self.deployment.now
        return not self.ended_early

    def _start_profiles(self) -> None:
        self.profiles = {"junction": Profile(), "signalbox": Profile()}
        for proxy in self.deployment.proxies:
            proxy.node.meter.profile = self.profiles["junction"]
        for control_plane in self.deployment.control_planes:
            control_plane.node.meter.profile = self.profiles["signalbox"]

    def _run_events(self) -> None:
        deployment, scheduler = self.deployment, self.deployment.scheduler
        self._start_all()
        scheduler.run_until(deployment.now + int(WARM_UP_S * SECOND))
        for node in self._nodes():
            node.meter.clear()
        self._counted_since_ns = deployment.now
        scheduler.run_until(deployment.now + int(self.settings.seconds * SECOND), report_progress=True)
        if self.settings.changes:
            self._wait_for_changes()

    def _nodes(self) -> Iterator[SimulatedNode]:
        for control_plane in self.deployment.control_planes:
            yield control_plane.node
        for proxy in self.deployment.all_proxies():
            yield proxy.node

    def _start_all(self) -> None:
        """Start all programs and events, each at a random time."""
        deployment, settings = self.deployment, self.settings
        for control_plane in deployment.control_planes:
            self.pulls.start_control_plane(control_plane)
        for proxy in deployment.proxies:
            self.pulls.start_proxy(proxy)
        for stub in deployment.stubs:
            self.pulls.start_stub(stub)
        for instance in deployment.backends:
            self.heartbeats.start(instance)
        if settings.changes:
            self._start_repeated(settings.changes, lambda gap_ns: self.changes.send(2, gap_ns))
        if settings.loss:
            loss = Loss(settings.loss)
            loss_ns = int((WARM_UP_S + 1) * SECOND)
            deployment.scheduler.call_later(loss_ns, lambda: self.losses.inject(loss, self.pulls, self.churn))
        if settings.churn:
            self._start_repeated(settings.churn, self.churn.replace_random_instance)

    def _start_repeated(self, per_hour: float, begin: Callable[[int], None]) -> None:
        interval_ns = int(HOUR_S / per_hour * SECOND)
        first_ns = int(WARM_UP_S * SECOND) + min(interval_ns, FIRST_EVENT_NS)
        self.deployment.scheduler.call_later(first_ns, lambda: begin(interval_ns))

    def _wait_for_changes(self) -> None:
        """Continue until all proxies have applied the changes, to measure the slowest."""
        deployment, scheduler = self.deployment, self.deployment.scheduler
        longest_ns = MAX_WAIT_FACTOR * self.settings.seconds * SECOND
        counted_until_ns = self._counted_since_ns + int(self.settings.seconds * SECOND)
        proxies = len(deployment.all_proxies())
        while scheduler.events and deployment.now - self._counted_since_ns < longest_ns:
            counted = [change for change in self.changes.changes if change.sent_ns < counted_until_ns]
            if all(len(change.applied_ns) >= proxies for change in counted):
                break
            scheduler.run_until(deployment.now + SECOND, report_progress=True)

    def result(self, complete: bool) -> dict[str, Any]:
        """Return the JSON object of the run."""
        period = RunPeriod(self._counted_since_ns, self._counted_until_ns)
        return collect_results(self, period, complete)


@contextmanager
def _frozen_heap() -> Iterator[None]:
    """Disable the garbage collector, which would scan the heaps of all programs during the work of one."""
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.unfreeze()


def measure(settings: ScaleSettings, progress: Progress = ignore_progress) -> dict[str, Any]:
    """Run once; with a loss, run again without it to measure the increase of traffic."""
    start_s = time.monotonic()
    simulation = ScaleSimulation(settings, progress)
    complete = simulation.run()
    result = simulation.result(complete)
    if settings.loss and complete:
        undisturbed = ScaleSimulation(replace(settings, loss="", memory=False), progress)
        result["complete"] = undisturbed.run()
        result["loss"]["more"] = traffic_increase(result["roles"], undisturbed.result(True)["roles"])
    result["process"]["took_s"] = time.monotonic() - start_s
    return result
