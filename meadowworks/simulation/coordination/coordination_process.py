"""The product's coordination services in one incarnation of a simulated control plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from typing import Any

from meadowworks.consensus.effects import CommittedEntry, LeaderChanged
from meadowworks.controlplane.coordination_service import CoordinationService
from meadowworks.controlplane.coordination_service import Unavailable as ServiceUnavailable
from meadowworks.controlplane.leader_duties import INTERVAL_S, LeaderDuties
from meadowworks.controlplane.replicated_state import ReplicatedState
from meadowworks.controlplane.watch_service import WatchService
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.coordination.results import Cell, Done, GroupEvents, HistoryDiscarded, Result, TooManyNames
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.coordination.history import (
    Arguments,
    InternalFailure,
    KeyMissing,
    Outcome,
    Overloaded,
    ReadCellCall,
    Unavailable,
    WatchGroupCall,
)
from meadowworks.simulation.coordination.node_clock import running_with
from meadowworks.simulation.coordination.simulated_event_loop import SimulatedEventLoop
from meadowworks.simulation.coordination.simulated_leader_client import (
    ForwardedCallHandler,
    SimulatedLeaderClient,
)
from meadowworks.simulation.event_scheduler import SECOND

OnOutcome = Callable[[Outcome], None]
ServiceResult = Result | Cell | GroupEvents | HistoryDiscarded | ServiceUnavailable | None


class CoordinationProcess:
    """The services of one incarnation, as `controlplane.coordination` connects them.

    Implements `log_listener.LogListener`, to pass the effects of the log on with the clock of the node.
    """

    def __init__(
        self,
        node: SimulatedControlPlaneNode,
        processes: Mapping[str, ForwardedCallHandler],
        history_s: float,
    ) -> None:
        self._node, self._incarnation = node, node.incarnation
        driver, replica = node.driver, node.replica
        self._loop = SimulatedEventLoop(node)  # type: ignore[abstract]
        self.replicated = ReplicatedState(replica, driver.run_effects)
        retention = HistoryRetention(int(history_s * SECOND))
        self.service = CoordinationService(
            self.replicated,
            SimulatedLeaderClient(node, processes),
            node.address,
            lambda: [address for _, address in replica.acceptor.newest_epoch().members],
            retention,
        )
        self.watches = WatchService(self.replicated, self.service, history_s)
        self.duties = LeaderDuties(self.replicated, retention)
        driver.log_listener = self
        self._loop.start(self._run_duties())

    def close(self) -> None:
        """Release what the process holds after it has ended."""
        self._loop.close()

    # -- inputs from the network

    def on_call(self, arguments: Arguments, on_outcome: OnOutcome) -> None:
        """Answer a call of the API."""
        self._run(partial(self._answer_call, arguments, on_outcome))

    def on_forwarded_call(self, body: bytes, on_reply: Callable[[bytes], None]) -> None:
        """Answer a call of another node."""
        self._run(partial(self._answer_forwarded, body, on_reply))

    def _run(self, function: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a coroutine function in a task of this process, unless the process has ended."""
        self._node.deliver(self._incarnation, lambda: self._loop.start(function()))

    # -- effects of the log

    def on_entries(self, entries: tuple[CommittedEntry, ...]) -> None:
        """Apply committed entries."""
        with running_with(self._node.local_time):
            self.replicated.on_entries(entries)

    def on_snapshot(self, index: int, content: bytes) -> None:
        """Replace the state by a snapshot."""
        with running_with(self._node.local_time):
            self.replicated.on_snapshot(index, content)

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Handle a change of the leader."""
        with running_with(self._node.local_time):
            self.replicated.on_leader_changed(change)

    def on_barrier(self, waiter_id: int, index: int | None) -> None:
        """Handle the end of a read barrier."""
        self.replicated.on_barrier(waiter_id, index)

    # -- tasks

    async def _run_duties(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.duties.run()

    async def _answer_forwarded(self, body: bytes, on_reply: Callable[[bytes], None]) -> None:
        on_reply(await self.service.answer_forwarded(body))

    async def _answer_call(self, arguments: Arguments, on_outcome: OnOutcome) -> None:
        on_outcome(outcome_of(await self._result(arguments)))

    async def _result(self, arguments: Arguments) -> ServiceResult:
        match arguments:
            case ReadCellCall(name):
                return await self.service.read_cell(name)
            case WatchGroupCall(group, after, wait_ms):
                return await self.watches.watch(group, after, wait_ms)
            case command:
                return await self.service.submit(command)


def outcome_of(result: ServiceResult) -> Outcome:
    """Return the outcome that a caller sees, as `coordination_replies` encodes it in a status code."""
    match result:
        case None:
            return KeyMissing()
        case TooManyNames() | ServiceUnavailable(is_certain=True, overloaded=True):
            return Overloaded()
        case ServiceUnavailable(is_certain=True):
            return Unavailable()
        case ServiceUnavailable():
            return InternalFailure()
        case Done():
            raise AssertionError("no caller sends a command without a result")
    return result
