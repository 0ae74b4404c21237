"""Execution of operations: attempts, rounds of requests, and the handling of outcomes."""

from __future__ import annotations

from collections.abc import Callable

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.effects import (
    Committed,
    CompleteOperation,
    Conflict,
    Effect,
    LogEntry,
    OperationOutcome,
    SendRequest,
    ValueCommitted,
)
from meadowworks.consensus.lease import LeaseTracker
from meadowworks.consensus.log_fetcher import LogFetcher
from meadowworks.consensus.log_host import OwnAppend, OwnVote
from meadowworks.consensus.log_messages import LogRequest
from meadowworks.consensus.log_replica import LogReplica
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.membership_monitor import MembershipMonitor
from meadowworks.consensus.messages import (
    InstallPositionRequest,
    LogMissingReply,
    NotAMemberReply,
    Reply,
    Request,
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
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replicated_log import FetchedLog
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.timing import (
    FETCH_POLL_INTERVAL_NS,
    MAX_BACKOFF_NS,
    OLD_RELEASE_EXPIRY_NS,
    RECONFIGURATION_TIMEOUT_NS,
    RESEND_INTERVAL_NS,
)
from meadowworks.consensus.transfer_messages import TransferRequest
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    NO_EPOCH_NUMBER,
    Ballot,
    CommittedValue,
    DigestHistory,
    Epoch,
    digest,
)
from meadowworks.consensus.write_queue import OwnReply, WriteQueue

LOG_OPERATION_ID = -1  # of requests that belong to the replicated log, not to an operation
FETCH_OPERATION_ID = -2  # of requests of a log transfer; the round is its fetch number
MAX_PENDING_REQUESTS = 4096  # above this the oldest are dropped, and their replies are ignored


