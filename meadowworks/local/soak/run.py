"""One run of the soak: start, faults beside calls, a calm end, and the judgement."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from meadowworks.coordination.commands import AcquireLock, IssueNumber, PutCell
from meadowworks.local.soak.application import Application
from meadowworks.local.soak.callers import CallerFactory
from meadowworks.local.soak.control_plane import ControlPlane
from meadowworks.local.soak.disk_load import load_disk
from meadowworks.local.soak.faults import FaultRunner
from meadowworks.local.soak.large_state import put_large_values, read_slowly
from meadowworks.local.soak.report import SoakReport, find_tracebacks, find_unanswered_kinds
from meadowworks.local.soak.side_traffic import change_configuration, run_backends
from meadowworks.local.system import SystemLayout
from meadowworks.simulation.coordination.caller import Caller
from meadowworks.simulation.coordination.history import (
    Call,
    CallHistory,
    HistoryBounds,
    ReadCellCall,
    WatchGroupCall,
)
from meadowworks.simulation.coordination.judge import judge
from meadowworks.simulation.coordination.key_callers import WatchCaller
from meadowworks.simulation.event_scheduler import SECOND

READY_TIMEOUT_S = 30.0  # for all nodes to start and become members
READY_POLL_INTERVAL_S = 0.2
HISTORY_S = 20  # the default of `bounds.historyS`
RECOVERY_S = 15
FINAL_OUTAGE_RATE = 0.5  # of runs that end with the loss of all nodes at once
JUDGED_KINDS = (AcquireLock, IssueNumber, PutCell, ReadCellCall, WatchGroupCall)


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What to run, and for how long.

    :ivar seconds: the time during which faults begin.
    :ivar state_mb: the size of the values that are put before the faults.
    :ivar slow_readers: how many clients read these values slowly.
    :ivar has_disk_load: whether another writer uses the disk of the nodes.
    """

    seed: int
    seconds: float
    callers: int
    state_mb: int = 0
    slow_readers: int = 0
    has_disk_load: bool = False


class SoakRun:
    """A run in a folder of its own."""

    def __init__(self, options: SoakOptions, layout: SystemLayout, folder: Path) -> None:
        self._options = options
        self._random = random.Random(options.seed)
        self._control_plane = ControlPlane(layout, folder, random.Random(f"{options.seed}.settings"))
        self._layout, self._folder = layout, folder
        self._calls: list[Call] = []
        bounds = HistoryBounds(HISTORY_S * SECOND, RECOVERY_S * SECOND)
        self._report = SoakReport(options.seed, folder, CallHistory(bounds, self._calls))
        self._started_ns = time.monotonic_ns()

    async def run(self) -> SoakReport:
        """Run, and judge what was seen. All processes have ended afterwards, also after an error."""
        try:
            self._control_plane.start_nodes()
            if await self._wait_until_ready():
                await self._control_plane.start_proxies()
                await self._put_large_values()
                await self._disturb_and_close()
            else:
                self._report.problems.append(f"not all nodes are members after {READY_TIMEOUT_S:g} s")
            self._control_plane.check_processes()
        finally:
            self._control_plane.close()
            self._report.write_files(self._started_ns)
        self._judge()
        return self._report

    async def _wait_until_ready(self) -> bool:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if await self._control_plane.count_members() == self._layout.control_plane_nodes:
                return True
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        return False

    async def _put_large_values(self) -> None:
        addresses, rng = self._control_plane.addresses, random.Random(f"{self._options.seed}.large")
        if not await put_large_values(addresses, self._options.state_mb, rng):
            self._report.problems.append("a large value was not acknowledged before the faults")

    async def _disturb_and_close(self) -> None:
        factory = CallerFactory(self._options.seed, self._control_plane.application_addresses, self._calls)
        callers = factory.busy_callers(self._options.callers)
        async with self._side_traffic():
            async with self._running(callers):
                await self._run_faults()
            self._report.history.closing_ns = time.monotonic_ns()
            watchers = [caller for caller in callers if isinstance(caller, WatchCaller)]
            async with self._running(factory.closing_callers(watchers)) as tasks:
                await asyncio.wait(tasks, timeout=RECOVERY_S)
        self._report.closing_s = (time.monotonic_ns() - self._report.history.closing_ns) / SECOND

    async def _run_faults(self) -> None:
        faults = FaultRunner(self._control_plane, self._random, self._record)
        await faults.run(time.monotonic() + self._options.seconds)
        if self._random.random() < FINAL_OUTAGE_RATE:
            await faults.kill_all()

    @asynccontextmanager
    async def _side_traffic(self) -> AsyncIterator[None]:
        """Run configuration changes, backends, slow readers and load on the disk meanwhile."""
        addresses = self._control_plane.addresses
        changes = change_configuration(addresses, random.Random(f"{self._options.seed}.changes"))
        backends = run_backends(self._layout, addresses, random.Random(f"{self._options.seed}.backends"))
        rng = random.Random(f"{self._options.seed}.slow")
        readers = [read_slowly(addresses, rng) for _ in range(self._options.slow_readers)]
        disk_load = [load_disk(self._folder)] if self._options.has_disk_load else []
        tasks = [asyncio.create_task(work) for work in (changes, backends, *readers, *disk_load)]
        try:
            yield
        finally:
            await cancel_all(tasks)
            failures = [task.exception() for task in tasks if not task.cancelled()]
            self._report.problems += [f"side traffic failed: {failure!r}" for failure in failures]

    @asynccontextmanager
    async def _running(self, callers: Sequence[Caller]) -> AsyncIterator[list[asyncio.Task[None]]]:
        """Run callers meanwhile as applications, whose tasks it yields, and stop them afterwards."""
        applications = [Application(caller) for caller in callers]
        tasks = [asyncio.create_task(application.run()) for application in applications]
        try:
            yield tasks
            for application in applications:
                application.stop()
            await asyncio.gather(*tasks)
        finally:
            await cancel_all(tasks)
            for application in applications:
                self._report.problems += application.unexpected_responses

    def _record(self, line: str) -> None:
        seconds = (time.monotonic_ns() - self._started_ns) / SECOND
        self._report.faults.append(f"{datetime.now(UTC):%H:%M:%S.%f} {seconds:8.3f} {line}")

    def _judge(self) -> None:
        report = self._report
        report.violations += judge(report.history)
        report.problems += self._control_plane.problems
        report.problems += find_unanswered_kinds(self._calls, JUDGED_KINDS)
        report.warnings += find_tracebacks(self._control_plane.log_files())


async def cancel_all(tasks: Sequence[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
