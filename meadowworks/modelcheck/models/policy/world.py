"""The world of the model: the controller with its host, the channel, and the possible steps."""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from typing import Any, NamedTuple

from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.policy.channel import ProxyState, SimulatedChannel
from meadowworks.modelcheck.models.policy.deployment import (
    BACKEND_WEIGHT,
    BACKEND_ZONES,
    BACKENDS,
    BATCH_NS,
    GONE,
    LISTED_STATES,
    NS_PER_S,
    READY,
    ROUTE_NAMES,
    SETTINGS,
    STALL_TICKS,
    START_NS,
    TICK_NS,
    UNANNOUNCED_BACKEND,
    backend_index,
    backend_name,
)
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry

CONTROLLER_SEED = 7
INITIAL_REQUEST_RATE = 10.0  # requests per second that a proxy states when it joins
ATTEMPTS_PER_REPORT = 20
NO_FAILURES, ALL_FAIL = -1, -2  # values for `deliver_backend_reports` in place of a backend
FEW_CALLS, MANY_CALLS = 2, 200  # request counts of a demand report
# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "tick": "advance_time",
    "stall": "stall_controller",
    "miss": "remove_backend_unannounced",
    "whole": "deliver_full_list",
    "list": "change_backend_state",
    "start": "start_backend",
    "report": "deliver_backend_reports",
    "ask": "deliver_demand_reports",
    "join": "join_proxy",
    "leave": "remove_proxy",
    "channel": "toggle_channel_stall",
}


class ListedBackend(NamedTuple):
    """A backend in the endpoint list."""

    state: str
    since_ns: int


class AdmissionSet(NamedTuple):
    """A step outcome: an admission that the controller set."""

    limit: float
    retry_policy: int


