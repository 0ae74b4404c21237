"""Runs callers in simulated time and carries their calls to the nodes."""

from __future__ import annotations

import random
from collections.abc import Mapping
from functools import partial

from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.coordination.caller import Caller, SendCall, WakeAt
from meadowworks.simulation.coordination.coordination_process import CoordinationProcess
from meadowworks.simulation.coordination.history import InternalFailure, Outcome
from meadowworks.simulation.event_scheduler import MS

CLIENT_DELAY_MS = (0.5, 9)  # one way
REFUSED_AFTER_NS = 2 * MS


class CallerDriver:
    """Carries out the commands of one caller. No cut covers callers, but calls to lost nodes get no answer.

    :param processes: the services of the running processes by address.
    """

    def __init__(
        self,
        cluster: Cluster,
        processes: Mapping[str, CoordinationProcess],
        caller: Caller,
        rng: random.Random,
    ) -> None:
        self._cluster, self._processes, self._caller, self._random = cluster, processes, caller, rng

    def start(self) -> None:
        """Start the caller now."""
        self._wake()

    def _wake(self) -> None:
        self._caller.wake(self._cluster.now)
        self._run_commands()

    def _run_commands(self) -> None:
        for command in self._caller.take_commands():
            match command:
                case SendCall():
                    self._send(command)
                case WakeAt(time_ns):
                    self._cluster.scheduler.call_at(time_ns, self._wake)

    def _send(self, command: SendCall) -> None:
        target = self._cluster.nodes[command.address]
        if not target.up:
            refused = partial(self._on_answer, command.call_id, InternalFailure())
            self._cluster.scheduler.call_later(REFUSED_AFTER_NS, refused)
            return
        self._cluster.scheduler.call_later(self._delay_ns(), partial(self._arrive, command))

    def _arrive(self, command: SendCall) -> None:
        process = self._processes.get(command.address)
        if process is not None:
            process.on_call(command.arguments, partial(self._send_answer, command.call_id))

    def _send_answer(self, call_id: int, outcome: Outcome) -> None:
        self._cluster.scheduler.call_later(self._delay_ns(), partial(self._on_answer, call_id, outcome))

    def _on_answer(self, call_id: int, outcome: Outcome) -> None:
        self._caller.on_answer(self._cluster.now, call_id, outcome)
        self._run_commands()

    def _delay_ns(self) -> int:
        return int(self._random.uniform(*CLIENT_DELAY_MS) * MS)
