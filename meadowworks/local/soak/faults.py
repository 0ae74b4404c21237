"""Disturbs the nodes of a control plane by seeded faults, one after another and overlapping."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable
from enum import Enum

from meadowworks.local.soak.control_plane import ControlPlane

GAP_S = (0.1, 2.5)  # between the starts of two faults
DOWN_S = (0.0, 3.0)  # between a node's end and its restart
ALL_DOWN_S = (0.0, 1.0)
FREEZE_S = (0.1, 4.0)
LEADER_RATE = 0.4  # of faults that hit the leader, if there is one
BEYOND_TOLERANCE_RATE = 0.05  # of faults that may make more nodes unavailable than are tolerated


class FaultKind(Enum):
    """The kinds of faults."""

    TERMINATE = "SIGTERM and restart"
    KILL = "SIGKILL and restart"
    FREEZE = "SIGSTOP and SIGCONT"
    RELOAD = "SIGHUP with changed settings"
    WIPE = "SIGKILL and restart with an empty disk"
    REPLACE = "SIGKILL and another node at another address"
    KILL_ALL = "SIGKILL of all nodes and restart"


FAULT_WEIGHTS = {
    FaultKind.TERMINATE: 6,
    FaultKind.KILL: 8,
    FaultKind.FREEZE: 10,
    FaultKind.RELOAD: 4,
    FaultKind.WIPE: 4,
    FaultKind.REPLACE: 3,
    FaultKind.KILL_ALL: 1,
}
LOSES_DISK = (FaultKind.WIPE, FaultKind.REPLACE)


class FaultRunner:
    """Draws faults and carries them out; a node has one fault at a time.

    :param record: called with a line for each step of a fault.
    """

    def __init__(
        self, control_plane: ControlPlane, rng: random.Random, record: Callable[[str], None]
    ) -> None:
        self._control_plane = control_plane
        self._random = rng
        self._record = record
        self._disturbed: set[int] = set()

    async def run(self, end_s: float) -> None:
        """Start faults until a time of the monotonic clock, and wait until all of them are over."""
        async with asyncio.TaskGroup() as faults:
            while time.monotonic() < end_s:
                await self._start_fault(faults)
                await asyncio.sleep(self._random.uniform(*GAP_S))

    async def kill_all(self) -> None:
        """Kill all nodes at once, and start them again."""
        nodes = [node for node in self._control_plane.nodes if node not in self._disturbed]
        self._disturbed.update(nodes)
        down_s = self._random.uniform(*ALL_DOWN_S)
        self._record(f"{FaultKind.KILL_ALL.value}: nodes {nodes}, down for {down_s:.1f} s")
        try:
            await asyncio.gather(*(self._control_plane.stop(node, signal.SIGKILL) for node in nodes))
            await asyncio.sleep(down_s)
            for node in nodes:
                self._control_plane.start(node)
            self._record(f"nodes {nodes} started")
        finally:
            self._disturbed.difference_update(nodes)

    async def _start_fault(self, faults: asyncio.TaskGroup) -> None:
        kind = self._random.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        if kind is FaultKind.KILL_ALL:
            faults.create_task(self.kill_all())
            return
        node = await self._choose_node()
        if node is not None and self._is_allowed(kind, node):
            self._disturbed.add(node)
            faults.create_task(self._disturb(kind, node))

    async def _choose_node(self) -> int | None:
        """Return a node without a fault, often the leader; None if there is none."""
        wants_leader = self._random.random() < LEADER_RATE
        leader = await self._control_plane.find_leader() if wants_leader else None
        free = [node for node in self._control_plane.nodes if node not in self._disturbed]
        if leader in free:
            return leader
        return self._random.choice(free) if free else None

    def _is_allowed(self, kind: FaultKind, node: int) -> bool:
        """Return whether a fault loses no more disks and, but for a few, no more nodes than are tolerated.

        Prevents a run in which a majority is missing most of the time, so that little is served and judged.
        """
        if kind is FaultKind.RELOAD:
            return True
        if kind is FaultKind.REPLACE and not self._control_plane.has_spare():
            return False
        lost_disks = self._control_plane.lost_disks
        if kind in LOSES_DISK and not lost_disks.may_lose(node, time.monotonic()):
            return False
        goes_beyond = self._random.random() < BEYOND_TOLERANCE_RATE
        return goes_beyond or self._control_plane.impaired_with(node) <= lost_disks.tolerated

    async def _disturb(self, kind: FaultKind, node: int) -> None:
        duration_s = self._random.uniform(*(FREEZE_S if kind is FaultKind.FREEZE else DOWN_S))
        self._record(f"{kind.value}: node {node}, for {duration_s:.1f} s")
        if kind in LOSES_DISK:
            self._control_plane.lost_disks.on_lost(node, time.monotonic())
        try:
            await self._carry_out(kind, node, duration_s)
        finally:
            self._disturbed.discard(node)

    async def _carry_out(self, kind: FaultKind, node: int, duration_s: float) -> None:
        match kind:
            case FaultKind.RELOAD:
                await self._control_plane.reload(node)
            case FaultKind.FREEZE:
                self._control_plane.freeze(node)
                await asyncio.sleep(duration_s)
                self._control_plane.thaw(node)
                self._record(f"node {node} continues")
            case FaultKind.TERMINATE:
                await self._restart(node, signal.SIGTERM, duration_s)
            case FaultKind.KILL:
                await self._restart(node, signal.SIGKILL, duration_s)
            case FaultKind.WIPE:
                await self._control_plane.stop(node, signal.SIGKILL)
                self._control_plane.wipe(node)
                await self._start_later(node, duration_s)
            case FaultKind.REPLACE:
                await self._control_plane.stop(node, signal.SIGKILL)
                await self._start_later(self._control_plane.replace(node), duration_s)

    async def _restart(self, node: int, signal_number: signal.Signals, down_s: float) -> None:
        await self._control_plane.stop(node, signal_number)
        await self._start_later(node, down_s)

    async def _start_later(self, node: int, down_s: float) -> None:
        self._disturbed.add(node)
        try:
            await asyncio.sleep(down_s)
            self._control_plane.start(node)
            self._record(f"node {node} started")
        finally:
            self._disturbed.discard(node)
