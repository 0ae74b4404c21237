"""The values that the agreement is about: ballots, epochs, slots of an acceptor, committed values."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple

# Past versions whose digests are kept, 16 bytes each: a client that repeats a proposal learns whether its
# value was the one committed. One older than these is taken to be (`OperationRunner.decided_outcome`).
HISTORY_LENGTH = 256
NO_EPOCH_NUMBER = -1  # the number of no epoch: below that of every epoch
MEMBERSHIP_VERSION = 0  # the version whose value is the list of the next epoch's members
DIGEST_BYTES = 16

Members = tuple[tuple[str, str], ...]  # member ids and their addresses, sorted
DigestHistory = tuple[tuple[int, bytes], ...]  # versions that were chosen, and the digests of their values


class Ballot(NamedTuple):
    """The number of a proposal.

    Ballots are ordered by epoch first: any ballot of a later epoch is above all of an earlier one.
    `proposer_id` names a member and its incarnation. The incarnation is on the disk before the first request
    leaves, so no ballot is used twice.
    """

    epoch: int
    number: int
    proposer_id: str


NO_BALLOT = Ballot(NO_EPOCH_NUMBER, 0, "")


@dataclass(frozen=True, slots=True)
class Epoch:
    """A period with one set of members.

    A member is a disk, by the name that it gave itself when it was empty: a wiped disk, or another in its
    place, is another member. Epoch 0 is that of the seeds in the settings; no version is chosen in it.
    """

    number: int = NO_EPOCH_NUMBER
    members: Members = ()

    @property
    def majority(self) -> int:
        """The number of members that makes a quorum."""
        return len(self.members) // 2 + 1

    def has_member(self, member_id: str) -> bool:
        """Whether a member of that id belongs to the epoch."""
        return any(name == member_id for name, _ in self.members)


NO_EPOCH = Epoch()


@dataclass(slots=True)
class AcceptorSlot:
    """What an acceptor has promised and accepted for one version that may be undecided."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class CommittedValue:
    """The highest version that is known to be chosen, and its value; version 0 is none."""

    version: int = 0
    value: bytes = b""


NOTHING_COMMITTED = CommittedValue()


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What an acceptor holds of versions, as it is transferred to the members of the next epoch.

    Each of `slots` is a version, the ballots promised and accepted, and the accepted value.
    """

    committed: CommittedValue
    history: DigestHistory
    slots: tuple[tuple[int, Ballot, Ballot, bytes], ...]


def digest(value: bytes) -> bytes:
    """A digest of `DIGEST_BYTES` that stands for a value."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()
