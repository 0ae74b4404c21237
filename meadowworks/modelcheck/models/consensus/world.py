"""The state of the consensus model: acceptors on disks, calls in flight, and the steps between states."""

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

# Caches the results of `exchange` by frozen call and acceptor, and the members that a call has still to ask.
Memo = dict[tuple[Any, Any], Any]


MAX_MEMO_ENTRIES = 1 << 18

# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "begin": "begin_attempt",
    "ask": "ask_acceptor",
    "lost": "ask_and_lose_reply",
    "late": "deliver_late_request",
    "wipe": "replace_disk",
    "gone": "lose_machine",
    "crash": "lose_power",
    "off": "restart_without_vote",
    "on": "restart_with_vote",
    "tell": "send_committed_value",
    "hear": "announce_epoch",
    "bring": "install_member",
    "cut": "start_partition",
}


class World(Machines):
    """One state of the model: the machines and the calls of the scenario's tasks.

    `memo` caches answers of acceptors. Each model has its own, so that a seeded fault does not get answers
    of the code without it. `outcomes` holds the records of the last step for the step properties.
    """

    def __init__(self, scenario: Scenario, memo: Memo) -> None:
        super().__init__(scenario)
        self.memo = memo
        self.outcomes: list[tuple[Any, ...]] = []
        self.calls: list[Any] = [None] * len(scenario.tasks)
        self.attempts_left: list[int] = list(scenario.attempts)
        self.late_requests: tuple[Any, ...] = ()
        # (epoch, version, value) of the chosen values, which may have been acknowledged
        self.chosen: tuple[tuple[int, int, bytes], ...] = ()
        # (epoch of the proposal, encoded member list)
        self.proposed_members: tuple[tuple[int, bytes], ...] = ()
        if scenario.next_members:
            value = encode_member_list(scenario.next_members)
            self.chosen, self.proposed_members = ((1, MEMBERSHIP_VERSION, value),), ((1, value),)
        if scenario.chosen_at:
            self.chosen = (*self.chosen, (1, 1, X))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that are enabled in this state."""
        return enabled_steps(self)

    def unanswered_members(self, task_index: int) -> Any:
        """Return the members that a task's call has still to ask, from the memo if they are cached."""
        memo_key = "targets", self.calls[task_index]
        if (members := self.memo.get(memo_key)) is None:
            call = thaw_call(self.calls[task_index])
            assert call is not None
            members = self.memo[memo_key] = call.unanswered_members()
        return members

    def take_step(self, step: Step) -> None:
        """Take a step; all changes of the acceptors are on their disks when it ends."""
        kind, *arguments = step
        self.outcomes, before = [], list(self.frozen_acceptors)
        getattr(self, STEP_METHODS[kind])(*arguments)
        for machine, acceptor in self.touched_acceptors.items():  # written before the reply is sent
            acceptor.changed_slots, acceptor.metadata_changed, acceptor.committed_changed = (
                set(),
                False,
                False,
            )
            self.frozen_acceptors[machine] = freeze_acceptor(acceptor)
        self.touched_acceptors = {}
        self.outcomes += [
            ("kept", old, new)
            for old, new in zip(before, self.frozen_acceptors, strict=True)
            if old is not new and old is not None and new is not None and old[MEMBER_ID] == new[MEMBER_ID]
        ]

    def begin_attempt(self, task_index: int) -> None:
        """Begin an attempt of a task."""
        task = self.scenario.tasks[task_index]
        self.attempts_left[task_index] -= 1
        self.delay_request(task_index)
        local = self.acceptor_at(task.machine)
        epoch = local.newest_epoch()
        if task.kind == "change":
            self.set_call(
                task_index,
                Reconfiguration(
                    thaw_epoch(1, self.scenario.members), thaw_epoch(2, self.scenario.next_members)
                ),
            )
        elif task.kind == "carry":
            assert local.sealed_by is not None
            self.set_call(task_index, Reconfiguration(local.epoch, local.sealed_by))
        elif task.kind == "members" or task.kind == "leave" and len(epoch.members) > 3:
            others = tuple((d, a) for d, a in epoch.members if d != local.member_id)
            members = others if task.kind == "leave" else task.members
            value = encode_member_list(members) if members else None
            if value is not None:
                self.proposed_members = tuple(sorted({*self.proposed_members, (epoch.number, value)}))
            self.set_call(task_index, self.new_proposer(task.machine, epoch, MEMBERSHIP_VERSION, value))
        elif task.kind in ("put", "finish"):
            self.set_call(task_index, self.new_proposer(task.machine, epoch, task.version, task.value))
        else:
            self.set_call(task_index, QuorumRead(epoch), self.highest_chosen_version())

    def highest_chosen_version(self) -> int:
        """Return the highest version that may have been acknowledged, 0 if there is none."""
        return max((version for _, version, _ in self.chosen), default=0)

    def new_proposer(self, machine: int, epoch: Epoch, version: int, value: bytes | None) -> Proposer:
        """Return a new proposer of the replica on a machine."""
        calls = QuorumCallFactory(self.acceptor_at(machine), 1)
        calls.last_ballot_number = self.ballot_numbers[machine]
        proposer = calls.new_proposer(epoch, version, Operation(OperationKind.PROPOSE, version, value, 0, []))
        self.ballot_numbers[machine] = calls.last_ballot_number
        return proposer

    def set_call(self, task_index: int, call: Call | None, min_version: int | None = None) -> None:
        """Replace the call of a task; without a call, its attempt has ended.

        :param min_version: kept from the previous call if it is None.
        """
        if min_version is None:
            min_version = self.calls[task_index][-1] if self.calls[task_index] else 0
        self.calls[task_index] = None if call is None else freeze_call(call, min_version)

    def ask_acceptor(self, task_index: int, machine: int, receives_reply: bool = True) -> None:
        """Send the request of a call to an acceptor; the reply is lost unless `receives_reply`."""
        frozen = self.calls[task_index]
        memo_key = frozen, self.frozen_acceptors[machine]
        if (result := self.memo.get(memo_key)) is None:
            if len(self.memo) >= MAX_MEMO_ENTRIES:
                self.memo.clear()
            result = self.memo[memo_key] = exchange(*memo_key)
        self.frozen_acceptors[machine], call, outcome, newer_epoch, vote = result
        if vote is not None:
            self.outcomes.append(vote)
        if not receives_reply:
            return
        if newer_epoch is not None:
            self.acceptor_at(self.scenario.tasks[task_index].machine).on_epoch_announced(newer_epoch)
        self.calls[task_index] = call
        if outcome is not None:
            finished_call = thaw_call(frozen)
            assert finished_call is not None
            finished_call.outcome = outcome
            self.on_outcome(task_index, finished_call)

    def ask_and_lose_reply(self, task_index: int, machine: int) -> None:
        """Send the request of a call to an acceptor whose reply is lost."""
        self.ask_acceptor(task_index, machine, receives_reply=False)

    def on_outcome(self, task_index: int, call: Call) -> None:
        """Continue a task after its call's outcome as a replica does.

        Where a replica would begin again by itself, the model takes another attempt.
        """
        task = self.scenario.tasks[task_index]
        local = self.acceptor_at(task.machine)
        is_leaving = task.kind == "leave"
        match call.outcome:
            case Chosen(version, value):
                self.chosen = tuple(sorted({*self.chosen, (call.epoch.number, version, value)}))
                if version == MEMBERSHIP_VERSION:
                    next_epoch = Epoch(call.epoch.number + 1, decode_member_list(value))
                    return self.set_call(task_index, Reconfiguration(call.epoch, next_epoch))
                local.learn(version, value)
                self.attempts_left[task_index] = self.attempts_left[task_index] if is_leaving else 0
            case Superseded(committed, history):
                local.learn(committed.version, committed.value, history)
                self.attempts_left[task_index] = self.attempts_left[task_index] if is_leaving else 0
            case RetryWithHigherBallot(ballot):
                self.ballot_numbers[task.machine] = max(self.ballot_numbers[task.machine], ballot.number)
                return self.set_call(task_index, None)
            case EpochChanged(epoch, True):
                return self.set_call(task_index, Reconfiguration(call.epoch, epoch))
            case EpochChanged(epoch, False):
                local.on_epoch_announced(epoch)
                if task.kind == "members" and isinstance(call, Reconfiguration):
                    self.attempts_left[task_index] = 0
            case QuorumReadResult():
                return self.on_quorum_read(task_index, call, call.outcome)
        return self.set_call(task_index, QuorumRead(local.newest_epoch()) if is_leaving else None)

    def on_quorum_read(self, task_index: int, call: Call, result: QuorumReadResult) -> None:
        """Complete a read; for a leaving member, transfer its state or first learn the missing version."""
        task = self.scenario.tasks[task_index]
        local, min_version = self.acceptor_at(task.machine), self.calls[task_index][-1]
        if task.kind == "read":
            self.outcomes.append(("read", min_version, result.highest_version))
            self.attempts_left[task_index] = 0
            return self.set_call(task_index, None)
        if not call.epoch.has_member(local.member_id):
            self.outcomes.append(
                ("handed", min_version, self.count_installed(call.epoch), call.epoch.majority)
            )
            self.finish_leaving(task_index, task.machine)
            return self.set_call(task_index, None)
        if isinstance(call, StateTransfer):
            required_count = min(call.epoch.majority, len(call.other_members))
            self.outcomes.append(
                ("handed", min_version, self.count_up_to_date(min_version, call), required_count)
            )
            self.finish_leaving(task_index, task.machine)
            return self.set_call(task_index, None)
        epoch = local.newest_epoch()
        if result.highest_version <= local.committed.version:
            transfer = StateTransfer(epoch, local.member_id, local.committed, local.digest_history())
            return self.set_call(task_index, transfer, max(min_version, local.committed.version))
        if result.committed_version > local.committed.version:
            self.fetch_snapshot(local, int(result.address))
            return self.set_call(task_index, QuorumRead(epoch))
        return self.set_call(task_index, self.new_proposer(task.machine, epoch, result.highest_version, None))

    def fetch_snapshot(self, acceptor: Acceptor, machine: int) -> None:
        """Copy the committed value of another machine to an acceptor, if that machine still exists."""
        if self.frozen_acceptors[machine] is None:
            return
        reply = self.acceptor_at(machine).handle(SnapshotRequest(acceptor.newest_epoch().number))
        assert isinstance(reply, SnapshotReply)
        acceptor.learn(reply.committed.version, reply.committed.value, reply.history)

    def count_installed(self, epoch: Epoch) -> int:
        """Return how many members of an epoch are installed in it or in a later one."""
        return sum(
            frozen[EPOCH][0] >= epoch.number
            for frozen in self.frozen_acceptors
            if frozen and frozen[INSTALLED] and epoch.has_member(frozen[MEMBER_ID])
        )

    def count_up_to_date(self, version: int, call: StateTransfer) -> int:
        """Return how many receivers of a state transfer have committed a version or a newer one."""
        others = {disk for disk, _ in call.other_members}
        return sum(
            frozen is not None
            and self.acceptor_at(machine).member_id in others
            and self.acceptor_at(machine).committed.version >= version
            for machine, frozen in enumerate(self.frozen_acceptors)
        )

    def finish_leaving(self, task_index: int, machine: int) -> None:
        """End a leave; the machine is removed with its disk."""
        self.attempts_left[task_index] = 0
        self.lose_machine(machine)

    def end_calls(self, machine: int) -> None:
        """End the calls of the process on a machine."""
        for task_index, task in enumerate(self.scenario.tasks):
            if task.machine == machine:
                self.delay_request(task_index)
                self.calls[task_index] = None

    def delay_request(self, task_index: int) -> None:
        """Keep the unanswered requests of a call that ends, to be delivered later."""
        call = thaw_call(self.calls[task_index])
        if self.scenario.requests_may_be_late and isinstance(call, Proposer | Reconfiguration):
            destinations = tuple(int(address) for _, address in call.unanswered_members())
            self.late_requests = tuple(
                sorted({*self.late_requests, (freeze_request(call.request()), destinations)})
            )

    def deliver_late_request(self, index: int, machine: int) -> None:
        """Deliver a late request to an acceptor."""
        frozen_request, destinations = self.late_requests[index]
        remaining = tuple(other for other in destinations if other != machine)
        late_requests = [
            *self.late_requests[:index],
            *([(frozen_request, remaining)] if remaining else []),
            *self.late_requests[index + 1 :],
        ]
        self.late_requests = tuple(sorted(late_requests))
        acceptor, request = self.acceptor_at(machine), thaw_request(frozen_request)
        newest, may_vote = acceptor.newest_epoch().number, may_vote_in(acceptor, request.epoch)
        if isinstance(acceptor.handle(request), PromiseReply | AcceptedReply):
            self.outcomes.append(("took", request.epoch, newest, may_vote))

    # -- the world as a plain value

    def freeze(self) -> Any:
        """Return the scenario and the state as plain values."""
        return self.scenario, self.key()

    def key(self) -> Any:
        """Return the plain values that identify this state."""
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
    """Return the world of a frozen state."""
    scenario, (_, acceptors, ballot_numbers, calls, attempts, faults, is_cut, late, chosen, proposed) = state
    world = World.__new__(World)
    world.scenario, world.memo, world.outcomes, world.touched_acceptors = scenario, memo, [], {}
    world.frozen_acceptors, world.ballot_numbers, world.calls, world.attempts_left = (
        list(acceptors),
        list(ballot_numbers),
        list(calls),
        list(attempts),
    )
    world.faults_left, world.partition, world.late_requests = (
        faults,
        scenario.partition if is_cut else NO_PAIRS,
        late,
    )
    world.chosen, world.proposed_members = chosen, proposed
    return world
