"""One world of the model: acceptors on disks, the calls that are under way, and the steps that may come."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    InstallRequest,
    LearnRequest,
    PromiseReply,
    SnapshotReply,
    SnapshotRequest,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.outcomes import (
    Chosen,
    EpochChanged,
    QuorumReadResult,
    RetryWithHigherBallot,
    Superseded,
)
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    Epoch,
)
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.consensus.acceptors import exchange, initial_acceptor, may_vote_in, started
from meadowworks.modelcheck.models.consensus.enabled import enabled_steps
from meadowworks.modelcheck.models.consensus.frozen import (
    EPOCH,
    INSTALLED,
    MEMBER_ID,
    Call,
    freeze_acceptor,
    freeze_call,
    freeze_request,
    thaw_acceptor,
    thaw_call,
    thaw_epoch,
    thaw_request,
)
from meadowworks.modelcheck.models.consensus.scenarios import NO_PAIRS, Scenario, X

# What came of a request, by the proposer and the acceptor as they were: the acceptor, the proposer, its
# outcome, the reply's epoch if it is a newer one, and what was done. Whom it asks next, too.
Memo = dict[tuple[Any, Any], Any]


MAX_MEMO_ENTRIES = 1 << 18


class World:
    """`kept` holds the acceptors as plain values, `made` those that the step in hand has touched. `known` is
    what the machines have answered before; it is of one model, so that a seeded fault finds it empty."""

    def __init__(self, scenario: Scenario, known: Memo) -> None:
        self.scenario, self.memo = scenario, known
        self.outcomes: list[tuple[Any, ...]] = []
        self.frozen_acceptors: list[Any] = [
            freeze_acceptor(initial_acceptor(scenario, k)) for k in range(scenario.place_count)
        ]
        self.touched_acceptors: dict[int, Acceptor] = {}
        self.ballot_numbers = [0] * scenario.place_count  # of ballots, in memory
        self.calls: list[Any] = [None] * len(scenario.tasks)
        self.attempts_left: list[int] = list(scenario.attempts)
        self.faults_left = (
            scenario.replaceable_disks,
            scenario.losable_machines,
            scenario.crash_places,
            scenario.restart_places,
        )
        self.partition = NO_PAIRS
        self.late_requests: tuple[Any, ...] = ()
        self.chosen: tuple[tuple[int, int, bytes], ...] = ()  # epoch, version, content: may be acknowledged
        self.proposed_members: tuple[
            tuple[int, bytes], ...
        ] = ()  # sets of members, and in which epoch proposed
        if scenario.next_members:
            content = encode_member_list(scenario.next_members)
            self.chosen, self.proposed_members = ((1, MEMBERSHIP_VERSION, content),), ((1, content),)
        if scenario.chosen_at:
            self.chosen = (*self.chosen, (1, 1, X))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        return enabled_steps(self)

    def unanswered_members(self, p: int) -> Any:
        at = "targets", self.calls[p]
        if (found := self.memo.get(at)) is None:
            call = thaw_call(self.calls[p])
            assert call is not None
            found = self.memo[at] = call.unanswered_members()
        return found

    def reaches(self, k: int, j: int) -> bool:
        return self.frozen_acceptors[j] is not None and not (
            self.partition and frozenset((k, j)) in self.partition
        )

    def acceptor_at(self, k: int) -> Acceptor:
        if k not in self.touched_acceptors:
            self.touched_acceptors[k] = thaw_acceptor(self.frozen_acceptors[k])
        return self.touched_acceptors[k]

    def take_step(self, step: Step) -> None:
        kind, *what = step
        self.outcomes, before = [], list(self.frozen_acceptors)
        getattr(self, "do_" + kind)(*what)
        for k, made in self.touched_acceptors.items():  # on its disk before its answer leaves
            made.changed_slots, made.metadata_changed, made.committed_changed = set(), False, False
            self.frozen_acceptors[k] = freeze_acceptor(made)
        self.touched_acceptors = {}
        self.outcomes += [
            ("kept", was, now)
            for was, now in zip(before, self.frozen_acceptors, strict=True)
            if was is not now and was is not None and now is not None and was[MEMBER_ID] == now[MEMBER_ID]
        ]

    def do_begin(self, p: int) -> None:
        task = self.scenario.tasks[p]
        self.attempts_left[p] -= 1
        self.delay_request(p)
        home = self.acceptor_at(task.place)
        epoch = home.newest_epoch()
        if task.kind == "change":
            self.set_call(
                p,
                Reconfiguration(
                    thaw_epoch(1, self.scenario.members), thaw_epoch(2, self.scenario.next_members)
                ),
            )
        elif task.kind == "carry":
            assert home.sealed_by is not None
            self.set_call(p, Reconfiguration(home.epoch, home.sealed_by))
        elif task.kind == "members" or task.kind == "leave" and len(epoch.members) > 3:
            others = tuple((d, a) for d, a in epoch.members if d != home.member_id)
            which = others if task.kind == "leave" else task.members
            content = encode_member_list(which) if which else None
            if content is not None:
                self.proposed_members = tuple(sorted({*self.proposed_members, (epoch.number, content)}))
            self.set_call(p, self.proposer(task.place, epoch, MEMBERSHIP_VERSION, content))
        elif task.kind in ("put", "finish"):
            self.set_call(p, self.proposer(task.place, epoch, task.version, task.value))
        else:
            self.set_call(p, QuorumRead(epoch), self.highest_chosen_version())

    def highest_chosen_version(self) -> int:
        return max((version for _, version, _ in self.chosen), default=0)

    def proposer(self, home: int, epoch: Epoch, version: int, content: bytes | None) -> Proposer:
        calls = QuorumCallFactory(self.acceptor_at(home), 1)
        calls.last_ballot_number = self.ballot_numbers[home]
        made = calls.new_proposer(epoch, version, Operation(OperationKind.PROPOSE, version, content, 0, []))
        self.ballot_numbers[home] = calls.last_ballot_number
        return made

    def set_call(self, p: int, call: Call | None, floor: int | None = None) -> None:
        if floor is None:
            floor = self.calls[p][-1] if self.calls[p] else 0
        self.calls[p] = None if call is None else freeze_call(call, floor)

    def do_ask(self, p: int, k: int, heard: bool = True) -> None:
        frozen = self.calls[p]
        at = frozen, self.frozen_acceptors[k]
        if (found := self.memo.get(at)) is None:
            if len(self.memo) >= MAX_MEMO_ENTRIES:
                self.memo.clear()
            found = self.memo[at] = exchange(*at)
        self.frozen_acceptors[k], call, outcome, newer, took = found
        if took is not None:
            self.outcomes.append(took)
        if not heard:
            return
        if newer is not None:
            self.acceptor_at(self.scenario.tasks[p].place).on_epoch(newer)
        self.calls[p] = call
        if outcome is not None:
            made = thaw_call(frozen)
            assert made is not None
            made.outcome = outcome
            self.on_outcome(p, made)

    def do_lost(self, p: int, k: int) -> None:
        self.do_ask(p, k, heard=False)

    def on_outcome(self, p: int, call: Call) -> None:
        """As a replica goes on; what it would begin anew by itself is a try."""
        task = self.scenario.tasks[p]
        home, floor = self.acceptor_at(task.place), self.calls[p][-1]
        match call.outcome:
            case Chosen(version, content):
                assert isinstance(call, Proposer)
                self.chosen = tuple(sorted({*self.chosen, (call.epoch.number, version, content)}))
                if version == MEMBERSHIP_VERSION:
                    after = Epoch(call.epoch.number + 1, decode_member_list(content))
                    return self.set_call(p, Reconfiguration(call.epoch, after))
                home.learn(version, content)
                if task.kind == "leave":
                    return self.set_call(p, QuorumRead(home.newest_epoch()))
                self.attempts_left[p] = 0
            case Superseded(committed, history):
                home.learn(committed.version, committed.value, history)
                if task.kind == "leave":
                    return self.set_call(p, QuorumRead(home.newest_epoch()))
                self.attempts_left[p] = 0
            case RetryWithHigherBallot(ballot):
                self.ballot_numbers[task.place] = max(self.ballot_numbers[task.place], ballot.number)
            case EpochChanged(epoch, True):
                return self.set_call(p, Reconfiguration(call.epoch, epoch))
            case EpochChanged(epoch, False):
                home.on_epoch(epoch)
                if task.kind == "members" and isinstance(call, Reconfiguration):
                    self.attempts_left[p] = 0
                if task.kind == "leave":
                    return self.set_call(p, QuorumRead(home.newest_epoch()))
            case QuorumReadResult(needs, version, address):
                if task.kind == "read":
                    self.outcomes.append(("read", floor, needs))
                    self.attempts_left[p] = 0
                elif not call.epoch.has_member(home.member_id):
                    there = [
                        frozen
                        for frozen in self.frozen_acceptors
                        if frozen and frozen[INSTALLED] and call.epoch.has_member(frozen[MEMBER_ID])
                    ]
                    count = sum(frozen[EPOCH][0] >= call.epoch.number for frozen in there)
                    self.outcomes.append(("handed", floor, count, call.epoch.majority))
                    self.finish_leaving(p, task.place)
                elif isinstance(call, StateTransfer):
                    least = min(call.epoch.majority, len(call.other_members))
                    self.outcomes.append(("handed", floor, self.count_knowing(floor, call), least))
                    self.finish_leaving(p, task.place)
                elif needs <= home.committed.version:
                    me = (home.newest_epoch(), home.member_id, home.committed, home.digest_history())
                    return self.set_call(p, StateTransfer(*me), max(floor, home.committed.version))
                elif version > home.committed.version:
                    if self.frozen_acceptors[int(address)] is not None:
                        whole = self.acceptor_at(int(address)).handle(
                            SnapshotRequest(home.newest_epoch().number)
                        )
                        assert isinstance(whole, SnapshotReply)
                        home.learn(whole.committed.version, whole.committed.value, whole.history)
                    return self.set_call(p, QuorumRead(home.newest_epoch()))
                else:
                    return self.set_call(p, self.proposer(task.place, home.newest_epoch(), needs, None))
        self.set_call(p, None)

    def count_knowing(self, version: int, call: StateTransfer) -> int:
        """How many of those told hold a version, or a newer one."""
        others = {disk for disk, _ in call.other_members}
        return sum(
            frozen is not None
            and self.acceptor_at(k).member_id in others
            and self.acceptor_at(k).committed.version >= version
            for k, frozen in enumerate(self.frozen_acceptors)
        )

    def finish_leaving(self, p: int, home: int) -> None:
        """Its process ends, and its machine goes, with the disk."""
        self.attempts_left[p] = 0
        self.do_gone(home)

    def end_calls(self, home: int) -> None:
        for p, task in enumerate(self.scenario.tasks):
            if task.place == home:
                self.delay_request(p)
                self.calls[p] = None

    def delay_request(self, p: int) -> None:
        """Requests that are on their way, and not yet answered, come late."""
        call = thaw_call(self.calls[p])
        if self.scenario.requests_may_be_late and isinstance(call, Proposer | Reconfiguration):
            to = tuple(int(address) for _, address in call.unanswered_members())
            self.late_requests = tuple(sorted({*self.late_requests, (freeze_request(call.request()), to)}))

    def do_late(self, place: int, k: int) -> None:
        request, to = self.late_requests[place]
        rest = tuple(j for j in to if j != k)
        left = [
            *self.late_requests[:place],
            *([(request, rest)] if rest else []),
            *self.late_requests[place + 1 :],
        ]
        self.late_requests = tuple(sorted(left))
        other, asked = self.acceptor_at(k), thaw_request(request)
        newest, votes = other.newest_epoch().number, may_vote_in(other, asked.epoch)
        if isinstance(other.handle(asked), PromiseReply | AcceptedReply):
            self.outcomes.append(("took", asked.epoch, newest, votes))

    def do_wipe(self, k: int) -> None:
        """What its process was at goes with it. It is told that this is not the first start."""
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
        wiped, gone, crashes, off = self.faults_left
        self.faults_left = (wiped, tuple(j for j in gone if j != k), crashes, off)
        self.end_calls(k)
        self.ballot_numbers[k] = 0
        self.touched_acceptors.pop(k, None)
        self.frozen_acceptors[k] = None

    def do_crash(self, k: int) -> None:
        wiped, gone, crashes, off = self.faults_left
        self.faults_left = (wiped, gone, tuple(j for j in crashes if j != k), off)
        self.restart(k, True)

    def do_off(self, k: int) -> None:
        wiped, gone, crashes, off = self.faults_left
        self.faults_left = (wiped, gone, crashes, tuple(j for j in off if j != k))
        self.restart(k, False)

    def do_on(self, k: int) -> None:
        self.restart(k, True)

    def restart(self, k: int, voting: bool) -> None:
        """What is on the disk comes back, under the next life; what is in memory alone does not."""
        self.end_calls(k)
        self.ballot_numbers[k] = 0
        old = self.acceptor_at(k)
        old.metadata_changed = True
        meta = WriteQueue(old).collect_update().metadata
        self.touched_acceptors[k] = started(
            load_acceptor(
                meta,
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
        one = self.acceptor_at(k)
        self.acceptor_at(j).handle(LearnRequest(one.epoch.number, one.committed, one.digest_history()))

    def do_bring(self, k: int, j: int) -> None:
        one = self.acceptor_at(k)
        self.acceptor_at(j).handle(InstallRequest(one.epoch.number, one.epoch, one.export_state()))

    def do_hear(self, k: int, j: int) -> None:
        self.acceptor_at(k).on_epoch(self.acceptor_at(j).epoch)

    def do_cut(self) -> None:
        self.partition = self.scenario.partition

    # -- kept and told apart: plain values alone, so that what is kept is what tells worlds apart

    def freeze(self) -> Any:
        return self.scenario, self.key()

    def key(self) -> Any:
        return (
            self.scenario.name,
            tuple(self.frozen_acceptors),
            tuple(self.ballot_numbers),
            tuple(self.calls),
            tuple(self.attempts_left),
            self.faults_left,
            bool(self.partition),
            self.late_requests,
            self.chosen,
            self.proposed_members,
        )


def thaw_world(known: Memo, state: Any) -> World:
    scenario, (_, frozen, numbers, ops, attempts, left, cut, late, chosen, tried) = state
    world = World.__new__(World)
    world.scenario, world.memo, world.outcomes, world.touched_acceptors = scenario, known, [], {}
    world.frozen_acceptors, world.ballot_numbers, world.calls, world.attempts_left = (
        list(frozen),
        list(numbers),
        list(ops),
        list(attempts),
    )
    world.faults_left, world.partition, world.late_requests = (
        left,
        scenario.partition if cut else NO_PAIRS,
        late,
    )
    world.chosen, world.proposed_members = chosen, tried
    return world
