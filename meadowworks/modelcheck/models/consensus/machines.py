"""The machines of a world: acceptors on disks, and the faults that can happen to them."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    InstallPositionRequest,
    LearnRequest,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.models.consensus.acceptors import initial_acceptor, start_acceptor
from meadowworks.modelcheck.models.consensus.frozen import (
    freeze_acceptor,
    thaw_acceptor,
)
from meadowworks.modelcheck.models.consensus.scenarios import NO_PAIRS, Scenario


class Machines:
    """The acceptors by number of their machine.

    `frozen_acceptors` holds plain values, None where the machine is lost. `touched_acceptors` holds the
    thawed acceptors that the current step may change.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.frozen_acceptors: list[Any] = [
            freeze_acceptor(initial_acceptor(scenario, machine)) for machine in range(scenario.machine_count)
        ]
        self.touched_acceptors: dict[int, Acceptor] = {}
        self.ballot_numbers = [0] * scenario.machine_count  # kept in memory only, lost at a restart
        self.faults_left = (
            scenario.replaceable_disks,
            scenario.losable_machines,
            scenario.crash_machines,
            scenario.restart_machines,
        )
        self.partition = NO_PAIRS

    def end_calls(self, machine: int) -> None:
        """End the calls of the process on a machine."""
        raise NotImplementedError

    def is_reachable(self, from_machine: int, to_machine: int) -> bool:
        """Return whether a machine exists and no partition separates it from another."""
        return self.frozen_acceptors[to_machine] is not None and not (
            self.partition and frozenset((from_machine, to_machine)) in self.partition
        )

    def acceptor_at(self, machine: int) -> Acceptor:
        """Return the acceptor of a machine, thawed so that this step can change it."""
        if machine not in self.touched_acceptors:
            self.touched_acceptors[machine] = thaw_acceptor(self.frozen_acceptors[machine])
        return self.touched_acceptors[machine]

    def replace_disk(self, machine: int) -> None:
        """Replace the disk by an empty one; the settings say that this is not the cluster's first start."""
        replaceable, *others = self.faults_left
        self.faults_left = (tuple(m for m in replaceable if m != machine), *others)  # type: ignore[assignment]
        self.end_calls(machine)
        self.ballot_numbers[machine] = 0
        member_id = self.acceptor_at(machine).member_id[0] + "2"
        seeds = tuple(address for _, address in self.scenario.members)
        self.touched_acceptors[machine] = start_acceptor(
            load_acceptor(
                None, new_member_id=member_id, address=str(machine), seeds=seeds, bootstrap=False, voting=True
            )
        )

    def lose_machine(self, machine: int) -> None:
        """Remove the machine and its disk."""
        replaceable, losable, crashes, restarts = self.faults_left
        self.faults_left = (replaceable, tuple(m for m in losable if m != machine), crashes, restarts)
        self.end_calls(machine)
        self.ballot_numbers[machine] = 0
        self.touched_acceptors.pop(machine, None)
        self.frozen_acceptors[machine] = None

    def lose_power(self, machine: int) -> None:
        """Interrupt the power; the process starts again."""
        replaceable, losable, crashes, restarts = self.faults_left
        self.faults_left = (replaceable, losable, tuple(m for m in crashes if m != machine), restarts)
        self.restart(machine, True)

    def restart_without_vote(self, machine: int) -> None:
        """Restart the process with settings that exclude it from voting."""
        replaceable, losable, crashes, restarts = self.faults_left
        self.faults_left = (replaceable, losable, crashes, tuple(m for m in restarts if m != machine))
        self.restart(machine, False)

    def restart_with_vote(self, machine: int) -> None:
        """Restart the process with settings that let it vote."""
        self.restart(machine, True)

    def restart(self, machine: int, voting: bool) -> None:
        """Restart the process: the state on the disk is kept, the state in memory is lost."""
        self.end_calls(machine)
        self.ballot_numbers[machine] = 0
        old = self.acceptor_at(machine)
        old.metadata_changed = True
        metadata = WriteQueue(old).collect_update().metadata
        self.touched_acceptors[machine] = start_acceptor(
            load_acceptor(
                metadata,
                new_member_id="",
                address=old.address,
                seeds=(),
                bootstrap=False,
                voting=voting,
                committed=old.committed,
                history=old.history,
                slots=old.slots,
            )
        )

    def send_committed_value(self, from_machine: int, to_machine: int) -> None:
        """Send the committed value and its history from one acceptor to another."""
        sender = self.acceptor_at(from_machine)
        self.acceptor_at(to_machine).handle(
            LearnRequest(sender.epoch.number, sender.committed, sender.digest_history())
        )

    def install_member(self, from_machine: int, to_machine: int) -> None:
        """Let one acceptor install another in its epoch."""
        sender = self.acceptor_at(from_machine)
        self.acceptor_at(to_machine).handle(
            InstallPositionRequest(sender.epoch.number, sender.epoch, sender.export_registers(), None)
        )

    def announce_epoch(self, to_machine: int, from_machine: int) -> None:
        """Announce the epoch of one acceptor to another."""
        self.acceptor_at(to_machine).on_epoch_announced(self.acceptor_at(from_machine).epoch)

    def start_partition(self) -> None:
        """Start the scenario's network partition."""
        self.partition = self.scenario.partition
