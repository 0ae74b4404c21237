"""The roles of a replica in the replicated log: follower, candidate and leader.

Sources: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), for elections,
appends and snapshots; D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), for pre-vote (section
9.6), leadership transfer (3.10), commits without the leader's own disk (10.2.1) and read barriers (6.4).
Membership changes are those of `reconfiguration`, which installs the log in the next epoch.
"""

from __future__ import annotations

from meadowworks.consensus.effects import (
    ApplyEntries,
    CommittedEntry,
    CompleteBarrier,
    LeaderChanged,
    RestoreSnapshot,
)
from meadowworks.consensus.follower_progress import NOTHING_IN_FLIGHT, FollowerProgress
from meadowworks.consensus.log_host import LogHost, OwnAppend, OwnVote, PendingBarrier, Role
from meadowworks.consensus.log_messages import (
    AppendReply,
    AppendRequest,
    CampaignReply,
    CampaignRequest,
    LeaderRequest,
    LogRequest,
    LogVoteReply,
    LogVoteRequest,
    SnapshotAppendRequest,
    SnapshotOfferRequest,
    SnapshotPendingReply,
)
from meadowworks.consensus.log_timing import (
    APPEND_TIMEOUT_NS,
    COMMIT_NOTIFICATION_DELAY_NS,
    HEARTBEAT_INTERVAL_NS,
    LEADER_QUORUM_TIMEOUT_NS,
    MAX_ELECTION_TIMEOUT_NS,
    MIN_ELECTION_TIMEOUT_NS,
    TRANSFER_TIMEOUT_NS,
)
from meadowworks.consensus.messages import NotAMemberReply, Reply, SealedReply, StaleEpochReply
from meadowworks.consensus.replicated_log import Entry, EntryPosition, LogSnapshot, ReplicatedLog
from meadowworks.consensus.values import NO_TERM, Term
from meadowworks.runtime.errors import InvariantError

MAX_APPEND_BYTES = 256 * 1024  # of the entries in one request, unless a single entry is larger
MAX_UNCOMMITTED_ENTRIES = 1024  # above it, the leader accepts no new entries
MAX_BARRIERS = 1024  # that wait for a majority


