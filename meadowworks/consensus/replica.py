"""A consensus replica as a state machine without I/O.

Every input takes the current time. `take_effects` returns the resulting effects in order. A reply is only
sent after `on_persisted` has reported the write that it depends on, and no request is sent before the
incarnation is on disk. Times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    Committed,
    CompleteBarrier,
    CompleteOperation,
    Effect,
    SendReply,
    Undecided,
)
from meadowworks.consensus.log_host import OwnAppend, OwnVote
from meadowworks.consensus.log_messages import LOG_REPLY_TYPES, LOG_REQUEST_TYPES, SnapshotPendingReply
from meadowworks.consensus.membership import encode_member_list
from meadowworks.consensus.membership_monitor import (
    CompleteReconfiguration,
    Decision,
    FinishMembershipProposal,
    FinishVersion,
    InstallLaggingMembers,
    ProposeMembers,
)
from meadowworks.consensus.messages import (
    InstallPositionRequest,
    InstallRequest,
    NotAMemberReply,
    QueryReply,
    Reply,
    Request,
    StaleEpochReply,
)
from meadowworks.consensus.operation_runner import (
    FETCH_OPERATION_ID,
    LOG_OPERATION_ID,
    OperationRunner,
)
from meadowworks.consensus.operations import LEAVE_WAITER_ID, Operation, OperationKind
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replicated_log import EntryPosition
from meadowworks.consensus.timing import (
    FINISH_TIMEOUT_NS,
    LEASE_DURATION_NS,
    LEAVE_GRACE_NS,
    MEMBER_SILENCE_TIMEOUT_NS,
    MEMBERSHIP_CHECK_INTERVAL_NS,
    MILLISECOND_NS,
    RECONFIGURATION_TIMEOUT_NS,
    RETRY_AFTER_TIMEOUT_NS,
    RETRY_WITHOUT_LEASE_NS,
    STALL_THRESHOLD_NS,
)
from meadowworks.consensus.transfer_messages import TRANSFER_REPLY_TYPES
from meadowworks.consensus.values import MEMBERSHIP_VERSION, CommittedValue, DigestHistory
from meadowworks.consensus.write_queue import Deferred, IncarnationPersisted, OwnReply, PeerReply


class Replica(OperationRunner):
    """The inputs and the periodic work of a replica.

    :param acceptor: the acceptor returned by `metadata.load_acceptor`.
    :param tolerated_failures: the number of members that may fail; members are only removed while there are
        more than `2 * tolerated_failures + 1`.
    :param random_fraction: returns random numbers from 0 to 1.
    """

    def __init__(
        self, acceptor: Acceptor, tolerated_failures: int, random_fraction: Callable[[], float]
    ) -> None:
        super().__init__(acceptor, tolerated_failures, random_fraction)
        self.last_tick_ns = 0
        self.last_check_ns = 0  # the last membership check

    # -- inputs

    def start(self, now_ns: int) -> None:
        """Start a new incarnation; the first write stores its number."""
        self.membership_monitor.on_start(now_ns)
        self.last_tick_ns = now_ns
        self.acceptor.incarnation += 1
        self.acceptor.metadata_changed = True
        self.writes.defer(IncarnationPersisted())
        if self.log_replica is not None:
            self.log_replica.start(now_ns)
        self.flush(now_ns)

    def on_request(self, now_ns: int, ticket: Any, request: Request) -> None:
        """Handle another replica's request; a `SendReply` with the same ticket answers it."""
        if self.acceptor.disk_failed or self.writes.is_full():
            # Prevents an unbounded number of deferred replies when the disk does not complete writes.
            reply = NotAMemberReply(self.acceptor.epoch.number)
            self.effects.append(SendReply(ticket, self.acceptor.id_in_epoch(request.epoch), reply))
            return
        member_id = self.acceptor.id_in_epoch(request.epoch)
        self.writes.defer(PeerReply(ticket, member_id, self._reply_to(now_ns, request)))
        self.flush(now_ns)

    def _reply_to(self, now_ns: int, request: Request) -> Reply:
        if not isinstance(request, LOG_REQUEST_TYPES):
            return self.handle_request(now_ns, request)
        if self.log_replica is None or not self.started:
            return NotAMemberReply(self.acceptor.epoch.number)
        reply = self.log_replica.on_request(now_ns, request)
        if isinstance(reply, SnapshotPendingReply) and self.log_fetcher is not None:
            leader_address = self.log_replica.leader_address()
            self.log_fetcher.fetch_snapshot(now_ns, request.epoch, leader_address)
        return reply

    def on_reply(self, now_ns: int, request_id: int, member_id: str, reply: Reply) -> None:
        """Handle the reply to a request."""
        if (pending := self.pending_requests.pop(request_id, None)) is None:
            return
        operation_id, round_number, target_id = pending
        if operation_id == LOG_OPERATION_ID:
            self._on_log_reply(now_ns, target_id, member_id, reply)
        elif operation_id == FETCH_OPERATION_ID:
            self._on_fetch_reply(now_ns, round_number, reply)
        elif not isinstance(reply, LOG_REPLY_TYPES):
            self._route_reply(now_ns, operation_id, round_number, member_id, reply)
        self.flush(now_ns)

    def _on_log_reply(self, now_ns: int, target_id: str, member_id: str, reply: Reply) -> None:
        if self.log_replica is None:
            return
        if isinstance(reply, StaleEpochReply):
            self.on_epoch_announced(now_ns, reply.epoch)
        if member_id == target_id:  # otherwise another disk has taken over the address
            self.log_replica.on_reply(now_ns, member_id, reply)
        else:
            self.log_replica.on_request_failed(target_id)

    def _on_fetch_reply(self, now_ns: int, fetch_number: int, reply: Reply) -> None:
        if self.log_fetcher is None:
            return
        if isinstance(reply, TRANSFER_REPLY_TYPES):
            self.log_fetcher.on_reply(now_ns, fetch_number, reply)
        else:
            self.log_fetcher.on_failed(fetch_number)

    def on_request_unreadable(self, now_ns: int, request_id: int) -> None:
        """Handle a request that a member of an earlier release cannot read: send whole states instead."""
        if (pending := self.pending_requests.get(request_id)) is None:
            return
        operation_id, round_number, member_id = pending
        self.on_old_release(now_ns, member_id)
        self.on_request_failed(now_ns, request_id)
        operation = self.operations.get(operation_id)
        if operation is None or operation.round_number != round_number:
            return
        call = operation.quorum_call
        if isinstance(call, Reconfiguration) and not call.sends_whole_states:
            call.send_whole_states()
            operation.round_number += 1
            self.send_round(now_ns, operation_id, operation)
        self.flush(now_ns)

    def on_request_failed(self, now_ns: int, request_id: int) -> None:  # noqa: ARG002  (every input takes the time)
        """Handle a request that will get no reply; a read ends when it can no longer reach a majority."""
        operation_id, round_number, member_id = self.pending_requests.pop(request_id, (0, 0, ""))
        if operation_id == LOG_OPERATION_ID and self.log_replica is not None:
            self.log_replica.on_request_failed(member_id)
        if operation_id == FETCH_OPERATION_ID and self.log_fetcher is not None:
            self.log_fetcher.on_failed(round_number)
        operation = self.operations.get(operation_id)
        if operation is None or operation.round_number != round_number:
            return
        call = operation.quorum_call
        if operation.kind is not OperationKind.READ or not isinstance(call, QuorumRead):
            return
        if call.on_failure(member_id):
            self.complete_operation(operation_id, Undecided(RETRY_WITHOUT_LEASE_NS))

    def on_persisted(self, now_ns: int, write_id: int) -> None:
        """Handle the completion of a write and all writes before it."""
        self.writes.on_persisted(write_id)
        self._check_disk(now_ns)
        self.flush(now_ns)

    def on_persist_failed(self, now_ns: int, write_id: int) -> None:  # noqa: ARG002  (only one write is in flight)
        """Handle a write that the disk rejected; it is retried while dependent items wait."""
        self.writes.on_persist_failed(now_ns)

    def propose(self, now_ns: int, waiter_id: int, version: int, value: bytes, deadline_ns: int) -> None:
        """Propose a client's value for a version; `CompleteOperation` reports the outcome."""
        if not self.holds_lease(now_ns):
            self.effects.append(CompleteOperation(waiter_id, Undecided(RETRY_WITHOUT_LEASE_NS)))
            return
        if version <= self.acceptor.committed.version:
            self.effects.append(CompleteOperation(waiter_id, self.decided_outcome(version, value)))
            return
        for operation in self.operations.values():
            is_same_proposal = operation.version == version and operation.value == value
            if is_same_proposal and operation.kind is OperationKind.PROPOSE:
                operation.waiter_ids.append(waiter_id)
                operation.deadline_ns = max(operation.deadline_ns, deadline_ns)
                return
        self.begin_operation(
            now_ns, Operation(OperationKind.PROPOSE, version, value, deadline_ns, [waiter_id])
        )
        self.flush(now_ns)

    def read(self, now_ns: int, waiter_id: int, deadline_ns: int) -> None:
        """Read the newest value that may have been acknowledged before now."""
        if not self.started or self.acceptor.newest_epoch().number < 1 or self.leaving:
            self.effects.append(CompleteOperation(waiter_id, Undecided(RETRY_WITHOUT_LEASE_NS)))
            return
        self.begin_operation(now_ns, Operation(OperationKind.READ, 0, None, deadline_ns, [waiter_id]))
        self.flush(now_ns)

    def leave(self, now_ns: int, deadline_ns: int) -> None:
        """Transfer the committed value and leave the membership if possible, before a shutdown.

        `CompleteOperation` with `LEAVE_WAITER_ID` reports the completion.
        """
        self.leaving, self.acceptor.is_eligible = True, False
        if self.log_replica is not None:
            self.log_replica.resign(now_ns)
        for operation in list(self.operations.values()):
            if operation.kind in (OperationKind.PROPOSE, OperationKind.READ):
                operation.deadline_ns = min(operation.deadline_ns, now_ns + LEAVE_GRACE_NS)
        if not self.acceptor.may_vote():
            self.effects.append(CompleteOperation(LEAVE_WAITER_ID, Committed()))
            return
        self.begin_operation(now_ns, Operation(OperationKind.LEAVE, 0, None, deadline_ns, [LEAVE_WAITER_ID]))
        self.flush(now_ns)

    def on_committed_value(self, now_ns: int, committed: CommittedValue, history: DigestHistory = ()) -> None:
        """Record a committed value received from another replica."""
        self.record_committed(committed, history)
        self.flush(now_ns)

    def on_query_reply(self, now_ns: int, sent_ns: int, reply: QueryReply) -> None:
        """Record another replica's reply to a query that this replica sent at `sent_ns`."""
        self.lease.on_query_reply(now_ns, sent_ns, reply)

    # -- inputs of the replicated log

    def propose_entry(self, now_ns: int, payload: bytes) -> EntryPosition | None:
        """Append an entry to the log; `ApplyEntries` reports its commit.

        :returns: the position of the entry, or None if this replica is not the leader or has too many
            uncommitted entries; the entry has not been appended then.
        """
        if self.log_replica is None or not self.started:
            return None
        position = self.log_replica.propose(now_ns, payload)
        self.flush(now_ns)
        return position

    def begin_barrier(self, now_ns: int, waiter_id: int) -> None:
        """Begin a read barrier of the log; `CompleteBarrier` reports its outcome."""
        if self.log_replica is None or not self.started:
            self.effects.append(CompleteBarrier(waiter_id, None))
            return
        self.log_replica.begin_barrier(now_ns, waiter_id)
        self.flush(now_ns)

    def compact_log(self, now_ns: int, index: int, content: bytes) -> None:
        """Replace the log up to an applied index by a snapshot of the state machine."""
        if self.log_replica is not None:
            self.log_replica.compact(index, content)
            self.flush(now_ns)

    def tick(self, now_ns: int) -> None:
        """Perform the work that is due; `next_tick_ns` returns the time of the next call."""
        if now_ns - self.last_tick_ns > STALL_THRESHOLD_NS:
            self._on_stall(now_ns)
        self.last_tick_ns = now_ns
        self._check_disk(now_ns)
        if self.log_replica is not None and self.started:
            self.log_replica.tick(now_ns)
        if (retry := self.writes.due_retry(now_ns)) is not None:
            self.effects.append(retry)
        for operation_id, operation in list(self.operations.items()):
            self._advance(now_ns, operation_id, operation)
        if self.started and now_ns - self.last_check_ns >= MEMBERSHIP_CHECK_INTERVAL_NS:
            self.last_check_ns = now_ns
            self.lease.query_self(now_ns)
            self.lease.expire_peers(now_ns)
            self._check_transfers(now_ns)
            for decision in self.membership_monitor.decisions(now_ns, self.operations, self.leaving):
                self._carry_out(now_ns, decision)
        self.flush(now_ns)

    def _check_transfers(self, now_ns: int) -> None:
        self.expire_old_releases(now_ns)
        if self.log_fetcher is not None:
            self.log_fetcher.tick(now_ns)
        if self.acceptor.log is not None:
            self.acceptor.log.check_retention()

    # -- outputs and queries

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call, in order."""
        effects, self.effects = self.effects, []
        return effects

    def next_tick_ns(self) -> int:
        """Return the time at which `tick` must be called next."""
        times = [
            self.last_check_ns + MEMBERSHIP_CHECK_INTERVAL_NS,
            *(min(o.due_ns, o.deadline_ns) for o in self.operations.values()),
        ]
        if self.writes.write_retry_ns:
            times.append(self.writes.write_retry_ns)
        if self.log_replica is not None:
            times.append(self.log_replica.next_tick_ns(self.last_tick_ns))
        return min(times)

    def is_log_leader(self) -> bool:
        """Return whether this replica is the leader of the log, as far as it knows."""
        return self.log_replica is not None and self.log_replica.is_leader

    def log_leader_address(self) -> str:
        """Return the address of the log's leader, or an empty string if it is unknown."""
        return "" if self.log_replica is None else self.log_replica.leader_address()

    def log_entry_count(self) -> int:
        """Return the number of entries after the log's snapshot."""
        log = self.acceptor.log
        return 0 if log is None else log.last_index - log.snapshot.index

    def log_bytes(self) -> int:
        """Return the size of the payloads after the log's snapshot."""
        log = self.acceptor.log
        return 0 if log is None else sum(len(entry.payload) for entry in log.entries_since_snapshot())

    def lease_start_ns(self, now_ns: int) -> int | None:
        """Return the start of the lease; every value acknowledged before it is committed here.

        :returns: None before the incarnation is on disk or without a confirmed majority.
        """
        return self.lease.lease_start_ns(now_ns) if self.started else None

    def holds_lease(self, now_ns: int) -> bool:
        """Return whether this replica may serve clients from its committed state."""
        lease_start_ns = self.lease_start_ns(now_ns)
        if lease_start_ns is None or self.leaving or self.acceptor.disk_failed:
            return False
        return now_ns - lease_start_ns < LEASE_DURATION_NS

    def status(self, now_ns: int) -> dict[str, Any]:
        """Return the state shown to operators, as JSON values."""
        acceptor, lease_start_ns = self.acceptor, self.lease_start_ns(now_ns)
        lease_left_ns = None
        if lease_start_ns is not None:
            lease_left_ns = max(0, LEASE_DURATION_NS - (now_ns - lease_start_ns))
        return {
            "sure": self.holds_lease(now_ns),
            "lease_ms": None if lease_left_ns is None else lease_left_ns // MILLISECOND_NS,
            "disk": acceptor.member_id,
            "life": acceptor.incarnation,
            "voting": acceptor.may_vote(),
            "epoch": acceptor.newest_epoch().number,
            "members_of_epoch": dict(acceptor.newest_epoch().members),
            "version": f"{acceptor.committed.version:08x}",
            "undecided": [f"{v:08x}" for v in sorted(acceptor.slots) if v],
            **({"disk_failed": True} if acceptor.disk_failed else {}),
        }

    # -- internal work

    def flush(self, now_ns: int) -> None:
        """Process the items whose writes have completed, then issue the next write."""
        while self.writes.ready:
            self._resume(now_ns, self.writes.ready.popleft())
        if (write := self.writes.next_write(now_ns)) is not None:
            self.effects.append(write)

    def _on_stall(self, now_ns: int) -> None:
        self.lease.on_stall(now_ns)
        self.writes.on_stall(now_ns)
        if self.log_replica is not None:
            self.log_replica.on_stall(now_ns)

    def _check_disk(self, now_ns: int) -> None:
        """Give up voting and the lease while the disk accepts no writes; resume when it recovers."""
        has_failed = self.writes.disk_has_failed(now_ns)
        if has_failed == self.acceptor.disk_failed:
            return
        self.acceptor.disk_failed = has_failed
        self.log("disk_failed" if has_failed else "disk_recovered")

    def _resume(self, now_ns: int, item: Deferred) -> None:
        match item:
            case IncarnationPersisted():
                self.started = True
            case PeerReply(ticket, member_id, reply):
                self.effects.append(SendReply(ticket, member_id, reply))
            case OwnReply(operation_id, round_number, member_id, reply):
                self._route_reply(now_ns, operation_id, round_number, member_id, reply)
            case OwnVote() | OwnAppend() if self.log_replica is not None:
                self.log_replica.on_durable(now_ns, item)

    def _route_reply(
        self, now_ns: int, operation_id: int, round_number: int, member_id: str, reply: Reply
    ) -> None:
        """Pass a reply to its operation unless that has ended or is in another round."""
        if isinstance(reply, StaleEpochReply):
            self.on_epoch_announced(now_ns, reply.epoch)
        operation = self.operations.get(operation_id)
        if operation is not None and operation.round_number == round_number:
            self.on_operation_reply(now_ns, operation_id, operation, member_id, reply)

    def _advance(self, now_ns: int, operation_id: int, operation: Operation) -> None:
        """End an operation at its deadline, resend its request, or start its next attempt."""
        if now_ns >= operation.deadline_ns:
            self.complete_operation(operation_id, Undecided(RETRY_AFTER_TIMEOUT_NS))
        elif now_ns < operation.due_ns:
            return
        elif operation.quorum_call is None:
            self.begin_attempt(now_ns, operation_id, operation)
        else:
            self.send_round(now_ns, operation_id, operation)

    def _carry_out(self, now_ns: int, decision: Decision) -> None:
        match decision:
            case CompleteReconfiguration(epoch, next_epoch):
                self.complete_reconfiguration(now_ns, epoch, next_epoch)
            case FinishVersion(version):
                self.log("finishing_version", version=f"{version:08x}")
                deadline_ns = now_ns + FINISH_TIMEOUT_NS
                self.begin_operation(now_ns, Operation(OperationKind.FINISH, version, None, deadline_ns, []))
            case FinishMembershipProposal():
                self._propose_members(now_ns, None)
            case InstallLaggingMembers():
                self.install_lagging_members(now_ns)
            case ProposeMembers(members):
                number = self.acceptor.epoch.number + 1
                self.log("proposing_members", epoch=number, members=len(members))
                self._propose_members(now_ns, encode_member_list(members))

    def _propose_members(self, now_ns: int, value: bytes | None) -> None:
        deadline_ns = now_ns + RECONFIGURATION_TIMEOUT_NS
        operation = Operation(OperationKind.MEMBERS, MEMBERSHIP_VERSION, value, deadline_ns, [])
        self.begin_operation(now_ns, operation)

    def install_lagging_members(self, now_ns: int) -> None:
        """Send an install request to reachable members that have missed the change to this epoch."""
        epoch = self.acceptor.epoch
        for member_id, address in epoch.members:
            peer = self.lease.peers.get(member_id)
            if peer is None or peer.last_reply.epoch > epoch.number:
                continue
            if peer.last_reply.may_vote and peer.last_reply.epoch == epoch.number:
                continue
            if now_ns - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS:
                request = self._install_request(member_id)
                self.send_request(0, 0, member_id, address, request)  # the reply belongs to no operation

    def _install_request(self, member_id: str) -> InstallPositionRequest | InstallRequest:
        acceptor, epoch = self.acceptor, self.acceptor.epoch
        if not self.reads_positions(member_id):
            return InstallRequest(epoch.number, epoch, acceptor.export_state())
        registers, source = acceptor.export_registers(), acceptor.log_source()
        return InstallPositionRequest(epoch.number, epoch, registers, source)
