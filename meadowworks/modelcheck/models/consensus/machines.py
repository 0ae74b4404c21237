"""The machines of a world: acceptors on disks, and the faults that can happen to them."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    InstallRequest,
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
    """The acceptors by place.

    `frozen_acceptors` holds plain values, None where the machine is lost. `touched_acceptors` holds the
    thawed acceptors that the current step may change.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.frozen_acceptors: list[Any] = [
            freeze_acceptor(initial_acceptor(scenario, place)) for place in range(scenario.place_count)
        ]
        self.touched_acceptors: dict[int, Acceptor] = {}
        self.ballot_numbers = [0] * scenario.place_count  # kept in memory only, lost at a restart
        self.faults_left = (
            scenario.replaceable_disks,
            scenario.losable_machines,
            scenario.crash_places,
            scenario.restart_places,
        )
        self.partition = NO_PAIRS

    def end_calls(self, place: int) -> None:
        """End the calls of the process at a place."""
        raise NotImplementedError

    def is_reachable(self, from_place: int, to_place: int) -> bool:
        """Return whether a machine exists and no partition separates it from another."""
        return self.frozen_acceptors[to_place] is not None and not (
            self.partition and frozenset((from_place, to_place)) in self.partition
        )

    def acceptor_at(self, place: int) -> Acceptor:
        """Return the acceptor of a place, thawed so that this step can change it."""
        if place not in self.touched_acceptors:
            self.touched_acceptors[place] = thaw_acceptor(self.frozen_acceptors[place])
        return self.touched_acceptors[place]

    def replace_disk(self, place: int) -> None:
        """Replace the disk by an empty one; the settings say that this is not the cluster's first start."""
        replaceable, *others = self.faults_left
        self.faults_left = (tuple(p for p in replaceable if p != place), *others)  # type: ignore[assignment]
        self.end_calls(place)
        self.ballot_numbers[place] = 0
        member_id = self.acceptor_at(place).member_id[0] + "2"
        seeds = tuple(address for _, address in self.scenario.members)
        self.touched_acceptors[place] = start_acceptor(
            load_acceptor(
                None, new_member_id=member_id, address=str(place), seeds=seeds, bootstrap=False, voting=True
            )
        )

    def lose_machine(self, place: int) -> None:
        """Remove the machine and its disk."""
        replaceable, losable, crashes, restarts = self.faults_left
        self.faults_left = (replaceable, tuple(p for p in losable if p != place), crashes, restarts)
        self.end_calls(place)
        self.ballot_numbers[place] = 0
        self.touched_acceptors.pop(place, None)
        self.frozen_acceptors[place] = None

    def lose_power(self, place: int) -> None:
        """Interrupt the power; the process starts again."""
        replaceable, losable, crashes, restarts = self.faults_left
        self.faults_left = (replaceable, losable, tuple(p for p in crashes if p != place), restarts)
        self.restart(place, True)

    def restart_without_vote(self, place: int) -> None:
        """Restart the process with settings that exclude it from voting."""
        replaceable, losable, crashes, restarts = self.faults_left
        self.faults_left = (replaceable, losable, crashes, tuple(p for p in restarts if p != place))
        self.restart(place, False)

    def restart_with_vote(self, place: int) -> None:
        """Restart the process with settings that let it vote."""
        self.restart(place, True)

    def restart(self, place: int, voting: bool) -> None:
        """Restart the process: the state on the disk is kept, the state in memory is lost."""
        self.end_calls(place)
        self.ballot_numbers[place] = 0
        old = self.acceptor_at(place)
        old.metadata_changed = True
        metadata = WriteQueue(old).collect_update().metadata
        self.touched_acceptors[place] = start_acceptor(
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

    def send_committed_value(self, from_place: int, to_place: int) -> None:
        """Send the committed value and its history from one acceptor to another."""
        sender = self.acceptor_at(from_place)
        self.acceptor_at(to_place).handle(
            LearnRequest(sender.epoch.number, sender.committed, sender.digest_history())
        )

    def install_member(self, from_place: int, to_place: int) -> None:
        """Let one acceptor install another in its epoch."""
        sender = self.acceptor_at(from_place)
        self.acceptor_at(to_place).handle(
            InstallRequest(sender.epoch.number, sender.epoch, sender.export_state())
        )

    def announce_epoch(self, to_place: int, from_place: int) -> None:
        """Announce the epoch of one acceptor to another."""
        self.acceptor_at(to_place).on_epoch_announced(self.acceptor_at(from_place).epoch)

    def start_partition(self) -> None:
        """Start the scenario's network partition."""
        self.partition = self.scenario.partition
