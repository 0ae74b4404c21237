"""A node: the product's log replica, acceptor and write queue, and a disk."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    ApplyEntries,
    CommittedEntry,
    CompleteBarrier,
    Effect,
    RestoreSnapshot,
)
from meadowworks.consensus.log_fetcher import LogFetcher
from meadowworks.consensus.log_host import OwnAppend, OwnVote
from meadowworks.consensus.log_messages import (
    AppendReply,
    CampaignRequest,
    LogRequest,
    LogVoteReply,
    LogVoteRequest,
    SnapshotPendingReply,
)
from meadowworks.consensus.log_replica import LogReplica
from meadowworks.consensus.log_timing import HEARTBEAT_INTERVAL_NS, MIN_ELECTION_TIMEOUT_NS
from meadowworks.consensus.messages import (
    InstalledReply,
    InstallPositionRequest,
    InstallRequest,
    LogMissingReply,
    NotAMemberReply,
    Reply,
    SealedPositionReply,
    SealedReply,
    SealPositionRequest,
    SealRequest,
    StaleEpochReply,
)
from meadowworks.consensus.replicated_log import NO_POSITION, EntryPosition, FetchedLog, ReplicatedLog
from meadowworks.consensus.timing import SECOND_NS
from meadowworks.consensus.transfer_messages import TRANSFER_REPLY_TYPES, TransferRequest
from meadowworks.consensus.values import Term
from meadowworks.consensus.write_queue import PeerReply, WriteQueue
from meadowworks.modelcheck.models.replica.disk import Disk
from meadowworks.modelcheck.models.replicated_log.messages import (
    LogRecord,
    Records,
    ReplyInFlight,
    RequestInFlight,
    decode_records,
    encode_records,
    records_of,
)

NOW_NS = 10 * SECOND_NS  # of every step
ELECTION_NS = NOW_NS + MIN_ELECTION_TIMEOUT_NS
HEARTBEAT_NS = NOW_NS + HEARTBEAT_INTERVAL_NS


@dataclass(frozen=True, slots=True)
class LogTicket:
    """The origin of a request of the log; `position` is the last entry that its reply confirms."""

    message: RequestInFlight
    position: EntryPosition = NO_POSITION


@dataclass(frozen=True, slots=True)
class ReconfigurationTicket:
    """The origin of a request of a reconfiguration."""

    number: int


Ticket = LogTicket | ReconfigurationTicket
ReconfigurationRequest = SealRequest | SealPositionRequest | InstallRequest | InstallPositionRequest


@dataclass(frozen=True, slots=True)
class FetchInFlight:
    """A request of a log transfer to the node at an address."""

    address: str
    request: TransferRequest
    fetch_number: int


@dataclass(frozen=True, slots=True)
class SentReply:
    """A reply that has left the node, and whether what it confirms was on the disk."""

    ticket: Ticket
    member_id: str
    reply: Reply
    is_durable: bool


class Node:
    """Implements `log_host.LogHost` and `log_fetcher.FetchHost`.

    The world takes what the node has sent and applied after each step.
    """

    def __init__(self, index: int, disk: Disk, incarnation: int, sends_whole_states: bool) -> None:
        self.index, self.disk, self.incarnation = index, disk, incarnation
        self.sends_whole_states = sends_whole_states
        self.acceptor: Acceptor = disk.acceptor(str(index))
        log = self.acceptor.log
        assert log is not None
        self.log_state: ReplicatedLog = log
        self.writes = WriteQueue(self.acceptor)
        self.applied: Records = ()
        self.requests: list[RequestInFlight] = []
        self.replies: list[SentReply] = []
        self.newly_applied: list[CommittedEntry] = []
        self.passed_barriers: list[int] = []
        self.pre_vote: LogVoteRequest | None = None
        self.log_replica = LogReplica(self, log)
        self.log_fetcher = LogFetcher(self, log)
        self.fetch_in_flight: FetchInFlight | None = None
        self.log_replica.start(NOW_NS)

    # -- `LogHost`

    def emit(self, effect: Effect) -> None:
        """Apply entries, restore a snapshot, or note a barrier that has passed."""
        match effect:
            case ApplyEntries(entries):
                self.newly_applied += entries
                self.applied += tuple(LogRecord(entry.term, entry.payload) for entry in entries)
            case RestoreSnapshot(_, content):
                self.applied = decode_records(content)
            case CompleteBarrier(_, index) if index is not None:
                self.passed_barriers.append(index)

    def send_log_request(self, member_id: str, address: str, request: LogRequest) -> None:
        """Send a request, except one that only starts an election, which may start at any time."""
        if isinstance(request, CampaignRequest):
            return
        if isinstance(request, LogVoteRequest) and request.is_pre_vote:
            self.pre_vote = request
            return
        self.requests.append(RequestInFlight(self.index, self.incarnation, int(address), member_id, request))

    def reads_positions(self, member_id: str) -> bool:  # noqa: ARG002  (all nodes have one release)
        """Return whether messages with positions may be sent."""
        return not self.sends_whole_states

    def defer_until_durable(self, item: OwnVote | OwnAppend) -> None:
        """Hold an item until all changes are on disk."""
        self.writes.defer(item)

    def random_fraction(self) -> float:
        """Return 0: elections start by steps of the model."""
        return 0.0

    def log(self, event: str, **fields: str | int) -> None:
        """Ignore log lines."""

    # -- `FetchHost`

    def send_fetch_request(self, address: str, request: TransferRequest, fetch_number: int) -> None:
        """Send a request of a log transfer."""
        self.fetch_in_flight = FetchInFlight(address, request, fetch_number)

    def on_log_fetched(
        self,
        now_ns: int,  # noqa: ARG002  (time stands still)
        fetched: FetchedLog,
        install: InstallPositionRequest | None,
    ) -> bool:
        """Join an epoch with a fetched log, or continue from a fetched snapshot."""
        if install is None:
            assert fetched.snapshot is not None
            self.log_replica.on_snapshot_fetched(fetched.snapshot)
            return True
        self.acceptor.fetched_log = fetched
        reply = self._handle(install)
        self.acceptor.fetched_log = None
        return not isinstance(reply, NotAMemberReply)

    # -- inputs

    def time_out(self) -> None:
        """Start an election; every member grants the pre-vote."""
        self.log_replica.tick(ELECTION_NS)
        request, self.pre_vote = self.pre_vote, None
        if request is None:
            return
        for member_id, _ in self.acceptor.epoch.members:
            if member_id != self.acceptor.member_id:
                granted = LogVoteReply(self.log_state.term, request.term, True, True)
                self.log_replica.on_reply(NOW_NS, member_id, granted)

    def receive_request(self, message: RequestInFlight) -> None:
        """Handle a request of the log."""
        reply = self.log_replica.on_request(NOW_NS, message.request)
        if isinstance(reply, SnapshotPendingReply):
            leader_address = self.log_replica.leader_address()
            self.log_fetcher.fetch_snapshot(NOW_NS, message.request.epoch, leader_address)
            self._repeat_fetch()
        position = NO_POSITION
        if isinstance(reply, AppendReply) and reply.accepted:
            position = EntryPosition(self.log_state.term_at(reply.last_index), reply.last_index)
        self.writes.defer(PeerReply(LogTicket(message, position), self.acceptor.member_id, reply))

    def receive_reconfiguration(self, number: int, request: ReconfigurationRequest) -> None:
        """Handle a request of a reconfiguration."""
        reply = self._handle(request)
        if isinstance(reply, LogMissingReply):
            assert isinstance(request, InstallPositionRequest)
            self.log_fetcher.fetch_for_install(NOW_NS, request)
            self._repeat_fetch()
        self.writes.defer(PeerReply(ReconfigurationTicket(number), self.acceptor.member_id, reply))

    def _handle(self, request: ReconfigurationRequest) -> Reply:
        epoch = self.log_state.epoch
        reply = self.acceptor.handle(request)
        if self.log_state.epoch > epoch:
            self.log_replica.on_epoch_joined(NOW_NS)
        return reply

    def _repeat_fetch(self) -> None:
        if self.fetch_in_flight is None:
            self.log_fetcher.tick(NOW_NS)

    def receive_fetch_reply(self, reply: Reply) -> None:
        """Handle the reply to the request of the log transfer."""
        fetch, self.fetch_in_flight = self.fetch_in_flight, None
        assert fetch is not None
        if isinstance(reply, TRANSFER_REPLY_TYPES):
            self.log_fetcher.on_reply(NOW_NS, fetch.fetch_number, reply)
        else:
            self.log_fetcher.on_failed(fetch.fetch_number)

    def receive_reply(self, message: ReplyInFlight) -> None:
        """Handle the reply to a request of the log."""
        if isinstance(message.reply, StaleEpochReply):
            self.acceptor.on_epoch_announced(message.reply.epoch)
        if message.member_id == message.target_id:
            self.log_replica.on_reply(NOW_NS, message.member_id, message.reply)
        else:  # another disk has taken over the address
            self.log_replica.on_request_failed(message.target_id)

    def compact(self) -> None:
        """Replace the snapshot by one of the whole state machine."""
        self.log_replica.compact(len(self.applied), encode_records(self.applied))

    def complete_write(self) -> None:
        """Complete the write in flight."""
        write, self.disk.write_in_flight = self.disk.write_in_flight, None
        assert write is not None
        self.disk.save(write.update)
        self.writes.on_persisted(write.write_id)
        self.flush()

    def flush(self) -> None:
        """Handle the items whose writes have completed, then begin the next write."""
        while self.writes.ready:
            match self.writes.ready.popleft():
                case PeerReply(ticket, member_id, reply):
                    is_durable = self.is_on_disk(ticket, reply)
                    self.replies.append(SentReply(ticket, member_id, reply, is_durable))
                case OwnVote() | OwnAppend() as item:
                    self.log_replica.on_durable(NOW_NS, item)
        if (write := self.writes.next_write(NOW_NS)) is not None:
            self.disk.write_in_flight = write
        self._reset_times()

    def _reset_times(self) -> None:
        """Make states equal that differ in times only."""
        self.log_replica.on_stall(NOW_NS)
        for progress in self.log_replica.followers.values():
            progress.resend_at_ns = progress.last_reply_ns = NOW_NS
            if progress.in_flight_since_ns:
                progress.in_flight_since_ns = NOW_NS

    # -- queries

    def is_on_disk(self, ticket: Ticket, reply: Reply) -> bool:
        """Return whether the disk contains what a reply confirms, or a later state."""
        acceptor = self.disk.acceptor("")
        log = acceptor.log
        if log is None:
            return False
        match reply:
            case LogVoteReply(_, voted_term, False, True) if isinstance(ticket, LogTicket):
                request = ticket.message.request
                assert isinstance(request, LogVoteRequest)
                return self.has_vote_on_disk(voted_term, request.candidate_id)
            case AppendReply(term, True) if isinstance(ticket, LogTicket):
                index = ticket.position.index
                return log.term > term or (
                    log.term == term
                    and log.last_index >= index
                    and (index == 0 or records_of(log)[index - 1].term == ticket.position.term)
                )
            case AppendReply(term) | LogVoteReply(term):
                return log.term >= term
            case SealedReply(next_epoch) | SealedPositionReply(next_epoch):
                return acceptor.epoch.number >= next_epoch.number or acceptor.sealed_by == next_epoch
            case InstalledReply(number):
                return acceptor.epoch.number >= number and log.epoch >= number
        return True

    def has_vote_on_disk(self, term: Term, candidate_id: str) -> bool:
        """Return whether the disk contains a vote, or a later term."""
        log = self.disk.log
        if log is None:
            return False
        metadata = log.metadata
        return metadata.term > term or (metadata.term == term and metadata.voted_for == candidate_id)
