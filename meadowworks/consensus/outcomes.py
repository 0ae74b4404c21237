"""What a proposal, a reconfiguration or a quorum read has come to."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.values import Ballot, CommittedValue, DigestHistory, Epoch


@dataclass(frozen=True, slots=True)
class Chosen:
    """A majority has accepted this value for the version: it is chosen for good."""

    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Superseded:
    """This version or a later one is committed already."""

    committed: CommittedValue
    history: DigestHistory = ()


@dataclass(frozen=True, slots=True)
class RetryWithHigherBallot:
    """A higher ballot has been promised: the proposal may begin again above it.

    With `NO_BALLOT` there is nothing to finish: nothing was accepted, and the proposer had no value.
    """

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class EpochChanged:
    """The epoch is over, or about to be.

    `reconfiguration_pending`: members have been sealed for `epoch`, and it may not be installed yet.
    """

    epoch: Epoch
    reconfiguration_pending: bool


@dataclass(frozen=True, slots=True)
class QuorumReadResult:
    """What a majority holds.

    `highest_version` must be known here before anything is read out. `committed_version` is the highest that
    any of those who answered has committed; it can be fetched from `address`.
    """

    highest_version: int
    committed_version: int
    address: str


ProposalOutcome = Chosen | Superseded | RetryWithHigherBallot | EpochChanged
