"""Value types of the consensus protocol: ballots, epochs, acceptor slots and committed values."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from meadowworks.consensus.replicated_log import LogState

# The number of past versions whose digests are kept, 16 bytes each, so that a repeated proposal can be
# compared with the chosen value. A proposal for an older version is assumed to match it
# (`OperationRunner.decided_outcome`).
HISTORY_LENGTH = 256
NO_EPOCH_NUMBER = -1  # below the number of every epoch
MEMBERSHIP_VERSION = 0  # the version whose value is the list of the next epoch's members
DIGEST_BYTES = 16

Members = tuple[tuple[str, str], ...]  # member ids and their addresses, sorted
DigestHistory = tuple[tuple[int, bytes], ...]  # versions that were chosen, and the digests of their values


class Ballot(NamedTuple):
    """The number of a proposal.

    Ballots are ordered by epoch first, so every ballot of a later epoch is above all ballots of earlier ones.
    `proposer_id` consists of a member id and an incarnation. The incarnation is on disk before the first
    request is sent, so no ballot is used twice.
    """

    epoch: int
    number: int
    proposer_id: str


class Term(NamedTuple):
    """The term of a leader of the replicated log; terms of later epochs are above all earlier ones."""

    epoch: int
    number: int


NO_TERM = Term(NO_EPOCH_NUMBER, 0)
NO_BALLOT = Ballot(NO_EPOCH_NUMBER, 0, "")


@dataclass(frozen=True, slots=True)
class Epoch:
    """A period with a fixed set of members.

    A member is a disk, identified by the id assigned when it was empty; a wiped or replaced disk is a new
    member. The members of epoch 0 are the seeds from the settings; only the membership is chosen in it.
    """

    number: int = NO_EPOCH_NUMBER
    members: Members = ()

    @property
    def majority(self) -> int:
        """The number of members in a quorum."""
        return len(self.members) // 2 + 1

    def has_member(self, member_id: str) -> bool:
        """Return whether the epoch has a member with this id."""
        return any(name == member_id for name, _ in self.members)


NO_EPOCH = Epoch()


@dataclass(slots=True)
class AcceptorSlot:
    """The promise and the accepted value of an acceptor for one version."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class CommittedValue:
    """The highest version known to be chosen, with its value; version 0 means that there is none."""

    version: int = 0
    value: bytes = b""


NOTHING_COMMITTED = CommittedValue()


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """The state of an acceptor that is transferred to the members of the next epoch.

    Each of `slots` holds a version, the promised ballot, the accepted ballot and the accepted value. `log`
    is None if the acceptor has no log that belongs to its epoch.
    """

    committed: CommittedValue
    history: DigestHistory
    slots: tuple[tuple[int, Ballot, Ballot, bytes], ...]
    log: LogState | None = None


def digest(value: bytes) -> bytes:
    """Return a digest of `DIGEST_BYTES` bytes that identifies a value."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()
