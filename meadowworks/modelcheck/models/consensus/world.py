"""One world of the model: acceptors on disks, the calls that are under way, and the steps that may come."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    PromiseReply,
    SnapshotReply,
    SnapshotRequest,
)
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
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.consensus.acceptors import exchange, may_vote_in
from meadowworks.modelcheck.models.consensus.enabled import enabled_steps
from meadowworks.modelcheck.models.consensus.frozen import (
    EPOCH,
    INSTALLED,
    MEMBER_ID,
    Call,
    freeze_acceptor,
    freeze_call,
    freeze_request,
    thaw_call,
    thaw_epoch,
    thaw_request,
)
from meadowworks.modelcheck.models.consensus.machines import Machines
from meadowworks.modelcheck.models.consensus.scenarios import NO_PAIRS, Scenario, X

# What came of a request, by the proposer and the acceptor as they were: the acceptor, the proposer, its
# outcome, the reply's epoch if it is a newer one, and what was done. Whom it asks next, too.
Memo = dict[tuple[Any, Any], Any]


MAX_MEMO_ENTRIES = 1 << 18


class World(Machines):
    """One world: the machines, and the calls of the scenario's tasks.

    `memo` is what the acceptors have answered before; it is of one model, so that a seeded fault finds it
    empty. `outcomes` is what the properties of a step look at.
    """

    def __init__(self, scenario: Scenario, memo: Memo) -> None:
        super().__init__(scenario)
        self.memo = memo
        self.outcomes: list[tuple[Any, ...]] = []
        self.calls: list[Any] = [None] * len(scenario.tasks)
        self.attempts_left: list[int] = list(scenario.attempts)
        self.late_requests: tuple[Any, ...] = ()
        self.chosen: tuple[tuple[int, int, bytes], ...] = ()  # epoch, version, value: may be acknowledged
        self.proposed_members: tuple[tuple[int, bytes], ...] = ()  # and the epoch in which they were
        if scenario.next_members:
            value = encode_member_list(scenario.next_members)
            self.chosen, self.proposed_members = ((1, MEMBERSHIP_VERSION, value),), ((1, value),)
        if scenario.chosen_at:
            self.chosen = (*self.chosen, (1, 1, X))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """The steps that may come next."""
        return enabled_steps(self)

    def unanswered_members(self, p: int) -> Any:
        """Whom a task's call asks, by the memo."""
        at = "targets", self.calls[p]
        if (found := self.memo.get(at)) is None:
            call = thaw_call(self.calls[p])
            assert call is not None
            found = self.memo[at] = call.unanswered_members()
        return found

    def take_step(self, step: Step) -> None:
        """Takes a step; what the acceptors have changed is on their disks after it."""
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
        """A task begins an attempt."""
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
        """The newest version that may be acknowledged."""
        return max((version for _, version, _ in self.chosen), default=0)

    def proposer(self, home: int, epoch: Epoch, version: int, content: bytes | None) -> Proposer:
        """A proposer of a place's replica."""
        calls = QuorumCallFactory(self.acceptor_at(home), 1)
        calls.last_ballot_number = self.ballot_numbers[home]
        made = calls.new_proposer(epoch, version, Operation(OperationKind.PROPOSE, version, content, 0, []))
        self.ballot_numbers[home] = calls.last_ballot_number
        return made

    def set_call(self, p: int, call: Call | None, floor: int | None = None) -> None:
        """A task goes on with another call; none: its attempt is over. `floor` stays if none is given."""
        if floor is None:
            floor = self.calls[p][-1] if self.calls[p] else 0
        self.calls[p] = None if call is None else freeze_call(call, floor)

    def do_ask(self, p: int, k: int, heard: bool = True) -> None:
        """A call asks an acceptor; without `heard` the reply is lost."""
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
            self.acceptor_at(self.scenario.tasks[p].place).on_epoch_announced(newer)
        self.calls[p] = call
        if outcome is not None:
            made = thaw_call(frozen)
            assert made is not None
            made.outcome = outcome
            self.on_outcome(p, made)

    def do_lost(self, p: int, k: int) -> None:
        """A call asks an acceptor, and the reply is lost."""
        self.do_ask(p, k, heard=False)

    def on_outcome(self, p: int, call: Call) -> None:
        """Goes on as a replica does; what it would begin again by itself is another attempt."""
        task = self.scenario.tasks[p]
        home = self.acceptor_at(task.place)
        leaving = task.kind == "leave"
        match call.outcome:
            case Chosen(version, value):
                self.chosen = tuple(sorted({*self.chosen, (call.epoch.number, version, value)}))
                if version == MEMBERSHIP_VERSION:
                    next_epoch = Epoch(call.epoch.number + 1, decode_member_list(value))
                    return self.set_call(p, Reconfiguration(call.epoch, next_epoch))
                home.learn(version, value)
                self.attempts_left[p] = self.attempts_left[p] if leaving else 0
            case Superseded(committed, history):
                home.learn(committed.version, committed.value, history)
                self.attempts_left[p] = self.attempts_left[p] if leaving else 0
            case RetryWithHigherBallot(ballot):
                self.ballot_numbers[task.place] = max(self.ballot_numbers[task.place], ballot.number)
                return self.set_call(p, None)
            case EpochChanged(epoch, True):
                return self.set_call(p, Reconfiguration(call.epoch, epoch))
            case EpochChanged(epoch, False):
                home.on_epoch_announced(epoch)
                if task.kind == "members" and isinstance(call, Reconfiguration):
                    self.attempts_left[p] = 0
            case QuorumReadResult():
                return self.on_quorum_read(p, call, call.outcome)
        return self.set_call(p, QuorumRead(home.newest_epoch()) if leaving else None)

    def on_quorum_read(self, p: int, call: Call, result: QuorumReadResult) -> None:
        """A reader is told; who leaves hands over, or learns first what it does not know."""
        task = self.scenario.tasks[p]
        home, floor = self.acceptor_at(task.place), self.calls[p][-1]
        if task.kind == "read":
            self.outcomes.append(("read", floor, result.highest_version))
            self.attempts_left[p] = 0
            return self.set_call(p, None)
        if not call.epoch.has_member(home.member_id):
            self.outcomes.append(("handed", floor, self.count_installed(call.epoch), call.epoch.majority))
            self.finish_leaving(p, task.place)
            return self.set_call(p, None)
        if isinstance(call, StateTransfer):
            least = min(call.epoch.majority, len(call.other_members))
            self.outcomes.append(("handed", floor, self.count_knowing(floor, call), least))
            self.finish_leaving(p, task.place)
            return self.set_call(p, None)
        epoch = home.newest_epoch()
        if result.highest_version <= home.committed.version:
            transfer = StateTransfer(epoch, home.member_id, home.committed, home.digest_history())
            return self.set_call(p, transfer, max(floor, home.committed.version))
        if result.committed_version > home.committed.version:
            self.fetch_snapshot(home, int(result.address))
            return self.set_call(p, QuorumRead(epoch))
        return self.set_call(p, self.proposer(task.place, epoch, result.highest_version, None))

    def fetch_snapshot(self, acceptor: Acceptor, place: int) -> None:
        """An acceptor learns what another place has committed, if that is there."""
        if self.frozen_acceptors[place] is None:
            return
        reply = self.acceptor_at(place).handle(SnapshotRequest(acceptor.newest_epoch().number))
        assert isinstance(reply, SnapshotReply)
        acceptor.learn(reply.committed.version, reply.committed.value, reply.history)

    def count_installed(self, epoch: Epoch) -> int:
        """How many members of an epoch are installed in it, or in a later one."""
        return sum(
            frozen[EPOCH][0] >= epoch.number
            for frozen in self.frozen_acceptors
            if frozen and frozen[INSTALLED] and epoch.has_member(frozen[MEMBER_ID])
        )

    def count_knowing(self, version: int, call: StateTransfer) -> int:
        """How many members to which a transfer goes have committed a version, or a newer one."""
        others = {disk for disk, _ in call.other_members}
        return sum(
            frozen is not None
            and self.acceptor_at(k).member_id in others
            and self.acceptor_at(k).committed.version >= version
            for k, frozen in enumerate(self.frozen_acceptors)
        )

    def finish_leaving(self, p: int, home: int) -> None:
        """Who leaves ends; its machine is taken away, with the disk."""
        self.attempts_left[p] = 0
        self.do_gone(home)

    def end_calls(self, home: int) -> None:
        """The calls of a place's process end."""
        for p, task in enumerate(self.scenario.tasks):
            if task.place == home:
                self.delay_request(p)
                self.calls[p] = None

    def delay_request(self, p: int) -> None:
        """Requests of a call that are on their way when it ends may come later."""
        call = thaw_call(self.calls[p])
        if self.scenario.requests_may_be_late and isinstance(call, Proposer | Reconfiguration):
            to = tuple(int(address) for _, address in call.unanswered_members())
            self.late_requests = tuple(sorted({*self.late_requests, (freeze_request(call.request()), to)}))

    def do_late(self, place: int, k: int) -> None:
        """A late request comes to an acceptor."""
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

    # -- the world as a plain value

    def freeze(self) -> Any:
        """The world as a plain value."""
        return self.scenario, self.key()

    def key(self) -> Any:
        """What tells this world from others."""
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


def thaw_world(memo: Memo, state: Any) -> World:
    """The world that was frozen."""
    scenario, (_, frozen, numbers, calls, attempts, faults, cut, late, chosen, proposed) = state
    world = World.__new__(World)
    world.scenario, world.memo, world.outcomes, world.touched_acceptors = scenario, memo, [], {}
    world.frozen_acceptors, world.ballot_numbers, world.calls, world.attempts_left = (
        list(frozen),
        list(numbers),
        list(calls),
        list(attempts),
    )
    world.faults_left, world.partition, world.late_requests = (
        faults,
        scenario.partition if cut else NO_PAIRS,
        late,
    )
    world.chosen, world.proposed_members = chosen, proposed
    return world