class LogReplica:
    """A replica's part in the replicated log.

    :param log: the acceptor's log.
    """

    def __init__(self, host: LogHost, log: ReplicatedLog) -> None:
        self._host, self._acceptor, self.log = host, host.acceptor, log
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.commit_index = self.applied_index = 0
        self.followers: dict[str, FollowerProgress] = {}
        self.own_durable_index = 0
        self.barriers: list[PendingBarrier] = []
        self._round_number = 0
        self._term_start_index = 0  # of the empty entry that begins the leader's term
        self._votes: set[str] = set()
        self._is_transfer = False  # the campaign was requested by the leader
        self._transfer_until_ns = 0
        self._has_resigned = False
        self._election_at_ns = 0
        self._last_leader_contact_ns = 0
        self._announced = LeaderChanged(NO_TERM, "", False)

    # -- state

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self.role is Role.LEADER

    def may_vote(self) -> bool:
        """Return whether this replica may vote and append in the log of its epoch."""
        acceptor = self._acceptor
        return acceptor.epoch.number >= 1 and acceptor.may_vote() and self.log.epoch == acceptor.epoch.number

    def leader_address(self) -> str:
        """Return the leader's address, or an empty string if it is unknown."""
        return dict(self._acceptor.newest_epoch().members).get(self.leader_id, "")

    # -- inputs

    def start(self, now_ns: int) -> None:
        """Restore the state machine from the stored snapshot, and wait for a leader."""
        self._restore_state_machine()
        self._reset_election_timer(now_ns)

    def tick(self, now_ns: int) -> None:
        """Perform the work that is due."""
        if not self.may_vote():
            self._stop_voting(now_ns)
        elif self.is_leader:
            self._check_leadership(now_ns)
        elif now_ns >= self._election_at_ns and not self._has_resigned:
            self._start_pre_vote(now_ns)

    def next_tick_ns(self, now_ns: int) -> int:
        """Return the time at which `tick` must be called next."""
        if not self.is_leader:
            can_campaign = self.may_vote() and not self._has_resigned
            return self._election_at_ns if can_campaign else now_ns + HEARTBEAT_INTERVAL_NS
        return min((p.resend_at_ns for p in self.followers.values()), default=now_ns + HEARTBEAT_INTERVAL_NS)

    def on_epoch_joined(self, now_ns: int) -> None:
        """Start as a follower in a new epoch; the leader of the previous epoch campaigns at once."""
        was_leader = self.is_leader
        self._become_follower("")
        if self.log.snapshot.index > self.applied_index:
            self._restore_state_machine()
        self._reset_election_timer(now_ns)
        self._last_leader_contact_ns = 0
        if was_leader:
            self._election_at_ns = now_ns

    def on_stall(self, now_ns: int) -> None:
        """Restart the election timeout after this process was suspended."""
        if not self.is_leader:
            self._reset_election_timer(now_ns)

    def propose(self, now_ns: int, payload: bytes) -> EntryPosition | None:
        """Append an entry as the leader.

        :returns: the position of the entry, or None if nothing was appended.
        """
        if not self.is_leader or not self.may_vote() or now_ns < self._transfer_until_ns:
            return None
        if self.log.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            return None
        index = self._append(payload)
        self._send_to_idle_followers(now_ns)
        return EntryPosition(self.log.term, index)

    def begin_barrier(self, now_ns: int, waiter_id: int) -> None:
        """Begin a read barrier; `CompleteBarrier` reports its outcome."""
        if not self.is_leader or not self.may_vote() or len(self.barriers) >= MAX_BARRIERS:
            self._host.emit(CompleteBarrier(waiter_id, None))
            return
        self._round_number += 1
        index = max(self.commit_index, self._term_start_index)
        self.barriers.append(PendingBarrier(waiter_id, self._round_number, index))
        self._send_to_idle_followers(now_ns)
        self._complete_barriers()

    def compact(self, index: int, content: bytes) -> None:
        """Replace the snapshot by a later one that contains the applied entries up to an index."""
        if self.log.snapshot.index < index <= self.applied_index:
            self.log.compact(index, content)

    def resign(self, now_ns: int) -> None:
        """Ask the follower with the longest log to take over, and never campaign again in this process."""
        self._has_resigned = True
        if not self.is_leader:
            return
        self._transfer_until_ns = now_ns + TRANSFER_TIMEOUT_NS
        self._request_campaign()

    def on_request(self, now_ns: int, request: LogRequest) -> Reply:
        """Return the reply to a request. It may be sent once all changes are on disk.

        :raises InvariantError: if a leader's entries contradict committed ones.
        """
        acceptor = self._acceptor
        if request.epoch < acceptor.newest_epoch().number:
            return StaleEpochReply(acceptor.newest_epoch())
        if acceptor.sealed_by is not None and request.epoch == acceptor.epoch.number:
            return SealedReply(acceptor.sealed_by)
        if request.epoch != acceptor.epoch.number or not self.may_vote():
            return NotAMemberReply(acceptor.epoch.number)
        match request:
            case LogVoteRequest():
                return self._on_vote_request(now_ns, request)
            case AppendRequest() | SnapshotAppendRequest() | SnapshotOfferRequest():
                return self._on_leader_request(now_ns, request)
            case CampaignRequest(_, term):
                return self._on_campaign_request(now_ns, term)

    def on_reply(self, now_ns: int, member_id: str, reply: Reply) -> None:
        """Handle a member's reply to a request of the log."""
        if not self.may_vote():  # prevents a candidate from winning after its log was handed over
            self.on_request_failed(member_id)
            return
        match reply:
            case LogVoteReply():
                self._on_vote_reply(now_ns, member_id, reply)
            case AppendReply():
                self._on_append_reply(now_ns, member_id, reply)
            case SnapshotPendingReply():
                self._on_pending_reply(now_ns, member_id, reply)
            case CampaignReply():
                pass
            case _:
                self.on_request_failed(member_id)

    def on_request_failed(self, member_id: str) -> None:
        """Handle a request that will get no reply."""
        if (progress := self.followers.get(member_id)) is not None:
            progress.on_failed()

    def on_snapshot_fetched(self, snapshot: LogSnapshot) -> None:
        """Continue from a snapshot that was fetched from the leader; its entries are committed."""
        if self.may_vote() and not self.is_leader and snapshot.index > self.commit_index:
            self.log.restore(snapshot)
            self._restore_state_machine()

    def on_durable(self, now_ns: int, item: OwnVote | OwnAppend) -> None:
        """Handle the own vote or the own entries reaching the disk."""
        if item.term != self.log.term or not self.may_vote():
            return
        match item:
            case OwnVote() if self.role is Role.CANDIDATE:
                self._request_votes(is_pre_vote=False)
                self._count_vote(now_ns, self._acceptor.member_id)
            case OwnAppend(_, index) if self.is_leader:
                self.own_durable_index = max(self.own_durable_index, index)
                self._advance_commit_index(now_ns)

    # -- elections

    def _start_pre_vote(self, now_ns: int, is_transfer: bool = False) -> None:
        self._become_follower("")
        self.role, self._is_transfer = Role.PRE_CANDIDATE, is_transfer
        self._reset_election_timer(now_ns)
        self._request_votes(is_pre_vote=True)
        self._count_vote(now_ns, self._acceptor.member_id)

    def _start_campaign(self, now_ns: int) -> None:
        self.role, self._votes = Role.CANDIDATE, set()
        self._reset_election_timer(now_ns)
        self.log.advance_term(self._next_term(), self._acceptor.member_id)
        self._host.defer_until_durable(OwnVote(self.log.term))

    def _next_term(self) -> Term:
        epoch = self._acceptor.epoch.number
        return Term(epoch, self.log.term.number + 1 if self.log.term.epoch == epoch else 1)

    def _request_votes(self, is_pre_vote: bool) -> None:
        term = self._next_term() if is_pre_vote else self.log.term
        request = LogVoteRequest(
            self._acceptor.epoch.number,
            term,
            self._acceptor.member_id,
            self.log.last_position,
            is_pre_vote,
            self._is_transfer,
        )
        for member_id, address in self._other_members():
            self._host.send_log_request(member_id, address, request)

    def _count_vote(self, now_ns: int, member_id: str) -> None:
        self._votes.add(member_id)
        if len(self._votes) < self._acceptor.epoch.majority:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_campaign(now_ns)
        else:
            self._become_leader(now_ns)

    def _on_vote_request(self, now_ns: int, request: LogVoteRequest) -> LogVoteReply:
        if request.is_pre_vote:
            granted = self._would_vote_for(now_ns, request)
        else:
            granted = self._vote_for(now_ns, request)
        return LogVoteReply(self.log.term, request.term, request.is_pre_vote, granted)

    def _would_vote_for(self, now_ns: int, request: LogVoteRequest) -> bool:
        """Return whether a vote would be granted; a working leader keeps the followers that it reaches."""
        has_leader = self.is_leader or (
            bool(self.leader_id) and now_ns - self._last_leader_contact_ns < MIN_ELECTION_TIMEOUT_NS
        )
        if has_leader and not request.is_transfer:
            return False
        return request.term > self.log.term and request.last_position >= self.log.last_position

    def _vote_for(self, now_ns: int, request: LogVoteRequest) -> bool:
        if request.term > self.log.term:
            self._enter_term(now_ns, request.term)
        if request.term < self.log.term or request.last_position < self.log.last_position:
            return False
        if self.log.voted_for not in ("", request.candidate_id):
            return False
        if not self.log.voted_for:
            self.log.advance_term(request.term, request.candidate_id)
        self._reset_election_timer(now_ns)
        return True

    def _on_vote_reply(self, now_ns: int, member_id: str, reply: LogVoteReply) -> None:
        if reply.term > self.log.term:
            self._enter_term(now_ns, reply.term)
            return
        if not reply.granted or not self._acceptor.epoch.has_member(member_id):
            return
        if reply.is_pre_vote:
            is_current = self.role is Role.PRE_CANDIDATE and reply.voted_term == self._next_term()
        else:
            is_current = self.role is Role.CANDIDATE and reply.voted_term == self.log.term
        if is_current:
            self._count_vote(now_ns, member_id)

    def _on_campaign_request(self, now_ns: int, term: Term) -> CampaignReply:
        if term == self.log.term and self.role is Role.FOLLOWER:
            self._start_pre_vote(now_ns, is_transfer=True)
        return CampaignReply(self.log.term)

    def _enter_term(self, now_ns: int, term: Term) -> None:
        self.log.advance_term(term)
        self._become_follower("")
        if self._election_at_ns < now_ns:
            self._reset_election_timer(now_ns)

    def _reset_election_timer(self, now_ns: int) -> None:
        span_ns = MAX_ELECTION_TIMEOUT_NS - MIN_ELECTION_TIMEOUT_NS
        self._election_at_ns = now_ns + MIN_ELECTION_TIMEOUT_NS + int(span_ns * self._host.random_fraction())

    # -- changes of role

    def _become_follower(self, leader_id: str) -> None:
        self.role, self.leader_id, self._votes, self._is_transfer = Role.FOLLOWER, leader_id, set(), False
        self.followers, self._transfer_until_ns = {}, 0
        barriers, self.barriers = self.barriers, []
        for barrier in barriers:
            self._host.emit(CompleteBarrier(barrier.waiter_id, None))
        self._announce_leader()

    def _become_leader(self, now_ns: int) -> None:
        self.role, self.leader_id, self._is_transfer = Role.LEADER, self._acceptor.member_id, False
        self.own_durable_index = self._transfer_until_ns = 0
        next_index = self.log.last_index + 1
        self.followers = {
            member_id: FollowerProgress(next_index, last_reply_ns=now_ns)
            for member_id, _ in self._other_members()
        }
        self._host.log("log_leader_elected", term=self.log.term.number, epoch=self.log.term.epoch)
        self._term_start_index = self._append(b"")
        self._announce_leader()
        self._send_to_idle_followers(now_ns)

    def _announce_leader(self) -> None:
        address = self._acceptor.address if self.is_leader else self.leader_address()
        announced = LeaderChanged(self.log.term, address, self.is_leader)
        if announced != self._announced:
            self._announced = announced
            self._host.emit(announced)

    def _stop_voting(self, now_ns: int) -> None:
        """Step down; if only the own disk has failed, another member can take over at once."""
        if not self.is_leader:
            if self.role is not Role.FOLLOWER:
                self._become_follower("")
            return
        self._host.log("log_leader_stopped", term=self.log.term.number, epoch=self.log.term.epoch)
        self._request_campaign()
        self._become_follower("")
        self._reset_election_timer(now_ns)

    def _check_leadership(self, now_ns: int) -> None:
        """Send what is due, or step down if a majority is silent."""
        active = 1 + sum(now_ns - p.last_reply_ns < LEADER_QUORUM_TIMEOUT_NS for p in self.followers.values())
        if active < self._acceptor.epoch.majority:
            self._host.log("log_quorum_lost", term=self.log.term.number, epoch=self.log.term.epoch)
            self._become_follower("")
            self._reset_election_timer(now_ns)
            return
        for member_id, address in self._other_members():
            progress = self.followers[member_id]
            if progress.in_flight_since_ns and now_ns - progress.in_flight_since_ns > APPEND_TIMEOUT_NS:
                progress.on_failed()
            if now_ns < progress.resend_at_ns:
                continue
            if progress.in_flight_since_ns:
                progress.resend_at_ns = now_ns + HEARTBEAT_INTERVAL_NS
            else:
                self._send(now_ns, member_id, address, progress)

    def _request_campaign(self) -> None:
        """Ask the follower with the longest log to campaign, if it has all entries."""
        target = max(self.followers, key=lambda m: self.followers[m].match_index, default=None)
        if target is None or self.followers[target].match_index < self.log.last_index:
            return
        address = dict(self._other_members()).get(target)
        if address is not None:
            request = CampaignRequest(self.log.epoch, self.log.term)
            self._host.send_log_request(target, address, request)

    # -- the leader's log

    def _append(self, payload: bytes) -> int:
        index = self.log.append(Entry(self.log.term, payload))
        self._host.defer_until_durable(OwnAppend(self.log.term, index))
        return index

    def _send_to_idle_followers(self, now_ns: int) -> None:
        for member_id, address in self._other_members():
            progress = self.followers[member_id]
            if progress.in_flight_since_ns == NOTHING_IN_FLIGHT:
                self._send(now_ns, member_id, address, progress)

    def _send(self, now_ns: int, member_id: str, address: str, progress: FollowerProgress) -> None:
        previous_index = progress.next_index - 1
        request: LogRequest
        if previous_index < self.log.base.index:
            request = self._snapshot_request(member_id)
        else:
            request = AppendRequest(
                self.log.epoch,
                self.log.term,
                self._acceptor.member_id,
                EntryPosition(self.log.term_at(previous_index), previous_index),
                self.log.entries_after(previous_index, MAX_APPEND_BYTES),
                self.commit_index,
                self._round_number,
            )
        progress.on_sent(now_ns, self.commit_index, now_ns + HEARTBEAT_INTERVAL_NS)
        self._host.send_log_request(member_id, address, request)

    def _snapshot_request(self, member_id: str) -> SnapshotOfferRequest | SnapshotAppendRequest:
        log, own_id = self.log, self._acceptor.member_id
        if self._host.reads_positions(member_id):
            return SnapshotOfferRequest(log.epoch, log.term, own_id, log.base, self._round_number)
        return SnapshotAppendRequest(log.epoch, log.term, own_id, log.snapshot, self._round_number)

    def _progress_of(self, now_ns: int, member_id: str, term: Term) -> FollowerProgress | None:
        """Return the progress of a follower that has replied; None if this replica leads no such term."""
        if term > self.log.term:
            self._enter_term(now_ns, term)
            return None
        return self.followers.get(member_id) if self.is_leader and term == self.log.term else None

    def _on_pending_reply(self, now_ns: int, member_id: str, reply: SnapshotPendingReply) -> None:
        """Offer the snapshot again with the next heartbeat, or at once if a barrier waits."""
        if (progress := self._progress_of(now_ns, member_id, reply.term)) is None:
            return
        progress.on_pending(now_ns, reply.round_number)
        self._complete_barriers()
        if self._waits_for_round(progress):
            self._send_to(now_ns, member_id, progress)

    def _on_append_reply(self, now_ns: int, member_id: str, reply: AppendReply) -> None:
        if (progress := self._progress_of(now_ns, member_id, reply.term)) is None:
            return
        if reply.accepted:
            progress.on_accepted(now_ns, reply.last_index, reply.round_number)
            self._advance_commit_index(now_ns)
        else:
            progress.on_rejected(now_ns, reply.last_index, reply.round_number)
        self._complete_barriers()
        self._send_if_needed(now_ns, member_id, progress)
        if now_ns < self._transfer_until_ns and progress.match_index == self.log.last_index:
            self._request_campaign()

    def _send_if_needed(self, now_ns: int, member_id: str, progress: FollowerProgress) -> None:
        """Send entries or confirm a barrier at once; send a new commit index soon."""
        if progress.next_index <= self.log.last_index or self._waits_for_round(progress):
            self._send_to(now_ns, member_id, progress)
        elif progress.sent_commit_index < self.commit_index:
            progress.resend_at_ns = min(progress.resend_at_ns, now_ns + COMMIT_NOTIFICATION_DELAY_NS)

    def _waits_for_round(self, progress: FollowerProgress) -> bool:
        return any(barrier.round_number > progress.confirmed_round for barrier in self.barriers)

    def _send_to(self, now_ns: int, member_id: str, progress: FollowerProgress) -> None:
        address = dict(self._other_members()).get(member_id)
        if address is not None:
            self._send(now_ns, member_id, address, progress)

    def _advance_commit_index(self, now_ns: int) -> None:
        """Commit what a majority has on disk, if the last of it is of the leader's own term."""
        durable = sorted([self.own_durable_index, *(p.match_index for p in self.followers.values())])
        index = durable[len(durable) - self._acceptor.epoch.majority]
        if index <= self.commit_index or self.log.term_at(index) != self.log.term:
            return
        self.commit_index = index
        self._apply_committed()
        self._complete_barriers()
        for progress in self.followers.values():
            progress.resend_at_ns = min(progress.resend_at_ns, now_ns + COMMIT_NOTIFICATION_DELAY_NS)

    def _complete_barriers(self) -> None:
        """Complete the barriers whose round a majority has confirmed and whose index is applied."""
        confirmed = sorted([self._round_number, *(p.confirmed_round for p in self.followers.values())])
        round_number = confirmed[len(confirmed) - self._acceptor.epoch.majority]
        waiting = []
        for barrier in self.barriers:
            if barrier.round_number <= round_number and barrier.index <= self.applied_index:
                self._host.emit(CompleteBarrier(barrier.waiter_id, barrier.index))
            else:
                waiting.append(barrier)
        self.barriers = waiting

    # -- the follower's log

    def _on_leader_request(self, now_ns: int, request: LeaderRequest) -> AppendReply | SnapshotPendingReply:
        if request.term < self.log.term:
            return AppendReply(self.log.term, False, self.log.last_index, request.round_number)
        if request.term > self.log.term:
            self._enter_term(now_ns, request.term)
        if self.is_leader:
            raise InvariantError(f"two leaders in term {self.log.term}: {request.leader_id} and this one")
        if self.role is not Role.FOLLOWER or self.leader_id != request.leader_id:
            self._become_follower(request.leader_id)
        self._last_leader_contact_ns = now_ns
        self._reset_election_timer(now_ns)
        match request:
            case AppendRequest():
                return self._append_entries(request)
            case SnapshotAppendRequest():
                return self._restore(request)
            case SnapshotOfferRequest():
                return self._on_offer(request)

    def _on_offer(self, request: SnapshotOfferRequest) -> AppendReply | SnapshotPendingReply:
        """Confirm the own log if the leader has the entries after it; otherwise a snapshot is needed."""
        if self.commit_index >= request.base.index:
            return self._accepted(request, self.commit_index)
        return SnapshotPendingReply(self.log.term, request.round_number)

    def _append_entries(self, request: AppendRequest) -> AppendReply:
        previous, entries = request.previous, request.entries
        if previous.index < self.log.base.index:  # what precedes the base is committed and equal
            skipped = self.log.base.index - previous.index
            previous, entries = self.log.base, entries[skipped:]
            if skipped > len(request.entries):
                return self._accepted(request, self.log.base.index)
        if not self.log.contains(previous):
            last_index = min(self.log.last_index, max(self.commit_index, previous.index - 1))
            return AppendReply(self.log.term, False, last_index, request.round_number)
        for offset, entry in enumerate(entries):
            index = previous.index + 1 + offset
            if index <= self.log.last_index:
                if self.log.term_at(index) == entry.term:
                    continue
                self._truncate_from(index)
            self.log.append(entry)
        last_index = previous.index + len(entries)
        if min(request.commit_index, last_index) > self.commit_index:
            self.commit_index = min(request.commit_index, last_index)
            self._apply_committed()
        return self._accepted(request, last_index)

    def _accepted(self, request: LeaderRequest, last_index: int) -> AppendReply:
        return AppendReply(self.log.term, True, last_index, request.round_number)

    def _truncate_from(self, index: int) -> None:
        if index <= self.commit_index:
            raise InvariantError(f"entry {index} is replaced although {self.commit_index} is committed")
        self.log.truncate_from(index)

    def _restore(self, request: SnapshotAppendRequest) -> AppendReply:
        if request.snapshot.index > self.commit_index:
            self.log.restore(request.snapshot)
            self._restore_state_machine()
        return self._accepted(request, max(request.snapshot.index, self.commit_index))

    # -- the state machine

    def _apply_committed(self) -> None:
        entries = self.log.entries_between(self.applied_index, self.commit_index)
        first_index = self.applied_index + 1
        self.applied_index = self.commit_index
        committed = (CommittedEntry(first_index + i, e.term, e.payload) for i, e in enumerate(entries))
        self._host.emit(ApplyEntries(tuple(committed)))

    def _restore_state_machine(self) -> None:
        snapshot = self.log.snapshot
        self.commit_index = self.applied_index = snapshot.index
        if snapshot.index:
            self._host.emit(RestoreSnapshot(snapshot.index, snapshot.content))

    def _other_members(self) -> list[tuple[str, str]]:
        own_id = self._acceptor.member_id
        return [(m, address) for m, address in self._acceptor.epoch.members if m != own_id]
