"""Requests to an acceptor, and its replies.

In each request `epoch` is the number of the sender's epoch. The order of a message's fields is their order on
the wire (`codec`).
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.values import AcceptorState, Ballot, CommittedValue, DigestHistory, Epoch


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """The first round of a proposal: asks for a promise to accept nothing under a lower ballot."""

    epoch: int
    version: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """The second round of a proposal: asks to accept a value under a ballot."""

    epoch: int
    version: int
    ballot: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class SealRequest:
    """Ends an epoch at an acceptor: `next_epoch` has been chosen as the one after it."""

    epoch: int
    next_epoch: Epoch


@dataclass(frozen=True, slots=True)
class InstallRequest:
    """Makes an acceptor a member of `next_epoch`, with what the members of the epoch before held."""

    epoch: int
    next_epoch: Epoch
    state: AcceptorState


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Asks which version is committed and which is undecided, without their values."""

    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the committed value and the digests of those before it."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LearnRequest:
    """Tells an acceptor which value is committed."""

    epoch: int
    committed: CommittedValue
    history: DigestHistory


@dataclass(frozen=True, slots=True)
class QueryReply:
    """What an acceptor says of itself.

    `may_vote`: it is a member of `epoch`, not sealed, and knows of no newer epoch. `highest_version`: the
    highest version that it has committed or accepted; whatever was acknowledged before it said so is not
    above the highest of these at any majority. `is_eligible`: it would be a member, with `member_id` at
    `address`.
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
    """The promise that a `PrepareRequest` asked for, and what was accepted before, under which ballot."""

    ballot: Ballot
    accepted: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class AcceptedReply:
    """The value was accepted under this ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class BallotRejectedReply:
    """A higher ballot has been promised: this one."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class VersionDecidedReply:
    """The version is not above one that is committed already."""

    committed: CommittedValue
    history: DigestHistory


@dataclass(frozen=True, slots=True)
class StaleEpochReply:
    """The sender's epoch is over: this one is in force, or about to be."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class SealedReply:
    """The acceptor takes no more part in the sender's epoch; `next_epoch` has been chosen.

    `state` is what the acceptor holds, in the reply to a `SealRequest` alone.
    """

    next_epoch: Epoch
    state: AcceptorState | None = None


@dataclass(frozen=True, slots=True)
class InstalledReply:
    """The acceptor is a member of the epoch of this number."""

    epoch: int


@dataclass(frozen=True, slots=True)
class NotAMemberReply:
    """The acceptor is no member of the sender's epoch, or not installed in it: it may not be counted."""

    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The committed value, and the digests of those before it."""

    committed: CommittedValue
    history: DigestHistory


VoteRequest = PrepareRequest | AcceptRequest
Request = VoteRequest | SealRequest | InstallRequest | QueryRequest | SnapshotRequest | LearnRequest
Reply = (
    PromiseReply
    | AcceptedReply
    | BallotRejectedReply
    | VersionDecidedReply
    | StaleEpochReply
    | SealedReply
    | InstalledReply
    | NotAMemberReply
    | QueryReply
    | SnapshotReply
)
