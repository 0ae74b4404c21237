"""A signalbox's part in the agreement, as one machine without I/O: its acceptor, what it proposes, whom it
has heard of, and the order of its writes and sends.

Every input takes the time; what is to be done comes out of `take_effects` as effects, in order. Nothing
that an acceptor answers leaves before the write that it rests on is reported by `on_persisted`; no request
leaves before the number of this life is on the disk. Times are of the steady clock, in nanoseconds.

What may be said to the outside goes by a lease: a majority of the epoch's members have answered questions
that left within `LEASE_DURATION_NS`, and what they have accepted is known here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from meadowworks.consensus.register import (
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    UNKNOWN_EPOCH,
    Acceptor,
    AcceptorSlot,
    Ballot,
    Chosen,
    CommittedValue,
    Epoch,
    EpochChanged,
    InstallRequest,
    Proposer,
    QueryReply,
    QuorumRead,
    QuorumReadResult,
    Reconfiguration,
    Reply,
    Request,
    RetryWithHigherBallot,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    StateTransfer,
    Superseded,
    decode_epoch,
    digest,
    encode_epoch,
    next_members,
)

MILLISECOND_NS, SECOND_NS = 1_000_000, 1_000_000_000
LEASE_DURATION_NS = 1_800 * MILLISECOND_NS
RESEND_INTERVAL_NS = 300 * MILLISECOND_NS  # that a reply is waited for before the request goes again
INITIAL_BACKOFF_NS, MAX_BACKOFF_NS = (
    20 * MILLISECOND_NS,
    500 * MILLISECOND_NS,
)  # before a try that a higher ballot ended begins anew
FINISH_DELAY_NS, FINISH_DELAY_DEGRADED_NS = (
    400 * MILLISECOND_NS,
    60 * MILLISECOND_NS,
)  # that another may take to finish its own; less when a copy is missing
MEMBER_SILENCE_TIMEOUT_NS = 2 * SECOND_NS  # a member that has not answered for so long is away
EPOCH_SETTLING_NS = 2 * SECOND_NS  # an epoch, or a life, that began within this
RANK_DELAY_NS = 250 * MILLISECOND_NS  # by which the next member waits longer before it proposes other members
BOOTSTRAP_WAIT_NS = 1_500 * MILLISECOND_NS  # that founding waits for voters that are not heard of yet
MEMBERSHIP_CHECK_INTERVAL_NS = 250 * MILLISECOND_NS  # between looks at the members
PEER_EXPIRY_NS = 60 * SECOND_NS  # after which a disk that is not heard of is not spoken of either
STALL_THRESHOLD_NS = (
    SECOND_NS  # a tick that is later than this: this process stood still, and knows nobody's silence
)
NOTHING_COMMITTED = CommittedValue()
LEAVE_WAITER_ID = -1  # the order under which `leave` reports


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """What a write holds. `metadata`: all of the acceptor's own fields; `slots`: none takes one away;
    `history`: what is added, and what is below `oldest_history_version` goes."""

    metadata: Mapping[str, Any] | None
    committed: CommittedValue | None
    history: Mapping[int, bytes]
    oldest_history_version: int
    slots: Mapping[int, AcceptorSlot | None]


@dataclass(frozen=True, slots=True)
class Persist:
    write_id: int
    update: StateUpdate


@dataclass(frozen=True, slots=True)
class SendRequest:
    request_id: int
    address: str
    request: Request


@dataclass(frozen=True, slots=True)
class SendReply:
    """The reply to a request that came under `ticket`; `member_id` answers it."""

    ticket: Any
    member_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class Committed:
    """In force, or overtaken by a higher version and without effect."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another content was chosen under this number."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """Not decided in time, or not to be known here: it may be in force. `retry_after_ns`: when to ask
    again."""

    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class CompleteOperation:
    waiter_id: int
    outcome: Committed | Conflict | Undecided | CommittedValue


@dataclass(frozen=True, slots=True)
class ValueCommitted:
    committed: CommittedValue


@dataclass(frozen=True, slots=True)
class LogEntry:
    text: str


Effect = Persist | SendRequest | SendReply | CompleteOperation | ValueCommitted | LogEntry
QuorumCall = Proposer | Reconfiguration | QuorumRead | StateTransfer


@dataclass(slots=True)
class PeerState:
    """Another signalbox's disk. `confirmed_ns`: when the newest question left that counts for the lease."""

    last_reply: QueryReply
    last_reply_ns: int
    confirmed_ns: int = 0
    unconfirmed: list[tuple[int, int]] = field(default_factory=list)  # versions to be known, and when asked