class PolicyWorld:
    """The controller, its host, the channel and the proxies.

    :ivar outcomes: the admissions that the last step set.
    :ivar listed: the actual state of the backends.
    :ivar removed_since_ns: by backend, when the controller was told that it is not ready.
    :ivar has_list: whether the controller has received the endpoint list.
    """

    def __init__(self, listed: bool = True) -> None:
        self.outcomes: list[tuple[Any, ...]] = []
        self.frozen = b""
        self.now_ns = START_NS
        initial = ListedBackend(READY, 0)
        self.listed = dict.fromkeys(BACKENDS, initial)
        self.removed_since_ns: dict[int, int] = {}
        self.updates = TableUpdates(ROUTE_NAMES, {backend: backend_name(backend) for backend in BACKENDS})
        self.channel = SimulatedChannel(self.now_ns)
        self.has_list = listed
        self.controller = Controller(self, SETTINGS, CONTROLLER_SEED, self.now_ns)
        if listed:
            self.controller.on_endpoints(self.now_ns, "disk", self._entries(BACKENDS))
        self._send_updates()

    def _entries(self, backends: Iterable[int]) -> list[EndpointEntry]:
        return [
            EndpointEntry(backend, BACKEND_ZONES[backend], *self.listed[backend], BACKEND_WEIGHT)
            for backend in backends
        ]

    # -- the controller's host

    def log(self, _line: str) -> None:
        """Discard a log line."""

    def watch_list(self, _on: bool) -> None:
        """Do nothing: steps deliver the changes of the list."""

    def check_health(self, _backend: int) -> None:
        """Reject a health check.

        :raises AssertionError: always, because the settings disable health checks.
        """
        raise AssertionError("the controller requested a health check although health checks are disabled")

    def release_backend(self, backend: int) -> None:
        """Assert that no table contains a released backend."""
        tables = self.updates.tables.values()
        assert not any(
            backend in table.weights for table in tables
        ), f"a table has released backend {backend}"

    def request_ack(self, nonce: int) -> None:
        """Set the nonce of this step's messages and queue its acknowledgement."""
        self.updates.nonce = nonce
        self.channel.pending_nonces.append(nonce)

    def set_timer(self, wait_ns: int) -> None:
        """Assert that the wait is one tick, as `advance_time` is the timer."""
        assert wait_ns == TICK_NS

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Set a backend's weight in a table."""
        assert weight >= 0
        self.updates.set_weight(table, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Assign a table to a proxy."""
        self.updates.assign_table(routes, proxy, table)

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Set the admission of a table's routes."""
        self.outcomes.append(AdmissionSet(limit, retry_policy))
        self.updates.set_admission(table, routes, limit, retry_policy)

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that can be taken in this state."""
        steps: list[Step] = [("tick",), ("stall",), ("whole",)]
        if self.listed[UNANNOUNCED_BACKEND].state != GONE:
            steps.append(("miss", UNANNOUNCED_BACKEND))
        for backend, (state, _) in self.listed.items():
            steps += [("list", backend, to) for to in LISTED_STATES[backend] if to != state]
        steps += [("start", 0), ("start", 1)]
        steps += [("report", 0), ("report", NO_FAILURES), ("report", ALL_FAIL)]
        steps += [("ask", FEW_CALLS), ("ask", MANY_CALLS)]
        for proxy in range(SETTINGS.proxy_count):
            steps.append(("leave", proxy) if proxy in self.channel.proxies else ("join", proxy))
        steps.append(("channel",))
        return steps

    def take_step(self, step: Step) -> None:
        """Take a step and send the resulting updates of the controller."""
        self.outcomes, self.frozen = [], b""
        self.now_ns += BATCH_NS
        kind, *arguments = step
        getattr(self, STEP_METHODS[kind])(*arguments)
        self._send_updates()

    def advance_time(self, ticks: int = 1) -> None:
        """Advance the time and run the controller's timer."""
        self.now_ns += TICK_NS * ticks
        self._deliver_acks()
        self.controller.tick(self.now_ns)

    def stall_controller(self) -> None:
        """Advance the time by several ticks, then run the controller's timer once."""
        self.advance_time(STALL_TICKS)

    def remove_backend_unannounced(self, backend: int) -> None:
        """Remove a backend without an announced change; the next full list omits it."""
        self.listed[backend] = ListedBackend(GONE, self.listed[backend].since_ns)

    def deliver_full_list(self) -> None:
        """Deliver the full endpoint list."""
        self.has_list = True
        for backend, (state, _) in self.listed.items():
            if state == GONE:
                self.removed_since_ns.setdefault(backend, self.now_ns)
        present = [backend for backend, (state, _) in self.listed.items() if state != GONE]
        self.controller.on_endpoints(self.now_ns, "whole", self._entries(present))

    def change_backend_state(self, backend: int, state: str) -> None:
        """Deliver a change of a backend's state."""
        self._deliver_change(backend, state, self.listed[backend].since_ns)

    def start_backend(self, backend: int) -> None:
        """Deliver the change that a backend has just restarted and is cold."""
        self._deliver_change(backend, READY, self.now_ns)

    def deliver_backend_reports(self, failing: int) -> None:
        """Deliver the reports of an interval in which every proxy used all of its backends.

        :param failing: the backend at which all attempts fail, `NO_FAILURES` or `ALL_FAIL`.
        """
        load = {"queue": 9.0} if failing == ALL_FAIL else {}
        for number, proxy in self.channel.proxies.items():
            for name in proxy.tables[0]:
                backend = backend_index(name)
                failures = ATTEMPTS_PER_REPORT if failing in (backend, ALL_FAIL) else 0
                report = AttemptReport(ATTEMPTS_PER_REPORT, failures, NS_PER_S // 10, NS_PER_S, dict(load))
                self.controller.on_backend_report(self.now_ns, number, backend, report)

    def deliver_demand_reports(self, calls: int) -> None:
        """Deliver a demand report for each route of each proxy."""
        for proxy in self.channel.proxies:
            for route in range(len(ROUTE_NAMES)):
                self.controller.on_demand_report(self.now_ns, proxy, route, calls, NS_PER_S)

    def join_proxy(self, proxy: int) -> None:
        """Let a proxy join in the zone that has its number."""
        self.channel.proxies[proxy] = ProxyState()
        self.updates.add_proxy(proxy)
        self.controller.on_proxy_joined(self.now_ns, proxy, proxy, INITIAL_REQUEST_RATE)

    def remove_proxy(self, proxy: int) -> None:
        """Let a proxy leave."""
        del self.channel.proxies[proxy]
        self.updates.remove_proxy(proxy)
        self.controller.on_proxy_left(self.now_ns, proxy)

    def toggle_channel_stall(self) -> None:
        """Let the channel stall or resume."""
        self.channel.is_stalled = not self.channel.is_stalled

    def _deliver_change(self, backend: int, state: str, since_ns: int) -> None:
        self.listed[backend] = ListedBackend(state, since_ns)
        if state == READY:
            self.removed_since_ns.pop(backend, None)
        else:
            self.removed_since_ns.setdefault(backend, self.now_ns)
        self.controller.on_endpoints(self.now_ns, "changes", self._entries([backend]))

    def _deliver_acks(self) -> None:
        if self.channel.is_stalled:
            return
        for nonce in self.channel.pending_nonces:
            self.controller.on_ack(self.now_ns, nonce)
        self.channel.pending_nonces.clear()

    def _send_updates(self) -> None:
        self.channel.send(self.now_ns, self.updates)
        self.channel.observe(self.now_ns, self.has_list and self._has_warm_backend())

    def _has_warm_backend(self) -> bool:
        return any(
            state == READY and self.now_ns - since_ns >= SETTINGS.slow_start_ns
            for state, since_ns in self.listed.values()
        )

    # -- states

    def freeze(self) -> bytes:
        """Return the pickled world, without the settings and the last step's outcomes."""
        if self.frozen:
            return self.frozen
        outcomes, self.outcomes = self.outcomes, []
        self.controller.settings = None  # type: ignore[assignment]
        try:
            self.frozen = pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
            return self.frozen
        finally:
            self.controller.settings, self.outcomes = SETTINGS, outcomes

    def key(self) -> bytes:
        """Return a value that is equal for worlds in the same state."""
        return self.freeze()


def thaw(state: bytes) -> PolicyWorld:
    """Rebuild a world from the result of `freeze`."""
    world: PolicyWorld = pickle.loads(state)
    world.controller.settings = SETTINGS
    return world
