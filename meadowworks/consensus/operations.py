"""Operations: tasks that a replica completes through quorum calls, in one or more attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.timing import INITIAL_BACKOFF_NS
from meadowworks.consensus.values import Epoch

LEAVE_WAITER_ID = -1  # the waiter of `Replica.leave`; the ids chosen by the driver are positive

QuorumCall = Proposer | Reconfiguration | QuorumRead | StateTransfer


class OperationKind(StrEnum):
    """The purpose of an operation."""

    PROPOSE = "propose"  # propose a client's value for a version
    FINISH = "finish"  # finish a version that another replica has started
    READ = "read"  # read the newest committed value
    MEMBERS = "members"  # choose the next epoch's members
    LEAVE = "leave"  # transfer the committed value and leave the membership


@dataclass(slots=True)
class Operation:
    """An operation and its current attempt.

    `waiter_ids`: the waiters to report the outcome to. `quorum_call`: None between attempts. `round_number`:
    replies to requests of another round are ignored. `due_ns`: when to resend the request or start the next
    attempt. `min_ballot_number`: the highest number of a ballot that caused a rejection; the next ballot is
    above it. `previous_epoch`: the epoch to be replaced, if the membership change has been chosen.
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
        """End the attempt and schedule the next one at `due_ns`."""
        self.quorum_call, self.due_ns = None, due_ns

    def begin_call(self, quorum_call: QuorumCall) -> None:
        """Continue the attempt with another quorum call."""
        self.quorum_call = quorum_call
        self.round_number += 1