class OperationRunner:
    """Runs operations by sending requests to the members' acceptors, including its own."""

    def __init__(
        self, acceptor: Acceptor, tolerated_failures: int, random_fraction: Callable[[], float]
    ) -> None:
        self.acceptor = acceptor
        self.random_fraction = random_fraction
        self.effects: list[Effect] = []
        self.writes = WriteQueue(acceptor)
        self.call_factory = QuorumCallFactory(acceptor, tolerated_failures)
        self.lease = LeaseTracker(acceptor)
        self.log_replica = LogReplica(self, acceptor.log) if acceptor.log is not None else None
        self.log_fetcher = LogFetcher(self, acceptor.log) if acceptor.log is not None else None
        self.old_release_until_ns: dict[str, int] = {}  # of members that read no positions, by member id
        self.membership_monitor = MembershipMonitor(acceptor, self.lease, tolerated_failures)
        self.operations: dict[int, Operation] = {}
        self.pending_requests: dict[int, tuple[int, int, str]] = {}  # operation id, round, member id
        self.last_id = 0  # shared by operations and requests
        self.started = self.leaving = False

    # -- attempts

    def begin_operation(self, now_ns: int, operation: Operation) -> None:
        """Start an operation with its first attempt."""
        self.last_id += 1
        self.operations[self.last_id] = operation
        self.begin_attempt(now_ns, self.last_id, operation)

    def begin_attempt(self, now_ns: int, operation_id: int, operation: Operation) -> None:
        """Start an attempt, or complete the operation if it is no longer needed."""
        epoch = self.acceptor.newest_epoch()
        operation.round_number += 1
        if not self.started:  # no ballot may be sent before its incarnation is on disk
            return operation.wait_until(now_ns + RESEND_INTERVAL_NS)
        match operation.kind:
            case OperationKind.MEMBERS:
                call = self.call_factory.membership_call(epoch, operation)
                if call is None:  # this replica can no longer propose members
                    return self.complete_operation(operation_id, None)
                operation.quorum_call = call
            case OperationKind.PROPOSE | OperationKind.FINISH:
                if epoch.number < 1:
                    return operation.wait_until(now_ns + RESEND_INTERVAL_NS)
                if operation.version <= self.acceptor.committed.version:
                    outcome = self.decided_outcome(operation.version, operation.value or b"")
                    return self.complete_operation(operation_id, outcome)
                operation.quorum_call = self.call_factory.new_proposer(epoch, operation.version, operation)
            case OperationKind.LEAVE:
                operation.quorum_call = self.call_factory.leave_call(epoch, operation)
            case OperationKind.READ:
                operation.quorum_call = QuorumRead(epoch)
        return self.send_round(now_ns, operation_id, operation)

    def back_off(self, now_ns: int, operation: Operation) -> None:
        """End the attempt and schedule the next one after a randomized exponential backoff."""
        operation.round_number += 1
        operation.wait_until(now_ns + int(operation.backoff_ns * (0.5 + self.random_fraction())))
        operation.backoff_ns = min(MAX_BACKOFF_NS, 2 * operation.backoff_ns)

    def complete_operation(self, operation_id: int, outcome: OperationOutcome | None) -> None:
        """Remove an operation and report its outcome, if any, to its waiters."""
        operation = self.operations.pop(operation_id)
        for waiter_id in operation.waiter_ids:
            if outcome is not None:
                self.effects.append(CompleteOperation(waiter_id, outcome))

    def complete_reconfiguration(self, now_ns: int, previous_epoch: Epoch, next_epoch: Epoch) -> None:
        """Complete a membership change that has been chosen, unless one is already in progress."""
        if any(o.kind is OperationKind.MEMBERS for o in self.operations.values()):
            return
        operation = Operation(
            OperationKind.MEMBERS,
            MEMBERSHIP_VERSION,
            encode_member_list(next_epoch.members),
            now_ns + RECONFIGURATION_TIMEOUT_NS,
            [],
            previous_epoch=previous_epoch,
        )
        self.begin_operation(now_ns, operation)

    # -- rounds

    def send_round(self, now_ns: int, operation_id: int, operation: Operation) -> None:
        """Send the request of the current round to the members that have not answered it."""
        call = operation.quorum_call
        assert call is not None
        operation.due_ns = now_ns + RESEND_INTERVAL_NS
        request = call.request()
        for member_id, address in call.unanswered_members():
            if member_id == self.acceptor.id_in_epoch(request.epoch):
                reply = self.handle_request(now_ns, request)
                self.writes.defer(OwnReply(operation_id, operation.round_number, member_id, reply))
            else:
                self.send_request(operation_id, operation.round_number, member_id, address, request)

    def send_request(
        self,
        operation_id: int,
        round_number: int,
        member_id: str,
        address: str,
        request: Request,
    ) -> None:
        """Send a request whose reply belongs to a round of an operation."""
        self.last_id += 1
        self.pending_requests[self.last_id] = operation_id, round_number, member_id
        while len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        self.effects.append(SendRequest(self.last_id, address, request))

    def handle_request(self, now_ns: int, request: Request) -> Reply:
        """Return the own acceptor's reply, and handle a newer version or epoch that the request brought."""
        epoch, version = self.acceptor.epoch.number, self.acceptor.committed.version
        log_epoch = self._log_epoch()
        reply = self.acceptor.handle(request)
        if self.log_replica is not None and self._log_epoch() > log_epoch:
            self.log_replica.on_epoch_joined(now_ns)
        if self.acceptor.committed.version > version:
            self.effects.append(ValueCommitted(self.acceptor.committed))
            self.lease.on_value_committed()
        if self.acceptor.epoch.number > epoch:
            self.on_epoch_joined(now_ns)
        if isinstance(reply, LogMissingReply) and self.log_fetcher is not None:
            assert isinstance(request, InstallPositionRequest)
            self.log_fetcher.fetch_for_install(now_ns, request)
        return reply

    def _log_epoch(self) -> int:
        log = self.acceptor.log
        return NO_EPOCH_NUMBER if log is None else log.epoch

    # -- the replicated log's access to this replica (`log_host.LogHost`)

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def send_log_request(self, member_id: str, address: str, request: LogRequest) -> None:
        """Send a request of the log, whose reply is passed to `log_replica`."""
        self.send_request(LOG_OPERATION_ID, 0, member_id, address, request)

    def reads_positions(self, member_id: str) -> bool:
        """Return whether a member's release reads messages with positions in place of states."""
        return member_id not in self.old_release_until_ns

    def on_old_release(self, now_ns: int, member_id: str) -> None:
        """Send whole states to a member for a while; later it may have been upgraded."""
        self.old_release_until_ns[member_id] = now_ns + OLD_RELEASE_EXPIRY_NS

    def expire_old_releases(self, now_ns: int) -> None:
        """Send positions again to members that may have been upgraded."""
        for member_id in [k for k, until_ns in self.old_release_until_ns.items() if now_ns >= until_ns]:
            del self.old_release_until_ns[member_id]

    # -- the log fetcher's access to this replica (`log_fetcher.FetchHost`)

    def send_fetch_request(self, address: str, request: TransferRequest, fetch_number: int) -> None:
        """Send a request of a log transfer, whose reply is passed to `log_fetcher`."""
        self.send_request(FETCH_OPERATION_ID, fetch_number, "", address, request)

    def on_log_fetched(
        self, now_ns: int, fetched: FetchedLog, install: InstallPositionRequest | None
    ) -> bool:
        """Join an epoch with a fetched log, or continue from a fetched snapshot.

        :returns: whether the transfer is over.
        """
        if install is None:
            if self.log_replica is not None and fetched.snapshot is not None:
                self.log_replica.on_snapshot_fetched(fetched.snapshot)
            return True
        self.acceptor.fetched_log = fetched
        reply = self.handle_request(now_ns, install)
        self.acceptor.fetched_log = None
        return not isinstance(reply, NotAMemberReply)

    def defer_until_durable(self, item: OwnVote | OwnAppend) -> None:
        """Pass an item to `log_replica` once all current changes are on disk."""
        self.writes.defer(item)

    # -- replies and outcomes

    def on_operation_reply(
        self, now_ns: int, operation_id: int, operation: Operation, member_id: str, reply: Reply
    ) -> None:
        """Handle a member's reply to a request of the current round."""
        if isinstance(reply, SnapshotReply):
            self.record_committed(reply.committed, reply.history)
            if operation.quorum_call is None:
                self.begin_attempt(now_ns, operation_id, operation)
            return
        if isinstance(reply, LogMissingReply):
            operation.due_ns = min(operation.due_ns, now_ns + FETCH_POLL_INTERVAL_NS)
            return
        call = operation.quorum_call
        if call is None or not call.on_reply(member_id, reply):
            return
        if call.outcome is None:
            operation.round_number += 1
            self.send_round(now_ns, operation_id, operation)
            return
        match call.outcome:
            case Chosen(version, value) if version == MEMBERSHIP_VERSION:
                self._on_members_chosen(now_ns, operation_id, operation, call.epoch, value)
            case Chosen(version, value):
                self._on_chosen(now_ns, operation_id, operation, CommittedValue(version, value))
            case Superseded(committed, history):
                self._on_superseded(now_ns, operation_id, operation, committed, history)
            case RetryWithHigherBallot(ballot):
                self._on_ballot_rejected(now_ns, operation_id, operation, ballot)
            case EpochChanged():
                self._on_epoch_changed(now_ns, operation_id, operation, call.epoch, call.outcome)
            case QuorumReadResult():
                self._on_quorum_read(now_ns, operation_id, operation, call.outcome)

    def _on_members_chosen(
        self, now_ns: int, operation_id: int, operation: Operation, epoch: Epoch, value: bytes
    ) -> None:
        operation.previous_epoch, operation.value = epoch, value
        operation.begin_call(Reconfiguration(epoch, Epoch(epoch.number + 1, decode_member_list(value))))
        self.send_round(now_ns, operation_id, operation)

    def _on_chosen(
        self, now_ns: int, operation_id: int, operation: Operation, chosen: CommittedValue
    ) -> None:
        self.record_committed(chosen, ())
        if operation.kind is OperationKind.PROPOSE:
            outcome = Committed() if chosen.value == operation.value else Conflict()
            self.complete_operation(operation_id, outcome)
        elif operation.kind is OperationKind.FINISH:
            self.complete_operation(operation_id, None)
        else:
            self.begin_attempt(now_ns, operation_id, operation)

    def _on_superseded(
        self,
        now_ns: int,
        operation_id: int,
        operation: Operation,
        committed: CommittedValue,
        history: DigestHistory,
    ) -> None:
        self.record_committed(committed, history)
        if operation.kind is OperationKind.PROPOSE:
            self.complete_operation(
                operation_id, self.decided_outcome(operation.version, operation.value or b"")
            )
        elif operation.kind is OperationKind.FINISH:
            self.complete_operation(operation_id, None)
        else:
            self.begin_attempt(now_ns, operation_id, operation)

    def _on_ballot_rejected(
        self, now_ns: int, operation_id: int, operation: Operation, ballot: Ballot
    ) -> None:
        if ballot == NO_BALLOT and operation.kind in (OperationKind.FINISH, OperationKind.MEMBERS):
            self.complete_operation(operation_id, None)  # nothing was accepted, so there is nothing to finish
            return
        operation.min_ballot_number = max(operation.min_ballot_number, ballot.number)
        self.back_off(now_ns, operation)

    def _on_epoch_changed(
        self, now_ns: int, operation_id: int, operation: Operation, epoch: Epoch, changed: EpochChanged
    ) -> None:
        if changed.reconfiguration_pending:
            self.complete_reconfiguration(now_ns, epoch, changed.epoch)
        else:
            self.on_epoch_announced(now_ns, changed.epoch)
        if operation.kind is OperationKind.MEMBERS:
            self.complete_operation(operation_id, None)
            return
        if operation.kind is OperationKind.LEAVE:  # the next attempt uses the members of the new epoch
            operation.previous_epoch, operation.value = None, None
        self.back_off(now_ns, operation)

    def _on_quorum_read(
        self, now_ns: int, operation_id: int, operation: Operation, result: QuorumReadResult
    ) -> None:
        acceptor, call = self.acceptor, operation.quorum_call
        assert call is not None
        if operation.kind is OperationKind.LEAVE and not call.epoch.has_member(acceptor.member_id):
            self.log("left_membership")
            self.complete_operation(operation_id, Committed())
        elif isinstance(call, StateTransfer):
            self.log("state_transferred", version=f"{call.committed.version:08x}")
            self.complete_operation(operation_id, Committed())
        elif result.highest_version <= acceptor.committed.version:
            if operation.kind is OperationKind.LEAVE:
                self._transfer_state(now_ns, operation_id, operation)
            else:
                self.complete_operation(operation_id, acceptor.committed)
        elif result.committed_version > acceptor.committed.version and result.address != acceptor.address:
            self._fetch_snapshot(now_ns, operation_id, operation, result.address)
        else:  # an accepted version may have been acknowledged, so it must be finished first
            operation.value = None
            operation.begin_call(
                self.call_factory.new_proposer(acceptor.newest_epoch(), result.highest_version, operation)
            )
            self.send_round(now_ns, operation_id, operation)

    def _transfer_state(self, now_ns: int, operation_id: int, operation: Operation) -> None:
        acceptor = self.acceptor
        transfer = StateTransfer(
            acceptor.newest_epoch(), acceptor.member_id, acceptor.committed, acceptor.digest_history()
        )
        operation.begin_call(transfer)
        if not transfer.other_members:
            self.complete_operation(operation_id, Committed())
            return
        self.send_round(now_ns, operation_id, operation)

    def _fetch_snapshot(self, now_ns: int, operation_id: int, operation: Operation, address: str) -> None:
        operation.round_number += 1
        operation.wait_until(now_ns + RESEND_INTERVAL_NS)
        request = SnapshotRequest(self.acceptor.newest_epoch().number)
        self.send_request(operation_id, operation.round_number, "", address, request)

    def decided_outcome(self, version: int, value: bytes) -> Committed | Conflict:
        """Return the outcome of proposing a value for a version that is not above the committed version."""
        committed = self.acceptor.committed
        if version == committed.version:
            return Committed() if value == committed.value else Conflict()
        chosen_digest = self.acceptor.history.get(version)
        return Committed() if chosen_digest is None or chosen_digest == digest(value) else Conflict()

    # -- learning

    def record_committed(self, committed: CommittedValue, history: DigestHistory) -> None:
        """Record a chosen value."""
        if self.acceptor.learn(committed.version, committed.value, history):
            self.effects.append(ValueCommitted(self.acceptor.committed))
        self.lease.on_value_committed()

    def on_epoch_announced(self, now_ns: int, epoch: Epoch) -> None:
        """Record an epoch that another replica has announced."""
        if epoch.number > 0 and self.acceptor.on_epoch_announced(epoch):
            self.membership_monitor.on_new_epoch(now_ns)
            self.lease.on_new_epoch()
            self.log("epoch_learnt", epoch=epoch.number, members=len(epoch.members))

    def on_epoch_joined(self, now_ns: int) -> None:
        """Reset the lease and the timers after joining an epoch."""
        self.membership_monitor.on_new_epoch(now_ns)
        epoch = self.acceptor.epoch
        self.log("epoch_joined", epoch=epoch.number, members=len(epoch.members))
        self.lease.on_new_epoch()

    def log(self, event: str, **fields: str | int) -> None:
        """Request a log entry."""
        self.effects.append(LogEntry(event, fields))
