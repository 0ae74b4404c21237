"""Operations: what a replica carries through by asking a quorum, in as many attempts as it takes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.timing import INITIAL_BACKOFF_NS
from meadowworks.consensus.values import Epoch

LEAVE_WAITER_ID = -1  # the waiter that `Replica.leave` reports to; the driver's own ids are positive

QuorumCall = Proposer | Reconfiguration | QuorumRead | StateTransfer


class OperationKind(StrEnum):
    """What an operation is for."""

    PROPOSE = "propose"  # a client's value for a version
    FINISH = "finish"  # a version that another has begun
    READ = "read"  # the newest committed value
    MEMBERS = "members"  # the next epoch's members
    LEAVE = "leave"  # hand over what this replica knows, and end


@dataclass(slots=True)
class Operation:
    """Something that is carried through, and the attempt that is under way.

    `waiter_ids`: whom to tell how it ended. `quorum_call`: none between two attempts. `round_number`: replies
    to requests of another round come late and are passed over. `due_ns`: when the request goes again, or the
    next attempt begins. `min_ballot_number`: the highest number of a ballot that stood in the way.
    `previous_epoch`: the epoch that ends, of a change of members that is chosen already.
    """

    kind: OperationKind
    version: int
    value: bytes | None
    deadline_ns: int
    waiter_ids: list[int]
    quorum_call: QuorumCall | None = None
    round_number: int = 0
    due_ns: int = 0
    backoff_ns: int = INITIAL_BACKOFF_NS
    min_ballot_number: int = 0
    previous_epoch: Epoch | None = None

    def wait_until(self, due_ns: int) -> None:
        """Ends the attempt; the next one begins at `due_ns`."""
        self.quorum_call, self.due_ns = None, due_ns

    def begin_call(self, quorum_call: QuorumCall) -> None:
        """Goes on with another quorum call in the same attempt."""
        self.quorum_call = quorum_call
        self.round_number += 1
