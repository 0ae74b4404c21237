"""Requests to an acceptor, and its replies.

In each request `epoch` is the number of the sender's epoch. Fields are encoded in declaration order
(`codec`), so their order must not change.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.log_messages import LogReply, LogRequest, SnapshotOfferRequest
from meadowworks.consensus.replicated_log import LogSource
from meadowworks.consensus.transfer_messages import TransferReply, TransferRequest
from meadowworks.consensus.values import AcceptorState, Ballot, CommittedValue, DigestHistory, Epoch


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """The first round of a proposal: requests a promise not to accept a value under a lower ballot."""

    epoch: int
    version: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """The second round of a proposal: requests acceptance of a value under a ballot."""

    epoch: int
    version: int
    ballot: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class SealRequest:
    """Seals an epoch at an acceptor because `next_epoch` has been chosen to follow it."""

    epoch: int
    next_epoch: Epoch


@dataclass(frozen=True, slots=True)
class InstallRequest:
    """Makes an acceptor a member of `next_epoch` with the state of the previous epoch's members."""

    epoch: int
    next_epoch: Epoch
    state: AcceptorState


@dataclass(frozen=True, slots=True)
class SealPositionRequest:
    """Seals an epoch like a `SealRequest`; the reply has the position of the log instead of its content."""

    epoch: int
    next_epoch: Epoch


@dataclass(frozen=True, slots=True)
class InstallPositionRequest:
    """Makes an acceptor a member of `next_epoch` once its log reaches a position.

    `state` is that of the previous epoch's members, without a log. `log_source` is None if none of them had a
    log of their epoch.
    """

    epoch: int
    next_epoch: Epoch
    state: AcceptorState
    log_source: LogSource | None


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Requests the committed and the highest undecided version, without their values."""

    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Requests the committed value and the digests of earlier values."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LearnRequest:
    """Informs an acceptor of the committed value."""

    epoch: int
    committed: CommittedValue
    history: DigestHistory


@dataclass(frozen=True, slots=True)
class QueryReply:
    """The state of an acceptor.

    `may_vote`: the acceptor is a member of `epoch`, is not sealed, and has seen no newer epoch.
    `highest_version` is the highest version that it has committed or accepted; no version acknowledged before
    the reply exceeds the maximum of `highest_version` over a majority. `is_eligible`: the acceptor can become
    or remain a member, as `member_id` at `address`.
    """

    epoch: int
    may_vote: bool
    highest_version: int
    committed_version: int
    member_id: str
    address: str
    is_eligible: bool


@dataclass(frozen=True, slots=True)
class PromiseReply:
    """The promise for a `PrepareRequest`, with the value accepted earlier and its ballot."""

    ballot: Ballot
    accepted: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class AcceptedReply:
    """Confirms that the value was accepted under this ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class BallotRejectedReply:
    """Rejects a request because this higher ballot has been promised."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class VersionDecidedReply:
    """Rejects a request because this or a later version is already committed."""

    committed: CommittedValue
    history: DigestHistory


@dataclass(frozen=True, slots=True)
class StaleEpochReply:
    """Rejects a request because this later epoch has replaced the sender's epoch."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class SealedReply:
    """States that the acceptor no longer votes in the sender's epoch because `next_epoch` was chosen.

    `state` is the acceptor's state; it is only set in the reply to a `SealRequest`.
    """

    next_epoch: Epoch
    state: AcceptorState | None = None


@dataclass(frozen=True, slots=True)
class SealedPositionReply:
    """The reply to a `SealPositionRequest`: the acceptor's state without its log, and where its log ends."""

    next_epoch: Epoch
    state: AcceptorState
    log_source: LogSource | None


@dataclass(frozen=True, slots=True)
class LogMissingReply:
    """States that the acceptor joins the epoch as soon as it has fetched the log."""

    epoch: int


@dataclass(frozen=True, slots=True)
class InstalledReply:
    """Confirms that the acceptor is a member of the epoch with this number."""

    epoch: int


@dataclass(frozen=True, slots=True)
class NotAMemberReply:
    """Rejects a request because the acceptor cannot vote in the sender's epoch; `epoch` is its own number."""

    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The committed value and the digests of earlier values."""

    committed: CommittedValue
    history: DigestHistory


# Requests that earlier releases cannot read.
POSITION_REQUEST_TYPES = (SealPositionRequest, InstallPositionRequest, SnapshotOfferRequest)
VoteRequest = PrepareRequest | AcceptRequest
AcceptorRequest = (
    VoteRequest
    | SealRequest
    | SealPositionRequest
    | InstallRequest
    | InstallPositionRequest
    | QueryRequest
    | SnapshotRequest
    | LearnRequest
)
Request = AcceptorRequest | LogRequest | TransferRequest
Reply = (
    PromiseReply
    | AcceptedReply
    | BallotRejectedReply
    | VersionDecidedReply
    | StaleEpochReply
    | SealedReply
    | SealedPositionReply
    | LogMissingReply
    | InstalledReply
    | NotAMemberReply
    | QueryReply
    | SnapshotReply
    | LogReply
    | TransferReply
)
