"""One register a version and one of members an epoch: `meadowworks.consensus.register.Acceptor`s on disks
that are wiped, replaced, restarted and taken off, and `Proposer`s, `Reconfiguration`s, `QuorumRead`s and
`StateTransfer`s that race, are given up, begun anew, or finish what another began, as `replica.Replica` has
them do.

A request and its reply are one step, or the reply is lost: what a proposer has heard only tells when its
next requests go, and those are steps of their own; one that got no reply may be asked again. An acceptor's
answer is on its disk when it leaves (the model `replica` looks at that), also to its own proposer: a loss
of power of a proposer's box before any of its writes is a crash before the step in which it asks itself. A
cut needs no clock: every proposer may go on, whoever it no longer reaches.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache, partial
from itertools import combinations
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    InstallRequest,
    LearnRequest,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    Request,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
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
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
    digest,
)
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.model import Model, Property, Step

Members = tuple[tuple[str, str], ...]
Call = Proposer | Reconfiguration | QuorumRead | StateTransfer
MEMBERS_BALLOT, CHOSEN_BALLOT, FOUNDING_BALLOT = Ballot(1, 1, "b.0"), Ballot(1, 1, "a.0"), Ballot(0, 9, "a.0")
X, Y = b"x", b"y"
NO_PAIRS: frozenset[frozenset[int]] = frozenset()


def members_of(*names: str) -> Members:
    """Members by their disks: `a` stands at place 0, `b` at 1; `c2` is the second disk at place 2."""
    return tuple(sorted((name, str(ord(name[0]) - ord("a"))) for name in names))


@dataclass(frozen=True, slots=True)
class Task:
    """What a proposer is for. `kind`: put and finish a version, members (propose them; without any, finish
    what another has proposed), change (carry the scene's chosen one through), carry (one that it finds itself
    sealed by), read, leave. `epoch`: it begins in this one alone; -1: in any."""

    place: int
    kind: str
    version: int = 0
    value: bytes | None = None
    members: Members = ()
    epoch: int = -1


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    tasks: tuple[Task, ...]
    attempts: tuple[int, ...]
    place_count: int = 3
    members: Members = members_of("a", "b", "c")  # of epoch 1; with `founding`, of the places that found
    next_members: Members = ()  # chosen already as those of epoch 2, by `b`, with `a`; nothing is sealed yet
    sealed_at: tuple[
        int, ...
    ] = ()  # places that are sealed by it, and have it installed, as the scene begins
    installed_at: tuple[int, ...] = ()
    accepted_before: tuple[
        int, ...
    ] = ()  # places that have accepted X as version 1, under a high number before epoch 1
    chosen_at: tuple[int, ...] = ()  # places that have accepted X as version 1 in epoch 1: it is chosen
    founding: bool = False
    replaceable_disks: tuple[int, ...] = ()  # places whose disk may be replaced by an empty one, once
    losable_machines: tuple[int, ...] = ()  # places whose machine and disk may be lost for good, once
    crash_places: tuple[int, ...] = ()  # places that may lose power, once
    restart_places: tuple[
        int, ...
    ] = ()  # places that may be restarted without a vote and then with one, once
    replies_may_be_lost: bool = False  # any reply may be lost
    acceptors_learn: bool = False  # acceptors tell each other what they know to be chosen
    members_install: bool = False  # members install others in their epoch
    acceptors_announce: bool = False  # acceptors hear of each other's epochs
    requests_may_be_late: bool = (
        False  # a request may be held up until after its sender has lost power or begun anew
    )
    partition: frozenset[frozenset[int]] = NO_PAIRS  # pairs of places that will not reach each other


def pairs_between(one: Iterable[int], other: Iterable[int]) -> frozenset[frozenset[int]]:
    return frozenset(frozenset((a, b)) for a in one for b in other)


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
        found: list[Step] = []
        scenario = self.scenario
        for p, task in enumerate(scenario.tasks):
            if self.frozen_acceptors[task.place] is None:
                continue
            if self.attempts_left[p] and self.may_begin(p, task):
                found.append(("begin", p))
            if self.calls[p] is not None:
                for _, address in self.unanswered_members(p):
                    k = int(address)
                    if self.reaches(task.place, k):
                        found.append(("ask", p, k))
                        if scenario.replies_may_be_lost and k != task.place:
                            found.append(("lost", p, k))
        for place, (_, to) in enumerate(self.late_requests):
            found += [("late", place, k) for k in to if self.frozen_acceptors[k] is not None]
        wiped, gone, crashes, off = self.faults_left
        found += [("wipe", k) for k in wiped if self.frozen_acceptors[k] is not None]
        found += [("gone", k) for k in gone if self.frozen_acceptors[k] is not None]
        found += [("crash", k) for k in crashes if self.frozen_acceptors[k] is not None]
        found += [("off", k) for k in off if self.frozen_acceptors[k] is not None]
        found += [
            ("on", k)
            for k, frozen in enumerate(self.frozen_acceptors)
            if k in scenario.restart_places and frozen is not None and not frozen[3]
        ]
        if scenario.acceptors_learn or scenario.members_install or scenario.acceptors_announce:
            for k, one in enumerate(self.frozen_acceptors):
                for j, other in enumerate(self.frozen_acceptors):
                    if k == j or one is None or other is None or not self.reaches(k, j):
                        continue
                    if scenario.acceptors_learn and other[8][0] < one[8][0]:
                        found.append(("tell", k, j))
                    if scenario.acceptors_announce and other[5][0] > 0:
                        found.append(("hear", k, j))
                    if scenario.members_install and self.may_bring(one, other):
                        found.append(("bring", k, j))
        if scenario.partition and not self.partition:
            found.append(("cut",))
        return found

    def unanswered_members(self, p: int) -> Any:
        at = "targets", self.calls[p]
        if (found := self.memo.get(at)) is None:
            call = thaw_call(self.calls[p])
            assert call is not None
            found = self.memo[at] = call.unanswered_members()
        return found

    def may_begin(self, p: int, task: Task) -> bool:
        epoch, installed, sealed, view = (self.frozen_acceptors[task.place][place] for place in (5, 6, 7, 11))
        newest = max(epoch[0], view[0])
        if task.epoch not in (-1, newest):
            return False
        if task.kind == "carry":
            return bool(installed and sealed is not None)
        if task.kind == "change":
            return True
        if task.kind in ("members", "leave"):
            return bool(installed and sealed is None and epoch[0] == newest)
        if task.kind == "put" and self.scenario.partition and not self.partition:
            return False  # before the cut, as in the scenes without one
        if task.kind in ("put", "finish") and task.version <= self.frozen_acceptors[task.place][8][0]:
            return False
        return bool(newest >= 0)

    @staticmethod
    def may_bring(one: Any, other: Any) -> bool:
        """`one` votes, and has the other as a member that does not."""
        epoch, installed, sealed, view = one[5], one[6], one[7], one[11]
        return bool(
            installed
            and sealed is None
            and view[0] <= epoch[0]
            and epoch[0] > 0
            and any(disk == other[0] for disk, _ in epoch[1])
            and not (other[6] and other[5][0] >= epoch[0])
        )

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
            if was is not now and was is not None and now is not None and was[0] == now[0]
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
                        if frozen and frozen[6] and call.epoch.has_member(frozen[0])
                    ]
                    count = sum(frozen[5][0] >= call.epoch.number for frozen in there)
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


def exchange(frozen: Any, other: Any) -> Any:
    """One request of a proposer and its reply, as `Known` has it."""
    call, one = thaw_call(frozen), thaw_acceptor(other)
    assert call is not None
    request = call.request()
    newest, votes = one.newest_epoch().number, may_vote_in(one, request.epoch)
    reply = one.handle(request)
    took = ("took", request.epoch, newest, votes) if isinstance(reply, PromiseReply | AcceptedReply) else None
    call.on_reply(one.id_in_epoch(request.epoch), reply)
    newer = reply.epoch if isinstance(reply, StaleEpochReply) else None
    same = freeze_acceptor(one)
    return other if same == other else same, freeze_call(call, frozen[-1]), call.outcome, newer, took


def may_vote_in(one: Acceptor, epoch: int) -> bool:
    """Whether it is to vote in an epoch, and is ready to."""
    there = one.installed and one.sealed_by is None and one.wants_membership and one.epoch.number == epoch
    return there and any(disk == one.id_in_epoch(epoch) for disk, _ in one.epoch.members)


def initial_acceptor(scenario: Scenario, k: int) -> Acceptor:
    """An acceptor as it is when the scene begins."""
    disk = chr(ord("a") + k)
    seeds = tuple(address for _, address in scenario.members) if scenario.founding else ()
    founder = scenario.founding and str(k) in seeds
    made = started(
        load_acceptor(None, new_member_id=disk, address=str(k), seeds=seeds, bootstrap=founder, voting=True)
    )
    if not scenario.founding and (disk, str(k)) in scenario.members:
        made.epoch, made.installed = thaw_epoch(1, scenario.members), True
        if scenario.next_members and k < made.epoch.majority:
            made.slots[MEMBERSHIP_VERSION] = AcceptorSlot(
                MEMBERS_BALLOT, MEMBERS_BALLOT, encode_member_list(scenario.next_members)
            )
        if k in scenario.chosen_at:
            made.slots[1] = AcceptorSlot(CHOSEN_BALLOT, CHOSEN_BALLOT, X)
        if k in scenario.accepted_before:
            made.slots[1] = AcceptorSlot(FOUNDING_BALLOT, FOUNDING_BALLOT, X)
        if k in scenario.sealed_at:
            made.sealed_by = thaw_epoch(2, scenario.next_members)
    if k in scenario.installed_at:
        made.handle(InstallRequest(2, thaw_epoch(2, scenario.next_members), Acceptor("").export_state()))
        made.changed_slots, made.metadata_changed = set(), False
    return made


def started(made: Acceptor) -> Acceptor:
    """Its first write, under a life of its own, is on the disk."""
    Replica(made, 1, lambda: 0.5).start(0)
    return made


# -- plain values, and back


def freeze_acceptor(one: Acceptor) -> Any:
    return (
        one.member_id,
        one.address,
        one.founder_id,
        one.wants_membership,
        one.incarnation,
        (one.epoch.number, one.epoch.members),
        one.installed,
        None if one.sealed_by is None else (one.sealed_by.number, one.sealed_by.members),
        (one.committed.version, one.committed.value),
        one.digest_history(),
        freeze_slots((v, s.promised, s.accepted, s.value) for v, s in sorted(one.slots.items())),
        (one.announced_epoch.number, one.announced_epoch.members),
    )


def freeze_slots(rows: Iterable[tuple[int, Ballot, Ballot, bytes]]) -> Any:
    return tuple([(v, tuple(p), tuple(a), c) for v, p, a, c in rows])


def freeze_state(state: AcceptorState) -> Any:
    return (state.committed.version, state.committed.value), state.history, freeze_slots(state.slots)


@lru_cache(4096)
def thaw_epoch(number: int, members: Members) -> Epoch:
    return Epoch(number, members)


def thaw_slots(rows: Any) -> list[tuple[int, Ballot, Ballot, bytes]]:
    return [(v, Ballot(*p), Ballot(*a), c) for v, p, a, c in rows]


def thaw_state(frozen: Any) -> AcceptorState:
    committed, history, rows = frozen
    return AcceptorState(CommittedValue(*committed), history, tuple(thaw_slots(rows)))


def thaw_acceptor(frozen: Any) -> Acceptor:
    disk, address, seat, wants, life, epoch, installed, sealed, committed, history, rows, view = frozen
    return Acceptor(
        disk,
        address,
        seat,
        wants,
        life,
        thaw_epoch(*epoch),
        installed,
        None if sealed is None else thaw_epoch(*sealed),
        CommittedValue(*committed),
        dict(history),
        {v: AcceptorSlot(p, a, c) for v, p, a, c in thaw_slots(rows)},
        thaw_epoch(*view),
    )


def freeze_call(call: Call, floor: int) -> Any:
    """`floor`: the newest version that was chosen when it began, of readers and leavers."""
    match call:
        case Proposer():
            # What was promised tells nothing any more once the second round is on.
            promises = [] if call.accepting else sorted(call.promises.items())
            return (
                "proposer",
                (call.epoch.number, call.epoch.members),
                call.version,
                tuple(call.ballot),
                call.value,
                call.accepting,
                tuple(sorted(call.acceptances)),
                tuple(
                    [(member_id, tuple(p.ballot), tuple(p.accepted), p.value) for member_id, p in promises]
                ),
                floor,
            )
        case Reconfiguration():
            if call.installing:  # the states matter as what they come to, merged
                merged = call.request()
                assert isinstance(merged, InstallRequest)
                call.states = {"": merged.state}
            return (
                "change",
                (call.epoch.number, call.epoch.members),
                (call.next_epoch.number, call.next_epoch.members),
                call.installing,
                tuple([(member_id, freeze_state(state)) for member_id, state in sorted(call.states.items())]),
                tuple(sorted(call.installed_members)),
                floor,
            )
        case QuorumRead():
            seen = [
                (
                    member_id,
                    s.epoch,
                    s.may_vote,
                    s.highest_version,
                    s.committed_version,
                    s.member_id,
                    s.address,
                    s.wants_membership,
                )
                for member_id, s in sorted(call.replies.items())
            ]
            return "reader", (call.epoch.number, call.epoch.members), tuple(seen), floor
    return (
        "teacher",
        (call.epoch.number, call.epoch.members),
        call.other_members,
        (call.committed.version, call.committed.value),
        call.history,
        tuple(sorted(call.acknowledged)),
        floor,
    )


def thaw_call(frozen: Any) -> Call | None:
    match frozen:
        case "proposer", epoch, version, ballot, content, accepting, accepts, promises, _:
            proposer = Proposer(thaw_epoch(*epoch), version, Ballot(*ballot), content)
            proposer.accepting, proposer.acceptances = accepting, set(accepts)
            proposer.promises = {w: PromiseReply(Ballot(*b), Ballot(*a), c) for w, b, a, c in promises}
            return proposer
        case "change", epoch, after, installing, states, installed, _:
            change = Reconfiguration(thaw_epoch(*epoch), thaw_epoch(*after))
            change.installing, change.installed_members = installing, set(installed)
            change.states = {member_id: thaw_state(state) for member_id, state in states}
            return change
        case "reader", epoch, seen, _:
            reader = QuorumRead(thaw_epoch(*epoch))
            reader.replies = {member_id: QueryReply(*rest) for member_id, *rest in seen}
            return reader
        case "teacher", epoch, others, committed, history, acknowledged, _:
            teacher = StateTransfer(thaw_epoch(*epoch), "", CommittedValue(*committed), history)
            teacher.other_members, teacher.acknowledged = others, set(acknowledged)
            return teacher
    return None


def freeze_request(request: Request) -> Any:
    match request:
        case PrepareRequest(epoch, version, ballot):
            return "prepare", epoch, version, tuple(ballot)
        case AcceptRequest(epoch, version, ballot, content):
            return "accept", epoch, version, tuple(ballot), content
        case SealRequest(epoch, after):
            return "seal", epoch, (after.number, after.members)
        case InstallRequest(epoch, after, state):
            return "install", epoch, (after.number, after.members), freeze_state(state)
    raise ValueError(f"{request!r} changes nothing that lasts")


def thaw_request(frozen: Any) -> Request:
    match frozen:
        case "prepare", epoch, version, ballot:
            return PrepareRequest(epoch, version, Ballot(*ballot))
        case "accept", epoch, version, ballot, content:
            return AcceptRequest(epoch, version, Ballot(*ballot), content)
        case "install", epoch, after, state:
            return InstallRequest(epoch, thaw_epoch(*after), thaw_state(state))
        case "seal", epoch, after:
            return SealRequest(epoch, thaw_epoch(*after))
    raise ValueError(f"no request: {frozen!r}")


# -- properties


def one_value_chosen(world: World) -> bool:
    """Of a version over all epochs, and of the members after an epoch."""
    found: dict[Any, bytes] = {}
    return all(
        found.setdefault(version or ("after", epoch), content) == content
        for epoch, version, content in world.chosen
    )


def one_value_per_ballot(world: World) -> bool:
    """What was accepted under one ballot, or is being proposed under it, is one content."""
    found: dict[Any, bytes] = {}
    for frozen in world.frozen_acceptors:
        for version, _, ballot, content in frozen[10] if frozen is not None else ():
            if ballot[0] >= 0 and found.setdefault((version, ballot), content) != content:
                return False
    for call in world.calls:
        proposes = call is not None and call[0] == "proposer" and call[5]
        if proposes and found.setdefault((call[2], call[3]), call[4]) != call[4]:
            return False
    return True


def known_epochs(world: World) -> dict[int, Members] | None:
    """Those that anybody has heard of; none if two of one number differ."""
    found: dict[int, Members] = {}
    told = [frozen[place] for frozen in world.frozen_acceptors if frozen is not None for place in (5, 7, 11)]
    told += [
        call[place]
        for call in world.calls
        if call is not None
        for place in (1, 2)
        if type(call[place]) is tuple
    ]
    for one in told:
        known = one is not None and len(one) == 2 and type(one[0]) is int and one[0] >= 0
        if known and found.setdefault(one[0], one[1]) != one[1]:
            return None
    return found


def one_member_list_per_epoch(world: World) -> bool:
    return known_epochs(world) is not None


def id_in_epoch(frozen: Any, epoch: int) -> str:
    return str(frozen[2] if epoch == 0 else frozen[0])


def voters_are_members(world: World) -> bool:
    """Who votes in an epoch is one of its members, each once, and may; its majority is more than half."""
    voting: dict[int, list[str]] = {}
    for frozen in world.frozen_acceptors:
        if frozen is not None and frozen[6] and frozen[7] is None and frozen[11][0] <= frozen[5][0]:
            number, members = frozen[5]
            if not frozen[3] or not any(disk == id_in_epoch(frozen, number) for disk, _ in members):
                return False
            voting.setdefault(number, []).append(id_in_epoch(frozen, number))
            if 2 * thaw_epoch(number, members).majority <= len(voting[number]):
                return False
    return all(len(set(names)) == len(names) for names in voting.values())


def chosen_is_found(world: World) -> bool:
    """Whoever asks a majority of an epoch in which it was chosen, or of a later one, finds it, or a newer."""
    if not world.chosen:
        return True
    known = known_epochs(world) or {}
    for epoch, version, content in world.chosen:
        if version == MEMBERSHIP_VERSION:
            continue
        for number, members in known.items():
            if number < epoch:
                continue
            names = {disk for disk, _ in members}
            there = [
                frozen
                for frozen in world.frozen_acceptors
                if frozen is not None and frozen[6] and frozen[5][0] >= number and frozen[0] in names
            ]
            if any(
                not any(holds_value(frozen, version, content) for frozen in group)
                for group in combinations(there, len(members) // 2 + 1)
            ):
                return False
    return True


def holds_value(frozen: Any, version: int, content: bytes) -> bool:
    committed = frozen[8]
    if committed[0] > version or committed == (version, content):
        return True
    return any(v == version and a[0] >= 0 and c == content for v, _, a, c in frozen[10])


def committed_was_chosen(world: World) -> bool:
    """What a disk holds as chosen, whole or as a digest, was chosen."""
    chosen = {(version, content) for _, version, content in world.chosen}
    digests = {(version, digest(content)) for version, content in chosen}
    return all(
        (frozen[8][0] == 0 or frozen[8] in chosen) and digests.issuperset(frozen[9])
        for frozen in world.frozen_acceptors
        if frozen is not None
    )


def members_were_proposed(world: World) -> bool:
    return all(
        (epoch, content) in world.proposed_members
        for epoch, version, content in world.chosen
        if version == MEMBERSHIP_VERSION
    )


def never_regresses(world: World) -> bool:
    return all(is_not_older(was, now) for kind, was, now, *_ in world.outcomes if kind == "kept")


def is_not_older(was: Any, now: Any) -> bool:
    if now[4] < was[4] or now[5][0] < was[5][0] or now[4] == was[4] and now[11][0] < was[11][0]:
        return False
    if now[8] != was[8] and now[8][0] <= was[8][0]:
        return False
    if was[7] is not None and now[7] is None and now[5] == was[5]:
        return False  # it was sealed, and votes again
    rows = {version: (promised, accepted) for version, promised, accepted, _ in now[10]}
    for version, promised, accepted, _ in was[10]:
        stays = now[5] == was[5] if version == MEMBERSHIP_VERSION else now[8][0] < version
        if stays and (version not in rows or rows[version][0] < promised or rows[version][1] < accepted):
            return False
    return True


def ignores_older_epochs(world: World) -> bool:
    return all(row[1] >= row[2] for row in world.outcomes if row[0] == "took") and all(
        (now[5], now[6]) == (was[5], was[6]) or not now[6] or now[5][0] >= was[11][0]
        for kind, was, now, *_ in world.outcomes
        if kind == "kept"
    )


def only_voters_vote(world: World) -> bool:
    return all(row[3] for row in world.outcomes if row[0] == "took")


def founding_epoch_chooses_members(world: World) -> bool:
    return all(epoch > 0 or version == MEMBERSHIP_VERSION for epoch, version, _ in world.chosen)


def no_stale_slots(world: World) -> bool:
    return all(
        version == MEMBERSHIP_VERSION or version > frozen[8][0]
        for frozen in world.frozen_acceptors
        if frozen is not None
        for version, *_ in frozen[10]
    )


def reads_are_current(world: World) -> bool:
    return all(needs >= floor for kind, floor, needs, *_ in world.outcomes if kind == "read")


def leaver_hands_over(world: World) -> bool:
    return all(row[2] >= row[3] for row in world.outcomes if row[0] == "handed")


PROPERTIES = (
    Property(
        "one content",
        "of the contents sent under one number one at most is ever chosen, over all epochs",
        one_value_chosen,
    ),
    Property("one ballot", "no ballot stands for two contents", one_value_per_ballot),
    Property("one set", "no two epochs have one number and two sets of members", one_member_list_per_epoch),
    Property(
        "members vote",
        "who votes in an epoch is a member of it and is to vote, and its majority is more than half of them",
        voters_are_members,
    ),
    Property(
        "lasts",
        "what was chosen is found by whoever asks a majority of that epoch or of any later one",
        chosen_is_found,
    ),
    Property("true", "what a disk holds or remembers as chosen was chosen", committed_was_chosen),
    Property("proposed", "the members of an epoch were proposed in the one before it", members_were_proposed),
    Property(
        "never back",
        "a disk holds no version, epoch, promise or life older than one it held, nor another content of one, "
        "and votes no more where it was sealed",
        never_regresses,
        "step",
    ),
    Property(
        "newer deaf to older",
        "who has heard of an epoch promises and accepts in none before it, nor becomes a member of one",
        ignores_older_epochs,
        "step",
    ),
    Property(
        "voters alone",
        "who promises or accepts in an epoch is a member installed in it, not sealed, and is to vote",
        only_voters_vote,
        "step",
    ),
    Property(
        "founding", "in epoch 0 nothing but the members of the next is chosen", founding_epoch_chooses_members
    ),
    Property(
        "tidy", "a disk keeps nothing undecided of a version not above the one it holds", no_stale_slots
    ),
    Property(
        "not old",
        "a reader is told of whatever was acknowledged before its first question left",
        reads_are_current,
        "step",
    ),
    Property(
        "handed over",
        "what a leaver knows of as acknowledged is on a majority of the others' disks when it ends, or the "
        "epoch without it has a majority installed",
        leaver_hands_over,
        "step",
    ),
)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "begin", [p]:
            return f"proposer {p} begins"
        case "ask", [p, k]:
            return f"proposer {p} asks disk {k} and hears it"
        case "lost", [p, k]:
            return f"proposer {p} asks disk {k}, whose reply is lost"
        case "late", [place, k]:
            return f"held-up request {place} comes to disk {k}"
        case "wipe", [k]:
            return f"disk {k} is replaced by an empty one at its address"
        case "gone", [k]:
            return f"machine {k} is lost with its disk"
        case "crash", [k]:
            return f"box {k} loses power and comes back with its disk"
        case "off", [k]:
            return f"box {k} is started anew and told not to vote"
        case "on", [k]:
            return f"box {k} is started anew and told to vote"
        case "tell", [k, j]:
            return f"disk {k} tells disk {j} what is chosen"
        case "hear", [k, j]:
            return f"disk {k} hears which epoch disk {j} is in"
        case "bring", [k, j]:
            return f"disk {k} installs disk {j} in its epoch"
        case "cut", []:
            return "the core is cut"
    raise ValueError(f"no such step: {step!r}")


AB, ABC, ABCD, ABCDE, BCD, ABD, CDE = (
    members_of(*names) for names in ("ab", "abc", "abcd", "abcde", "bcd", "abd", "cde")
)
WIPED = members_of("a", "b", "c2")


def propose(home: int, content: bytes = X, version: int = 1, epoch: int = -1) -> Task:
    return Task(home, "put", version, content, (), epoch)


def propose_members(home: int, which: Members, epoch: int = -1) -> Task:
    return Task(home, "members", members=which, epoch=epoch)


def initial_worlds(large: bool, known: Memo) -> list[World]:
    race, change = (propose(0, X), propose(1, Y)), Task(1, "change")
    two, one = pairs_between((0, 2), (1, 3)), pairs_between((0,), (1, 2, 3))
    one_set, other_set, carry = propose_members(0, ABC, 0), propose_members(1, AB, 0), Task(0, "carry")
    read, old = Task(1, "read"), propose(1, X, 1, 2)
    scenarios = [
        Scenario("begun anew", race, (2, 1)),
        Scenario("two versions", (propose(0, X, 1), propose(1, Y, 2)), (1, 1), acceptors_learn=True),
        Scenario(
            "finished by another",
            (propose(0), Task(1, "finish", 1)),
            (1, 1),
            replaceable_disks=(0,),
            replies_may_be_lost=True,
        ),
        Scenario("a bystander's disk is replaced", race, (1, 1), replaceable_disks=(2,)),
        Scenario(
            "five disks",
            (propose(0),),
            (1,),
            5,
            members_of(*"abcde"),
            replaceable_disks=(4,),
            replies_may_be_lost=True,
        ),
        Scenario("power is lost", race, (2, 1), crash_places=(0,)),
        Scenario("held up", race, (1, 1), requests_may_be_late=True),
        Scenario("a reader", (propose(0), read), (1, 1)),
        Scenario("two versions are read", (propose(0), propose(1, Y, 2), Task(2, "read")), (1, 1, 1)),
        Scenario("a leaver", (propose(0), Task(2, "leave")), (1, 1)),
        Scenario("a leaver of four", (carry, Task(3, "leave")), (1, 1), 4, ABCD, chosen_at=(0, 1, 3)),
        Scenario(
            "founding, a disk is wiped", (one_set, other_set), (1, 1), replaceable_disks=(2,), founding=True
        ),
        Scenario("founding, too early", (propose_members(0, ABC), propose(1)), (1, 1), founding=True),
        Scenario("one comes in", (change, propose(0)), (1, 1), 4, next_members=ABCD),
        Scenario("one goes out", (change, propose(0)), (1, 1), 4, ABCD, BCD),
        Scenario(
            "one is lost, another comes", (change, propose(0)), (1, 1), 4, ABC, BCD, losable_machines=(0,)
        ),
        Scenario("two in a row", (change, propose_members(2, CDE, 2), old), (1, 1, 1), 5, ABC, BCD),
        Scenario(
            "wiped at its address", (propose_members(0, WIPED, 1), propose(1)), (1, 1), replaceable_disks=(2,)
        ),
        Scenario("cut in two", (change, propose(0), propose(1, Y)), (1, 1, 1), 4, ABC, ABCD, partition=two),
        Scenario(
            "cut off alone", (change, propose(0), propose(1, Y)), (1, 1, 1), 4, ABC, ABCD, partition=one
        ),
        Scenario("left half-way", (change, carry), (1, 1), 4, ABC, BCD, crash_places=(1,)),
        Scenario("left half-way, a version too", (carry, propose(2)), (1, 1), 4, ABC, BCD, (0,)),
        Scenario(
            "installed at one", (carry, propose(2), propose(3, Y)), (1, 1, 1), 4, ABC, BCD, (0, 1), (3,)
        ),
        Scenario("two sets", (propose_members(0, ABD), propose_members(1, BCD)), (1, 1), 4),
        Scenario("a register of members anew", (change, propose_members(2, (), 2)), (1, 1), 4, ABC, BCD),
        Scenario("a number from before", (propose(1, Y), Task(2, "finish", 1)), (1, 1), accepted_before=(0,)),
        Scenario(
            "a number from before, handed on",
            (change, propose(1, Y)),
            (1, 1),
            4,
            ABC,
            ABD,
            accepted_before=(0,),
        ),
        Scenario(
            "five become three", (Task(2, "read"),), (1,), 5, ABCDE, ABC, (3, 4), (2,), chosen_at=(2, 3, 4)
        ),
        Scenario("a reader of the old", (change, old, Task(0, "read", epoch=1)), (1, 1, 1), 4, ABC, BCD),
        Scenario(
            "not to vote for a while",
            (change,),
            (1,),
            4,
            ABC,
            ABCD,
            restart_places=(0,),
            members_install=True,
            acceptors_announce=True,
        ),
        Scenario(
            "not to vote, and asked to",
            (propose_members(2, ()),),
            (1,),
            4,
            next_members=ABD,
            restart_places=(0,),
        ),
        Scenario("heard of the newer", (propose(1),), (1,), 4, ABC, BCD, (0,), (3,), acceptors_announce=True),
        Scenario("one for another", (change, propose(0)), (1, 1), 4, ABC, BCD),
        Scenario("two orders at one box", (propose(0, X), propose(0, Y)), (1, 1)),
        Scenario("members and a version", (propose_members(2, ()), propose(1)), (1, 1), 4, next_members=ABD),
    ]
    if large:
        scenarios += [
            Scenario("any disk is replaced", race, (1, 1), replaceable_disks=(0, 1, 2)),
            Scenario("begun anew, both", race, (2, 2), replies_may_be_lost=True),
            Scenario("five disks, a race", race, (1, 1), 5, ABCDE, replaceable_disks=(4,)),
            Scenario("one comes in, begun anew", (change, propose(0)), (1, 2), 4, next_members=ABCD),
            Scenario(
                "left half-way, and a version",
                (change, carry, propose(2)),
                (1, 1, 1),
                4,
                ABC,
                BCD,
                crash_places=(1,),
            ),
            Scenario(
                "not to vote, and a version",
                (change, propose(0)),
                (1, 1),
                4,
                ABC,
                ABCD,
                restart_places=(0,),
                members_install=True,
            ),
        ]
    return [World(scenario, known) for scenario in scenarios]


def model(large: bool) -> Model:
    known: Memo = {}
    return Model(
        "timetable",
        "versions of the configuration, and members, on majorities of disks",
        lambda: initial_worlds(large, known),
        partial(thaw_world, known),
        say,
        PROPERTIES,
        may_terminate=lambda world: True,
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
