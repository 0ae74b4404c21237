"""The machines of a world: acceptors on disks, and the faults that may come to them."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    InstallRequest,
    LearnRequest,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.models.consensus.acceptors import initial_acceptor, started
from meadowworks.modelcheck.models.consensus.frozen import (
    freeze_acceptor,
    thaw_acceptor,
)
from meadowworks.modelcheck.models.consensus.scenarios import NO_PAIRS, Scenario


class Machines:
    """Acceptors by their places.

    `frozen_acceptors` are plain values, none where the machine is lost; `touched_acceptors` are those that
    the step in hand may have changed.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.frozen_acceptors: list[Any] = [
            freeze_acceptor(initial_acceptor(scenario, place)) for place in range(scenario.place_count)
        ]
        self.touched_acceptors: dict[int, Acceptor] = {}
        self.ballot_numbers = [0] * scenario.place_count  # in memory
        self.faults_left = (
            scenario.replaceable_disks,
            scenario.losable_machines,
            scenario.crash_places,
            scenario.restart_places,
        )
        self.partition = NO_PAIRS

    def end_calls(self, place: int) -> None:
        """The process of a place ends, and its calls with it."""
        raise NotImplementedError

    def reaches(self, k: int, j: int) -> bool:
        """Whether a machine is there and no partition keeps another from it."""
        return self.frozen_acceptors[j] is not None and not (
            self.partition and frozenset((k, j)) in self.partition
        )

    def acceptor_at(self, k: int) -> Acceptor:
        """The acceptor of a place, to be changed in this step."""
        if k not in self.touched_acceptors:
            self.touched_acceptors[k] = thaw_acceptor(self.frozen_acceptors[k])
        return self.touched_acceptors[k]

    def do_wipe(self, k: int) -> None:
        """An empty disk stands in place of the old one. Its settings say that this is not the first start."""
        wiped, *rest = self.faults_left
        self.faults_left = (tuple(j for j in wiped if j != k), *rest)  # type: ignore[assignment]
        self.end_calls(k)
        self.ballot_numbers[k] = 0
        name = self.acceptor_at(k).member_id[0] + "2"
        seeds = tuple(address for _, address in self.scenario.members)
        self.touched_acceptors[k] = started(
            load_acceptor(None, new_member_id=name, address=str(k), seeds=seeds, bootstrap=False, voting=True)
        )

    def do_gone(self, k: int) -> None:
        """The machine is lost, with its disk."""
        wiped, gone, crashes, off = self.faults_left
        self.faults_left = (wiped, tuple(j for j in gone if j != k), crashes, off)
        self.end_calls(k)
        self.ballot_numbers[k] = 0
        self.touched_acceptors.pop(k, None)
        self.frozen_acceptors[k] = None

    def do_crash(self, k: int) -> None:
        """Power is lost; the process starts again."""
        wiped, gone, crashes, off = self.faults_left
        self.faults_left = (wiped, gone, tuple(j for j in crashes if j != k), off)
        self.restart(k, True)

    def do_off(self, k: int) -> None:
        """The process is started again with settings not to vote."""
        wiped, gone, crashes, off = self.faults_left
        self.faults_left = (wiped, gone, crashes, tuple(j for j in off if j != k))
        self.restart(k, False)

    def do_on(self, k: int) -> None:
        """The process is started again with settings to vote."""
        self.restart(k, True)

    def restart(self, k: int, voting: bool) -> None:
        """The process starts again: what is on the disk is there, what was in memory alone is not."""
        self.end_calls(k)
        self.ballot_numbers[k] = 0
        old = self.acceptor_at(k)
        old.metadata_changed = True
        metadata = WriteQueue(old).collect_update().metadata
        self.touched_acceptors[k] = started(
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

    def do_tell(self, k: int, j: int) -> None:
        """One acceptor tells another what it knows to be chosen."""
        one = self.acceptor_at(k)
        self.acceptor_at(j).handle(LearnRequest(one.epoch.number, one.committed, one.digest_history()))

    def do_bring(self, k: int, j: int) -> None:
        """One acceptor installs another in its epoch."""
        one = self.acceptor_at(k)
        self.acceptor_at(j).handle(InstallRequest(one.epoch.number, one.epoch, one.export_state()))

    def do_hear(self, k: int, j: int) -> None:
        """One acceptor hears of the epoch of another."""
        self.acceptor_at(k).on_epoch_announced(self.acceptor_at(j).epoch)

    def do_cut(self) -> None:
        """The network is cut."""
        self.partition = self.scenario.partition
