"""Scenario: callers of coordination under overlapping faults, then a calm end."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from unittest import mock

from loguru import logger

from meadowworks.consensus import log_sender, replicated_log
from meadowworks.controlplane import coordination_service, replicated_state, watch_service
from meadowworks.coordination.commands import AcquireLock, IssueNumber
from meadowworks.simulation.control.cluster import Trace
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.scenario import ClusterScenario
from meadowworks.simulation.coordination.caller import Caller
from meadowworks.simulation.coordination.caller_driver import CallerDriver
from meadowworks.simulation.coordination.closing_caller import ClosingArguments, ClosingCaller
from meadowworks.simulation.coordination.coordination_process import CoordinationProcess
from meadowworks.simulation.coordination.faults import FAULTS, Faults
from meadowworks.simulation.coordination.history import (
    CallHistory,
    HistoryBounds,
    ReadCellCall,
    WatchGroupCall,
    group_of,
)
from meadowworks.simulation.coordination.judge import judge
from meadowworks.simulation.coordination.key_callers import NumberCaller, PutCaller, ReadCaller, WatchCaller
from meadowworks.simulation.coordination.lock_caller import LockCaller
from meadowworks.simulation.coordination.node_clock import simulated_clocks
from meadowworks.simulation.event_scheduler import MS, SECOND

PRODUCT_LOGGER = "meadowworks.controlplane"
TOLERATED_FAILURES = 2
HISTORY_S, RECOVERY_S = 3, 15  # a short history, so that events are discarded within a run
LOAD_START_NS, FAULTS_START_NS, FAULTS_END_NS = 3 * SECOND, 4 * SECOND, 24 * SECOND
FAULT_GAP_MS = (500, 6000)
CLOSING_HOLD_MS, CLOSING_WATCH_WAIT_MS = 100, 500
CALLER_START_WITHIN_NS = SECOND
# Limits of the product that a run would not reach: snapshots are written, logs are sent in pieces.
SMALL_LIMITS = (
    (replicated_state, "MAX_ENTRIES_SINCE_SNAPSHOT", 150),
    (replicated_log, "ENTRIES_KEPT_BEFORE_SNAPSHOT", 20),
    (log_sender, "MAX_PIECE_BYTES", 1024),
)
# Answers to watches end early during the load; a closing watch must reach the present with one answer.
SMALL_EVENT_CHARACTERS = 100
LOCKS = tuple(f"l{number}" for number in range(4))
NUMBERS = ("n0", "n1")
KEYS = tuple(f"g{group}.{key}" for group in range(2) for key in range(5))
GROUPS = tuple(sorted({group_of(key) for key in KEYS}))
LOCK_CALLERS, NUMBER_CALLERS, PUT_CALLERS, READ_CALLERS, WATCH_CALLERS = 8, 2, 5, 3, 4


@dataclass(frozen=True, slots=True)
class CoordinationResult:
    """The outcome of one scenario."""

    violations: list[str]
    outcomes: Counter[str]  # the number of calls by the name of their outcome


class CoordinationScenario:
    """A seeded run of five control planes with callers and faults."""

    def __init__(self, seed: int, trace: Trace | None = None) -> None:
        self._scenario = ClusterScenario(seed, trace, TOLERATED_FAILURES)
        self._cluster = self._scenario.cluster
        self._random = random.Random(seed + 3)
        self._processes: dict[str, CoordinationProcess] = {}
        self._addresses = [node.address for node in self._scenario.voters()]
        self._cluster.attach_service = self._attach_service
        self._history = CallHistory(HistoryBounds(HISTORY_S * SECOND, RECOVERY_S * SECOND))
        self._callers: list[Caller] = []
        self._watchers: list[WatchCaller] = []

    def run(self) -> CoordinationResult:
        """Run the load with faults and the calm end, and judge the calls."""
        with ExitStack() as stack:
            stack.enter_context(simulated_clocks())
            stack.enter_context(mock.patch.object(coordination_service, "random", self._child_random()))
            for module, constant, value in SMALL_LIMITS:
                stack.enter_context(mock.patch.object(module, constant, value))
            stack.enter_context(product_logs_disabled())
            with mock.patch.object(watch_service, "MAX_EVENT_CHARACTERS", SMALL_EVENT_CHARACTERS):
                self._run_load()
            self._run_closing()
            self._stop()
        violations = [str(violation) for violation in judge(self._history)]
        outcomes = Counter(type(call.outcome).__name__ for call in self._history.calls)
        return CoordinationResult(violations + self._scenario.checker.messages, outcomes)

    def _run_load(self) -> None:
        scheduler = self._cluster.scheduler
        self._create_callers()
        scheduler.call_at(LOAD_START_NS, partial(self._start_callers, self._callers))
        self._faults = Faults(self._scenario)
        scheduler.call_at(FAULTS_START_NS, self._next_fault)
        scheduler.run_until(FAULTS_END_NS)

    def _run_closing(self) -> None:
        """End all faults and callers, then make the closing calls."""
        start_ns = self._cluster.now + self._faults.end()
        for caller in self._callers:
            caller.stop(self._cluster.now)
        self._cluster.scheduler.run_until(start_ns)
        self._history.closing_ns = start_ns
        self._closing_callers = self._create_closing_callers()
        self._start_callers(self._closing_callers)
        self._cluster.scheduler.run_until(start_ns + RECOVERY_S * SECOND)

    def _stop(self) -> None:
        for caller in self._closing_callers:
            caller.stop(self._cluster.now)
        for node in self._scenario.nodes.values():
            node.stop(power_lost=False)
            node.disk.remove()
        for process in self._processes.values():
            process.close()

    # -- the machines

    def _attach_service(self, node: SimulatedControlPlaneNode) -> None:
        if (ended := self._processes.get(node.address)) is not None:
            ended.close()
        self._processes[node.address] = CoordinationProcess(node, self._processes, HISTORY_S)
        if node.voting and node.address not in self._addresses:
            self._addresses.append(node.address)

    def _next_fault(self) -> None:
        if self._cluster.now < FAULTS_END_NS:
            self._faults.inject(self._random.choice(FAULTS))
            wait_ns = self._random.randrange(*FAULT_GAP_MS) * MS
            self._cluster.scheduler.call_later(wait_ns, self._next_fault)

    # -- the callers

    def _child_random(self) -> random.Random:
        return random.Random(self._random.getrandbits(64))

    def _start_callers(self, callers: Sequence[Caller]) -> None:
        for caller in callers:
            driver = CallerDriver(self._cluster, self._processes, caller, self._child_random())
            self._cluster.scheduler.call_later(self._random.randrange(CALLER_START_WITHIN_NS), driver.start)

    def _create_callers(self) -> None:
        addresses, calls = self._addresses, self._history.calls
        for number in range(LOCK_CALLERS):
            name = f"lock{number}"
            self._callers.append(LockCaller(name, addresses, self._child_random(), calls, LOCKS))
        for number in range(NUMBER_CALLERS):
            name = f"number{number}"
            self._callers.append(NumberCaller(name, addresses, self._child_random(), calls, NUMBERS))
        for number in range(PUT_CALLERS):
            name = f"put{number}"
            self._callers.append(PutCaller(name, addresses, self._child_random(), calls, KEYS))
        for number in range(READ_CALLERS):
            name = f"read{number}"
            self._callers.append(ReadCaller(name, addresses, self._child_random(), calls, KEYS))
        for number in range(WATCH_CALLERS):
            group = GROUPS[number % len(GROUPS)]
            name = f"watch{number}"
            self._watchers.append(WatchCaller(name, addresses, self._child_random(), calls, group))
        self._callers += self._watchers

    def _create_closing_callers(self) -> list[Caller]:
        wanted: list[tuple[str, ClosingArguments]] = []
        wanted += [("closing", AcquireLock(name, "closing", CLOSING_HOLD_MS)) for name in LOCKS]
        wanted += [("closing", IssueNumber(name)) for name in NUMBERS]
        wanted += [("closing", ReadCellCall(name)) for name in KEYS]
        for watcher in self._watchers:
            arguments = WatchGroupCall(watcher.group, watcher.saved_revision, CLOSING_WATCH_WAIT_MS)
            wanted.append((watcher.name, arguments))
        return [
            ClosingCaller(name, self._addresses, self._child_random(), self._history.calls, arguments)
            for name, arguments in wanted
        ]


@contextmanager
def product_logs_disabled() -> Iterator[None]:
    """Write no log lines of the product within the context; the trace has what matters."""
    logger.disable(PRODUCT_LOGGER)
    try:
        yield
    finally:
        logger.enable(PRODUCT_LOGGER)


def run_coordination_scenario(seed: int, trace: Trace | None = None) -> CoordinationResult:
    """Run the scenario of a seed."""
    return CoordinationScenario(seed, trace).run()
