"""Outcomes of quorum calls."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.values import Ballot, CommittedValue, DigestHistory, Epoch


@dataclass(frozen=True, slots=True)
class Chosen:
    """A majority has accepted this value for the version; the choice is final."""

    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Superseded:
    """This version or a later one is already committed."""

    committed: CommittedValue
    history: DigestHistory = ()


@dataclass(frozen=True, slots=True)
class RetryWithHigherBallot:
    """A higher ballot has been promised; the proposal may be retried above it.

    `NO_BALLOT` means that nothing was accepted and the proposer had no value, so there is nothing to finish.
    """

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class EpochChanged:
    """The epoch of the call has been replaced by `epoch` or is being replaced.

    `reconfiguration_pending`: members have been sealed, but `epoch` may not be installed yet.
    """

    epoch: Epoch
    reconfiguration_pending: bool


@dataclass(frozen=True, slots=True)
class QuorumReadResult:
    """The versions held by a majority.

    `highest_version` must be committed here before a read may return. `committed_version` is the highest
    version that an answering member has committed; it can be fetched from `address`.
    """

    highest_version: int
    committed_version: int
    address: str


ProposalOutcome = Chosen | Superseded | RetryWithHigherBallot | EpochChanged