@dataclass(slots=True)
class Operation:
    """Something that is carried through: an order, a read, a version or a change of members to finish."""

    kind: str  # propose, finish, read, members, leave
    version: int
    value: bytes | None
    deadline_ns: int
    waiter_ids: list[int]
    quorum_call: QuorumCall | None = None
    round_number: int = 0
    due_ns: int = 0
    backoff_ns: int = INITIAL_BACKOFF_NS
    min_ballot_number: int = 0
    previous_epoch: Epoch | None = None  # of a change that is to be carried through: the epoch that ends


class Replica:
    """`random_fraction` gives numbers from 0 to 1."""

    def __init__(
        self, acceptor: Acceptor, tolerated_failures: int, random_fraction: Callable[[], float]
    ) -> None:
        self.acceptor, self.tolerated_failures, self.random_fraction = (
            acceptor,
            tolerated_failures,
            random_fraction,
        )
        self.effects: list[Effect] = []
        self.peers: dict[str, PeerState] = {}
        self.own_state = PeerState(
            acceptor.query_reply(), 0
        )  # as a member: what it has accepted may be acknowledged already
        self.operations: dict[int, Operation] = {}
        self.pending_requests: dict[int, tuple[int, int, str]] = {}  # operation id, round, member id
        self.last_id = self.last_ballot_number = 0
        self.last_write_id = self.write_in_flight = self.last_written_id = 0
        self.update_in_flight: StateUpdate | None = None  # in flight
        self.write_retry_ns = 0
        self.awaiting_write: deque[tuple[int, Any]] = deque()
        self.ready: deque[Any] = deque()
        self.persisted_history_versions = set(acceptor.history)
        self.started = self.leaving = False
        self.started_ns = self.epoch_since_ns = self.last_tick_ns = self.last_check_ns = 0
        self.condition_since_ns: dict[Any, int] = {}  # when something that should not last was first seen

    # -- inputs

    def start(self, now_ns: int) -> None:
        """The first write holds the number of this life: ballots made in it are of this life alone."""
        self.started_ns = self.epoch_since_ns = self.last_tick_ns = now_ns
        self.acceptor.incarnation += 1
        self.acceptor.metadata_changed = True
        self.defer_until_written(("started",))
        self.flush(now_ns)

    def on_request(self, now_ns: int, ticket: Any, request: Request) -> None:
        """A request from another signalbox."""
        member_id = self.acceptor.id_in_epoch(request.epoch)
        self.defer_until_written(("tell", ticket, member_id, self.handle_request(now_ns, request)))
        self.flush(now_ns)

    def on_reply(self, now_ns: int, request_id: int, member_id: str, reply: Reply) -> None:
        """The reply to a question."""
        if (found := self.pending_requests.pop(request_id, None)) is None:
            return
        operation_id, round_number, _ = found
        if isinstance(reply, StaleEpochReply):
            self.on_epoch(now_ns, reply.epoch)
        if (
            operation := self.operations.get(operation_id)
        ) is not None and operation.round_number == round_number:
            self.on_operation_reply(now_ns, operation_id, operation, member_id, reply)
        self.flush(now_ns)

    def on_request_failed(self, now_ns: int, request_id: int) -> None:
        """No reply came, or may come any more."""
        self.pending_requests.pop(request_id, None)

    def on_persisted(self, now_ns: int, write_id: int) -> None:
        """The write of a mark, and all before it, are on the disk."""
        self.last_written_id, self.write_in_flight, self.update_in_flight = write_id, 0, None
        while self.awaiting_write and self.awaiting_write[0][0] <= write_id:
            self.ready.append(self.awaiting_write.popleft()[1])
        self.flush(now_ns)

    def on_persist_failed(self, now_ns: int, write_id: int) -> None:
        """The disk refused the write: what rests on it waits, and it is tried again."""
        self.write_retry_ns = now_ns + 200 * MILLISECOND_NS

    def propose(self, now_ns: int, waiter_id: int, version: int, value: bytes, deadline_ns: int) -> None:
        """An operator's change, checked."""
        if not self.holds_lease(now_ns):
            self.effects.append(CompleteOperation(waiter_id, Undecided(SECOND_NS)))
            return
        if version <= self.acceptor.committed.version:
            self.effects.append(CompleteOperation(waiter_id, self.outcome_of(version, value)))
            return
        for operation in self.operations.values():
            if operation.kind == "propose" and operation.version == version and operation.value == value:
                operation.waiter_ids.append(waiter_id)
                operation.deadline_ns = max(operation.deadline_ns, deadline_ns)
                return
        self.begin_operation(now_ns, Operation("propose", version, value, deadline_ns, [waiter_id]))
        self.flush(now_ns)

    def read(self, now_ns: int, waiter_id: int, deadline_ns: int) -> None:
        """The newest version that may have been acknowledged before now."""
        if not self.started or self.acceptor.newest_epoch().number < 1 or self.leaving:
            self.effects.append(CompleteOperation(waiter_id, Undecided(SECOND_NS)))
            return
        self.begin_operation(now_ns, Operation("read", 0, None, deadline_ns, [waiter_id]))
        self.flush(now_ns)

    def on_committed_value(self, now_ns: int, committed: CommittedValue, history: Any = ()) -> None:
        """Another signalbox says what is chosen."""
        self.record_committed(committed, history)
        self.flush(now_ns)

    def on_query_reply(self, now_ns: int, sent_ns: int, reply: QueryReply) -> None:
        """Another signalbox's answer to a question of this one that left at `sent_ns`."""
        peer = self.peers.get(reply.member_id)
        if peer is None:
            for disk in [d for d, p in self.peers.items() if p.last_reply.address == reply.address]:
                del self.peers[disk]  # an empty disk stands there now
            peer = self.peers[reply.member_id] = PeerState(reply, now_ns)
        peer.last_reply, peer.last_reply_ns = reply, now_ns
        if reply.may_vote and reply.epoch == self.acceptor.newest_epoch().number:
            peer.unconfirmed = [*peer.unconfirmed, (reply.highest_version, sent_ns)][-8:]
            self.confirm_lease(peer)

    def on_epoch(self, now_ns: int, epoch: Epoch) -> None:
        """An epoch that is in force somewhere."""
        if epoch.number > 0 and self.acceptor.on_epoch(epoch):
            self.epoch_since_ns = now_ns
            for peer in self.peers.values():
                peer.confirmed_ns, peer.unconfirmed = 0, []
            self.log(f"epoch {epoch.number} has {len(epoch.members)} members")

    def leave(self, now_ns: int, deadline_ns: int) -> None:
        """This signalbox ends: what it holds is handed over; `CompleteOperation(LEAVE_WAITER_ID, ...)`
        tells when."""
        self.leaving, self.acceptor.wants_membership = True, False
        for operation in list(self.operations.values()):
            if operation.kind in ("propose", "read"):
                operation.deadline_ns = min(operation.deadline_ns, now_ns + 400 * MILLISECOND_NS)
        if not self.acceptor.may_vote():
            self.effects.append(CompleteOperation(LEAVE_WAITER_ID, Committed()))
            return
        self.begin_operation(now_ns, Operation("leave", 0, None, deadline_ns, [LEAVE_WAITER_ID]))
        self.flush(now_ns)

    def tick(self, now_ns: int) -> None:
        """Time has passed; `next_tick_ns` says when to call."""
        if now_ns - self.last_tick_ns > STALL_THRESHOLD_NS:
            for peer in self.peers.values():
                peer.last_reply_ns = now_ns
        self.last_tick_ns = now_ns
        if (
            self.write_in_flight
            and self.write_retry_ns
            and now_ns >= self.write_retry_ns
            and self.update_in_flight is not None
        ):
            self.write_retry_ns = 0
            self.effects.append(Persist(self.write_in_flight, self.update_in_flight))
        for operation_id, operation in list(self.operations.items()):
            if now_ns >= operation.deadline_ns:
                self.complete_operation(operation_id, Undecided(200 * MILLISECOND_NS))
            elif now_ns >= operation.due_ns:
                if operation.quorum_call is None:
                    self.begin_attempt(now_ns, operation_id, operation)
                else:
                    self.send_round(now_ns, operation_id, operation)
        if self.started and now_ns - self.last_check_ns >= MEMBERSHIP_CHECK_INTERVAL_NS:
            self.last_check_ns = now_ns
            self.own_state.unconfirmed = [
                *self.own_state.unconfirmed,
                (self.acceptor.highest_undecided_version(), now_ns),
            ][-8:]
            self.confirm_lease(self.own_state)
            for disk in [d for d, p in self.peers.items() if now_ns - p.last_reply_ns > PEER_EXPIRY_NS]:
                del self.peers[disk]
            self.check_membership(now_ns)
        self.flush(now_ns)

    def next_tick_ns(self) -> int:
        """When `tick` is next to be called."""
        times = [
            self.last_check_ns + MEMBERSHIP_CHECK_INTERVAL_NS,
            *(min(o.due_ns, o.deadline_ns) for o in self.operations.values()),
        ]
        if self.write_retry_ns:
            times.append(self.write_retry_ns)
        return min(times)

    def take_effects(self) -> list[Effect]:
        found, self.effects = self.effects, []
        return found

    # -- what may be said

    def known_as_of_ns(self, now_ns: int) -> int | None:
        """Whatever was acknowledged before this time is known here; none if that can't be said of any."""
        epoch, acceptor = self.acceptor.newest_epoch(), self.acceptor
        if not self.started or epoch.number < 1 or not epoch.members:
            return None
        times = []
        for disk, _ in epoch.members:
            if disk == acceptor.member_id:
                if acceptor.may_vote():
                    times.append(
                        now_ns if not acceptor.highest_undecided_version() else self.own_state.confirmed_ns
                    )
            elif (peer := self.peers.get(disk)) is not None and peer.confirmed_ns:
                times.append(peer.confirmed_ns)
        if len(times) < epoch.majority:
            return None
        return sorted(times, reverse=True)[epoch.majority - 1]

    def holds_lease(self, now_ns: int) -> bool:
        """Whether this signalbox has its lease."""
        at = self.known_as_of_ns(now_ns)
        return at is not None and not self.leaving and now_ns - at < LEASE_DURATION_NS

    def outcome_of(self, version: int, value: bytes) -> Committed | Conflict:
        """Of a version not above the one held."""
        held = self.acceptor.committed
        if version == held.version:
            return Committed() if value == held.value else Conflict()
        known = self.acceptor.history.get(version)
        return Committed() if known is None or known == digest(value) else Conflict()

    # -- jobs

    def begin_operation(self, now_ns: int, operation: Operation) -> None:
        self.last_id += 1
        self.operations[self.last_id] = operation
        self.begin_attempt(now_ns, self.last_id, operation)

    def begin_attempt(self, now_ns: int, operation_id: int, operation: Operation) -> None:
        """Begins a try."""
        acceptor = self.acceptor
        epoch = acceptor.newest_epoch()
        operation.round_number += 1
        if not self.started:  # a ballot of this life may not leave before the life is on the disk
            operation.quorum_call, operation.due_ns = None, now_ns + RESEND_INTERVAL_NS
            return
        if operation.kind == "members":
            if operation.previous_epoch is not None:
                operation.quorum_call = Reconfiguration(
                    operation.previous_epoch,
                    Epoch(operation.previous_epoch.number + 1, decode_member_list(operation.value or b"")),
                )
            elif acceptor.epoch.number != epoch.number or not acceptor.may_vote():
                return self.complete_operation(operation_id, None)  # the set has changed meanwhile
            else:
                operation.quorum_call = self.new_proposer(epoch, MEMBERSHIP_VERSION, operation)
        elif operation.kind in ("propose", "finish"):
            if epoch.number < 1:
                operation.quorum_call, operation.due_ns = None, now_ns + RESEND_INTERVAL_NS
                return
            if operation.version <= acceptor.committed.version:
                return self.complete_operation(
                    operation_id, self.outcome_of(operation.version, operation.value or b"")
                )
            operation.quorum_call = self.new_proposer(epoch, operation.version, operation)
        elif (
            operation.kind == "leave"
            and len(epoch.members) > 2 * self.tolerated_failures + 1
            and acceptor.may_vote()
        ):
            operation.value = operation.value or encode_member_list(
                tuple((d, a) for d, a in epoch.members if d != acceptor.member_id)
            )
            operation.quorum_call = self.new_proposer(epoch, MEMBERSHIP_VERSION, operation)
        else:
            operation.quorum_call = QuorumRead(epoch)
        self.send_round(now_ns, operation_id, operation)

    def new_proposer(self, epoch: Epoch, version: int, operation: Operation) -> Proposer:
        slot = self.acceptor.slots.get(version)
        self.last_ballot_number = (
            max(self.last_ballot_number, operation.min_ballot_number, slot.promised.number if slot else 0) + 1
        )
        member_id = f"{self.acceptor.member_id}.{self.acceptor.incarnation}"
        return Proposer(
            epoch, version, Ballot(epoch.number, self.last_ballot_number, member_id), operation.value
        )

    def send_round(self, now_ns: int, operation_id: int, operation: Operation) -> None:
        """Sends the round's request to whoever has not answered it."""
        call = operation.quorum_call
        assert call is not None
        operation.due_ns = now_ns + RESEND_INTERVAL_NS
        request = call.request()
        for disk, address in call.unanswered_members():
            if disk == self.acceptor.id_in_epoch(request.epoch):
                own = (
                    "own",
                    operation_id,
                    operation.round_number,
                    disk,
                    self.handle_request(now_ns, request),
                )
                self.defer_until_written(own)
            else:
                self.send_request(operation_id, operation.round_number, disk, address, request)

    def send_request(
        self, operation_id: int, round_number: int, member_id: str, address: str, request: Request
    ) -> None:
        self.last_id += 1
        self.pending_requests[self.last_id] = operation_id, round_number, member_id
        while len(self.pending_requests) > 4096:
            del self.pending_requests[next(iter(self.pending_requests))]
        self.effects.append(SendRequest(self.last_id, address, request))

    def on_operation_reply(
        self, now_ns: int, operation_id: int, operation: Operation, member_id: str, reply: Reply
    ) -> None:
        if isinstance(reply, SnapshotReply):
            self.record_committed(reply.committed, reply.history)
            if operation.quorum_call is None:
                self.begin_attempt(now_ns, operation_id, operation)
            return
        if operation.quorum_call is None or not operation.quorum_call.on_reply(member_id, reply):
            return
        if operation.quorum_call.outcome is None:
            operation.round_number += 1
            self.send_round(now_ns, operation_id, operation)
            return
        outcome = operation.quorum_call.outcome
        match outcome:
            case Chosen(version, value) if version == MEMBERSHIP_VERSION:
                before = operation.quorum_call.epoch
                operation.previous_epoch, operation.value = before, value
                operation.quorum_call = Reconfiguration(
                    before, Epoch(before.number + 1, decode_member_list(value))
                )
                operation.round_number += 1
                self.send_round(now_ns, operation_id, operation)
            case Chosen(version, value):
                self.record_committed(CommittedValue(version, value), ())
                if operation.kind == "propose":
                    self.complete_operation(
                        operation_id, Committed() if value == operation.value else Conflict()
                    )
                elif operation.kind == "finish":
                    self.complete_operation(operation_id, None)
                else:
                    self.begin_attempt(now_ns, operation_id, operation)
            case Superseded(held, history):
                self.record_committed(held, history)
                if operation.kind == "propose":
                    self.complete_operation(
                        operation_id, self.outcome_of(operation.version, operation.value or b"")
                    )
                elif operation.kind == "finish":
                    self.complete_operation(operation_id, None)
                else:
                    self.begin_attempt(now_ns, operation_id, operation)
            case RetryWithHigherBallot(ballot):
                if ballot == NO_BALLOT and operation.kind in ("finish", "members"):
                    return self.complete_operation(operation_id, None)
                operation.min_ballot_number = max(operation.min_ballot_number, ballot.number)
                self.back_off(now_ns, operation)
            case EpochChanged(epoch, sealed):
                before = operation.quorum_call.epoch
                if sealed:
                    self.complete_reconfiguration(now_ns, before, epoch)
                else:
                    self.on_epoch(now_ns, epoch)
                if operation.kind == "members":
                    self.complete_operation(operation_id, None)
                else:
                    if operation.kind == "leave":
                        operation.previous_epoch, operation.value = None, None
                    self.back_off(now_ns, operation)
            case QuorumReadResult(needs, version, address):
                self.on_quorum_read(now_ns, operation_id, operation, needs, version, address)

    def on_quorum_read(
        self,
        now_ns: int,
        operation_id: int,
        operation: Operation,
        highest_version: int,
        committed_version: int,
        address: str,
    ) -> None:
        """A majority has said what it holds."""
        acceptor = self.acceptor
        assert operation.quorum_call is not None
        if operation.kind == "leave" and not operation.quorum_call.epoch.has_member(acceptor.member_id):
            self.log("handed over, and out of the members")
            self.complete_operation(operation_id, Committed())
        elif isinstance(operation.quorum_call, StateTransfer):
            self.log(
                f"version {operation.quorum_call.committed.version:08x} is on a majority of the others' disks"
            )
            self.complete_operation(operation_id, Committed())
        elif highest_version <= acceptor.committed.version:
            if operation.kind == "leave":
                operation.quorum_call = StateTransfer(
                    acceptor.newest_epoch(), acceptor.member_id, acceptor.committed, acceptor.digest_history()
                )
                operation.round_number += 1
                if not operation.quorum_call.other_members:
                    return self.complete_operation(operation_id, Committed())
                self.send_round(now_ns, operation_id, operation)
            else:
                self.complete_operation(operation_id, acceptor.committed)
        elif committed_version > acceptor.committed.version and address != acceptor.address:
            operation.quorum_call, operation.round_number, operation.due_ns = (
                None,
                operation.round_number + 1,
                now_ns + RESEND_INTERVAL_NS,
            )
            self.send_request(
                operation_id,
                operation.round_number,
                "",
                address,
                SnapshotRequest(acceptor.newest_epoch().number),
            )
        else:
            operation.value = None
            operation.quorum_call = self.new_proposer(acceptor.newest_epoch(), highest_version, operation)
            operation.round_number += 1
            self.send_round(now_ns, operation_id, operation)

    def back_off(self, now_ns: int, operation: Operation) -> None:
        operation.quorum_call, operation.round_number = None, operation.round_number + 1
        operation.due_ns = now_ns + int(operation.backoff_ns * (0.5 + self.random_fraction()))
        operation.backoff_ns = min(MAX_BACKOFF_NS, 2 * operation.backoff_ns)

    def complete_reconfiguration(self, now_ns: int, previous_epoch: Epoch, next_epoch: Epoch) -> None:
        """Carries a change through that another has had chosen."""
        if any(o.kind == "members" for o in self.operations.values()):
            return
        operation = Operation(
            "members",
            MEMBERSHIP_VERSION,
            encode_member_list(next_epoch.members),
            now_ns + 2 * SECOND_NS,
            [],
            previous_epoch=previous_epoch,
        )
        self.begin_operation(now_ns, operation)

    def complete_operation(
        self, operation_id: int, outcome: Committed | Conflict | Undecided | CommittedValue | None
    ) -> None:
        operation = self.operations.pop(operation_id)
        for waiter_id in operation.waiter_ids:
            if outcome is not None:
                self.effects.append(CompleteOperation(waiter_id, outcome))

    # -- what is known

    def record_committed(self, committed: CommittedValue, history: Any) -> None:
        if self.acceptor.learn(committed.version, committed.value, history):
            self.effects.append(ValueCommitted(self.acceptor.committed))
        for peer in (self.own_state, *self.peers.values()):
            self.confirm_lease(peer)

    def confirm_lease(self, peer: PeerState) -> None:
        """A question counts once what its answer spoke of is known here."""
        known = [sent for needs, sent in peer.unconfirmed if needs <= self.acceptor.committed.version]
        peer.confirmed_ns = max([peer.confirmed_ns, *known])
        peer.unconfirmed = [(n, s) for n, s in peer.unconfirmed if n > self.acceptor.committed.version]

    def handle_request(self, now_ns: int, request: Request) -> Reply:
        """The own acceptor's answer. By it, it may be of another epoch, or hold a newer version."""
        epoch, held = self.acceptor.epoch.number, self.acceptor.committed.version
        reply = self.acceptor.handle(request)
        if self.acceptor.committed.version > held:
            self.effects.append(ValueCommitted(self.acceptor.committed))
            for peer in (self.own_state, *self.peers.values()):
                self.confirm_lease(peer)
        if self.acceptor.epoch.number > epoch:
            self.on_epoch_joined(now_ns)
        return reply

    def on_epoch_joined(self, now_ns: int) -> None:
        self.epoch_since_ns = now_ns
        self.log(f"a member of epoch {self.acceptor.epoch.number}, of {len(self.acceptor.epoch.members)}")
        for peer in self.peers.values():
            peer.confirmed_ns, peer.unconfirmed = 0, []

    # -- from time to time

    def silent_members(self, now_ns: int) -> list[str]:
        """Members that have not answered for long, the longest first."""
        found = []
        for disk, _ in self.acceptor.epoch.members:
            if disk in (self.acceptor.member_id, self.acceptor.founder_id):
                continue
            peer = self.peers.get(disk)
            since = (
                max(peer.last_reply_ns, self.started_ns)
                if peer
                else max(self.epoch_since_ns, self.started_ns)
            )
            if now_ns - since > MEMBER_SILENCE_TIMEOUT_NS:
                found.append((since, disk))
        return [disk for _, disk in sorted(found)]

    def membership_candidates(self, now_ns: int) -> dict[str, str]:
        found = {
            disk: peer.last_reply.address
            for disk, peer in self.peers.items()
            if peer.last_reply.wants_membership
            and peer.last_reply.epoch >= self.acceptor.epoch.number  # said since it may know itself out
            and now_ns - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS
            and not self.acceptor.epoch.has_member(disk)
        }
        if self.acceptor.wants_membership and not self.acceptor.epoch.has_member(self.acceptor.member_id):
            found[self.acceptor.member_id] = self.acceptor.address  # a founder, in epoch 0
        return found

    def condition_duration_ns(self, now_ns: int, condition: Any, holds: bool) -> int:
        """For how long something has been so."""
        if not holds:
            self.condition_since_ns.pop(condition, None)
            return -1
        return now_ns - self.condition_since_ns.setdefault(condition, now_ns)

    def check_membership(self, now_ns: int) -> None:
        """Finishes what others have left, and sees to it that the members are as they should be."""
        acceptor, epoch = self.acceptor, self.acceptor.epoch
        changing = any(o.kind in ("members", "leave") for o in self.operations.values())
        silent = self.silent_members(now_ns)
        alive = sorted(d for d, _ in epoch.members if d not in silent)
        me = acceptor.id_in_epoch(epoch.number)
        rank = alive.index(me) if me in alive else len(alive)
        if acceptor.sealed_by is not None and acceptor.installed:
            if self.condition_duration_ns(now_ns, "sealed", True) >= rank * RANK_DELAY_NS and not changing:
                self.complete_reconfiguration(now_ns, epoch, acceptor.sealed_by)
            return
        self.condition_duration_ns(now_ns, "sealed", False)
        if not acceptor.may_vote():
            return
        thin = bool(silent) or now_ns - self.epoch_since_ns < EPOCH_SETTLING_NS
        undecided = acceptor.highest_undecided_version()
        for key in [k for k in self.condition_since_ns if isinstance(k, tuple) and k[1] != undecided]:
            del self.condition_since_ns[key]
        waits = (FINISH_DELAY_DEGRADED_NS if thin else FINISH_DELAY_NS) + rank * 60 * MILLISECOND_NS
        if self.condition_duration_ns(
            now_ns, ("version", undecided), undecided > acceptor.committed.version
        ) >= waits and not any(o.version == undecided for o in self.operations.values()):
            self.log(f"finishing version {undecided:08x}")
            self.begin_operation(now_ns, Operation("finish", undecided, None, now_ns + SECOND_NS, []))
        slot = acceptor.slots.get(MEMBERSHIP_VERSION)
        begun = slot is not None and slot.accepted > NO_BALLOT
        if (
            self.condition_duration_ns(now_ns, "begun", begun) >= FINISH_DELAY_NS + rank * RANK_DELAY_NS
            and not changing
        ):
            self.begin_operation(
                now_ns, Operation("members", MEMBERSHIP_VERSION, None, now_ns + 2 * SECOND_NS, [])
            )
            return
        if epoch.number > 0:
            self.install_lagging_members(now_ns)
        if changing or begun or self.leaving:
            return
        wanted = self.desired_members(now_ns, silent)
        if (
            self.condition_duration_ns(now_ns, "members", wanted is not None) >= rank * RANK_DELAY_NS
            and wanted is not None
        ):
            self.log(f"proposing {len(wanted)} members for epoch {epoch.number + 1}")
            self.begin_operation(
                now_ns,
                Operation(
                    "members", MEMBERSHIP_VERSION, encode_member_list(wanted), now_ns + 2 * SECOND_NS, []
                ),
            )

    def desired_members(self, now_ns: int, silent_members: list[str]) -> tuple[tuple[str, str], ...] | None:
        candidates = self.membership_candidates(now_ns)
        if self.acceptor.epoch.number > 0:
            return next_members(self.acceptor.epoch, self.tolerated_failures, silent_members, candidates)
        # Founding: nothing can have been acknowledged yet, and whoever comes later is taken in.
        enough = (
            2 * self.tolerated_failures + 1
            if now_ns - self.started_ns < BOOTSTRAP_WAIT_NS
            else self.tolerated_failures + 1
        )
        return tuple(sorted(candidates.items())) if len(candidates) >= enough else None

    def install_lagging_members(self, now_ns: int) -> None:
        """Installs members that have missed the change to this epoch."""
        for disk, address in self.acceptor.epoch.members:
            peer = self.peers.get(disk)
            if (
                peer is None
                or peer.last_reply.may_vote
                and peer.last_reply.epoch == self.acceptor.epoch.number
            ):
                continue
            if (
                peer.last_reply.epoch <= self.acceptor.epoch.number
                and now_ns - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS
            ):
                install = InstallRequest(
                    self.acceptor.epoch.number, self.acceptor.epoch, self.acceptor.export_state()
                )
                self.send_request(0, 0, disk, address, install)

    def log(self, message: str) -> None:
        self.effects.append(LogEntry(message))

    # -- the order of writes and sends

    def has_unwritten_changes(self) -> bool:
        return (
            bool(self.acceptor.changed_slots)
            or self.acceptor.metadata_changed
            or self.acceptor.committed_changed
        )

    def defer_until_written(self, item: Any) -> None:
        """Something that rests on all that the acceptor has come to hold: it waits for the write of that."""
        if self.has_unwritten_changes():
            self.awaiting_write.append((self.last_write_id + 1, item))
        elif self.write_in_flight:
            self.awaiting_write.append((self.write_in_flight, item))
        else:
            self.ready.append(item)

    def flush(self, now_ns: int) -> None:
        """Does what is ready, then hands out the next write if none is under way."""
        while self.ready:
            match self.ready.popleft():
                case ("started",):
                    self.started = True
                case ("tell", ticket, member_id, reply):
                    self.effects.append(SendReply(ticket, member_id, reply))
                case ("own", operation_id, round_number, member_id, reply):
                    if isinstance(reply, StaleEpochReply):
                        self.on_epoch(now_ns, reply.epoch)
                    operation = self.operations.get(operation_id)
                    if operation is not None and operation.round_number == round_number:
                        self.on_operation_reply(now_ns, operation_id, operation, member_id, reply)
        if self.has_unwritten_changes() and not self.write_in_flight:
            self.last_write_id += 1
            self.write_in_flight, self.update_in_flight = self.last_write_id, self.collect_update()
            self.effects.append(Persist(self.last_write_id, self.update_in_flight))

    def collect_update(self) -> StateUpdate:
        """What has changed since the last write, as a copy."""
        acceptor = self.acceptor
        meta = None
        if acceptor.metadata_changed:
            meta = {
                "disk": acceptor.member_id,
                "seat": acceptor.founder_id,
                "life": acceptor.incarnation,
                "epoch": encode_epoch(acceptor.epoch),
                "installed": acceptor.installed,
                "sealed": None if acceptor.sealed_by is None else encode_epoch(acceptor.sealed_by),
            }
        slots = {
            v: AcceptorSlot(s.promised, s.accepted, s.value) if (s := acceptor.slots.get(v)) else None
            for v in acceptor.changed_slots
        }
        added = (
            {v: d for v, d in acceptor.history.items() if v not in self.persisted_history_versions}
            if acceptor.committed_changed
            else {}
        )
        self.persisted_history_versions = set(acceptor.history)
        held = acceptor.committed if acceptor.committed_changed else None
        acceptor.changed_slots, acceptor.metadata_changed, acceptor.committed_changed = set(), False, False
        return StateUpdate(meta, held, added, min(acceptor.history, default=0), slots)

    def status(self, now_ns: int) -> dict[str, Any]:
        acceptor, at = self.acceptor, self.known_as_of_ns(now_ns)
        return {
            "sure": self.holds_lease(now_ns),
            "lease_ms": None if at is None else max(0, (LEASE_DURATION_NS - (now_ns - at)) // MILLISECOND_NS),
            "disk": acceptor.member_id,
            "life": acceptor.incarnation,
            "voting": acceptor.may_vote(),
            "epoch": acceptor.newest_epoch().number,
            "members_of_epoch": dict(acceptor.newest_epoch().members),
            "version": f"{acceptor.committed.version:08x}",
            "undecided": [f"{v:08x}" for v in sorted(acceptor.slots) if v],
        }


def encode_member_list(members: tuple[tuple[str, str], ...]) -> bytes:
    """As the content of a register: equal for equal sets."""
    return "\n".join(f"{disk} {address}" for disk, address in sorted(members)).encode()


def decode_member_list(value: bytes) -> tuple[tuple[str, str], ...]:
    rows = [line.partition(" ") for line in value.decode().splitlines()]
    return tuple((disk, address) for disk, _, address in rows)


def load_acceptor(
    metadata: Mapping[str, Any] | None,
    *,
    new_member_id: str,
    address: str,
    seeds: tuple[str, ...],
    bootstrap: bool,
    voting: bool,
    committed: CommittedValue = NOTHING_COMMITTED,
    history: Mapping[int, bytes] | None = None,
    slots: Mapping[int, AcceptorSlot] | None = None,
) -> Acceptor:
    """The acceptor of a disk as it is at a start. `meta` is what the disk holds; none if it is empty, then
    `disk` is its name from now on. `address` and `seeds` are of the port for signalboxes among themselves."""
    if metadata is not None:
        sealed = metadata["sealed"]
        return Acceptor(
            str(metadata["disk"]),
            address,
            str(metadata["seat"]),
            voting,
            int(metadata["life"]),
            decode_epoch(metadata["epoch"]),
            bool(metadata["installed"]) and voting,
            None if sealed is None else decode_epoch(sealed),
            committed,
            dict(history or {}),
            dict(slots or {}),
        )
    epoch, seat = Epoch(UNKNOWN_EPOCH), ""
    founder = bootstrap and address in seeds
    if bootstrap:
        # All are told the same seeds at the first start: they are the members of epoch 0, by their seats.
        epoch = Epoch(0, tuple(sorted((f"@{seed}", seed) for seed in seeds)))
        seat = f"@{address}" if founder else ""
    return Acceptor(
        new_member_id, address, seat, voting, epoch=epoch, installed=founder, metadata_changed=True
    )
