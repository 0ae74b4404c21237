"""Requests and replies of the replicated log.

`epoch` is the number of the sender's epoch. A replica that cannot vote in it answers with one of the replies
of `messages` that name the epoch. Fields are encoded in declaration order (`log_codec`), so their order must
not change.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.replicated_log import Entry, EntryPosition, LogSnapshot
from meadowworks.consensus.values import Term


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Sends entries from the leader, or none to confirm its leadership.

    `previous` is the position before the first entry. `round_number` is repeated in the reply and confirms
    the read barriers that began before the request was sent.
    """

    epoch: int
    term: Term
    leader_id: str
    previous: EntryPosition
    entries: tuple[Entry, ...]
    commit_index: int
    round_number: int


@dataclass(frozen=True, slots=True)
class SnapshotAppendRequest:
    """Sends the leader's snapshot to a follower that lacks entries which the leader no longer has."""

    epoch: int
    term: Term
    leader_id: str
    snapshot: LogSnapshot
    round_number: int


@dataclass(frozen=True, slots=True)
class SnapshotOfferRequest:
    """Tells a follower that it needs a snapshot, which the follower then fetches in pieces (`log_fetcher`).

    `base` is the first position from which the leader still has the entries.
    """

    epoch: int
    term: Term
    leader_id: str
    base: EntryPosition
    round_number: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """The reply to a request that sends entries or a snapshot.

    `accepted`: the follower's log equals the leader's up to `last_index`. Otherwise the leader must go back
    to `last_index` or further, or step down because `term` is later than its own.
    """

    term: Term
    accepted: bool
    last_index: int
    round_number: int


@dataclass(frozen=True, slots=True)
class SnapshotPendingReply:
    """The reply to a `SnapshotOfferRequest` of a follower that is fetching the snapshot."""

    term: Term
    round_number: int


@dataclass(frozen=True, slots=True)
class LogVoteRequest:
    """Requests a vote for `term`; a pre-vote only asks whether the vote would be granted.

    `is_transfer`: the leader has asked the candidate to take over, so a recent contact with the leader is
    no reason to refuse.
    """

    epoch: int
    term: Term
    candidate_id: str
    last_position: EntryPosition
    is_pre_vote: bool
    is_transfer: bool


@dataclass(frozen=True, slots=True)
class LogVoteReply:
    """The reply to a vote request; `voted_term` is the term that it asked for, `term` the voter's own."""

    term: Term
    voted_term: Term
    is_pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class CampaignRequest:
    """Asks a follower with a complete log to become the leader at once, because the leader resigns."""

    epoch: int
    term: Term


@dataclass(frozen=True, slots=True)
class CampaignReply:
    """Confirms a `CampaignRequest`."""

    term: Term


LeaderRequest = AppendRequest | SnapshotAppendRequest | SnapshotOfferRequest
LogRequest = LeaderRequest | LogVoteRequest | CampaignRequest
LogReply = AppendReply | SnapshotPendingReply | LogVoteReply | CampaignReply
LOG_REQUEST_TYPES = (
    AppendRequest,
    SnapshotAppendRequest,
    SnapshotOfferRequest,
    LogVoteRequest,
    CampaignRequest,
)
LOG_REPLY_TYPES = (AppendReply, SnapshotPendingReply, LogVoteReply, CampaignReply)
