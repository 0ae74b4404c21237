"""Conversion of acceptors, calls and requests to plain values and back.

A world stores only plain values, so that its state key contains all of its state.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptRequest,
    InstallPositionRequest,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    Request,
    SealPositionRequest,
)
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.values import (
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
)
from meadowworks.modelcheck.models.consensus.scenarios import Members

# Indices of the fields in a frozen acceptor, which is a plain tuple because the explorer marshals it.
(
    MEMBER_ID,
    ADDRESS,
    FOUNDER_ID,
    WANTS_MEMBERSHIP,
    INCARNATION,
    EPOCH,
    INSTALLED,
    SEALED_BY,
    COMMITTED,
    HISTORY,
    SLOTS,
    ANNOUNCED_EPOCH,
) = range(12)
Call = Proposer | Reconfiguration | QuorumRead | StateTransfer


def freeze_acceptor(acceptor: Acceptor) -> Any:
    """Return an acceptor as a plain value, without its pending writes."""
    return (
        acceptor.member_id,
        acceptor.address,
        acceptor.bootstrap_id,
        acceptor.is_eligible,
        acceptor.incarnation,
        (acceptor.epoch.number, acceptor.epoch.members),
        acceptor.installed,
        None if acceptor.sealed_by is None else (acceptor.sealed_by.number, acceptor.sealed_by.members),
        (acceptor.committed.version, acceptor.committed.value),
        acceptor.digest_history(),
        freeze_slots((v, s.promised, s.accepted, s.value) for v, s in sorted(acceptor.slots.items())),
        (acceptor.announced_epoch.number, acceptor.announced_epoch.members),
    )


def freeze_slots(rows: Iterable[tuple[int, Ballot, Ballot, bytes]]) -> Any:
    """Return slots as plain values."""
    return tuple(
        [(version, tuple(promised), tuple(accepted), value) for version, promised, accepted, value in rows]
    )


def freeze_state(state: AcceptorState) -> Any:
    """Return a transferred state as a plain value."""
    return (state.committed.version, state.committed.value), state.history, freeze_slots(state.slots)


@lru_cache(4096)
def thaw_epoch(number: int, members: Members) -> Epoch:
    """Return an epoch; calls with equal values share one object."""
    return Epoch(number, members)


def thaw_slots(rows: Any) -> list[tuple[int, Ballot, Ballot, bytes]]:
    """Return slots from plain values."""
    return [
        (version, Ballot(*promised), Ballot(*accepted), value) for version, promised, accepted, value in rows
    ]


def thaw_state(frozen: Any) -> AcceptorState:
    """Return a transferred state from a plain value."""
    committed, history, rows = frozen
    return AcceptorState(CommittedValue(*committed), history, tuple(thaw_slots(rows)))


def thaw_acceptor(frozen: Any) -> Acceptor:
    """Return an acceptor from a plain value."""
    (
        member_id,
        address,
        bootstrap_id,
        is_eligible,
        incarnation,
        epoch,
        installed,
        sealed_by,
        committed,
        history,
        rows,
        announced_epoch,
    ) = frozen
    return Acceptor(
        member_id,
        address,
        bootstrap_id,
        is_eligible,
        incarnation,
        thaw_epoch(*epoch),
        installed,
        None if sealed_by is None else thaw_epoch(*sealed_by),
        CommittedValue(*committed),
        dict(history),
        {
            version: AcceptorSlot(promised, accepted, value)
            for version, promised, accepted, value in thaw_slots(rows)
        },
        thaw_epoch(*announced_epoch),
    )


def freeze_call(call: Call, min_version: int) -> Any:
    """Return a call as a plain value.

    :param min_version: the highest chosen version when a read or a leave began; its result must not be older.
    """
    match call:
        case Proposer():
            # The promises have no effect once the accept phase has begun.
            promises = [] if call.accepting else sorted(call.promises.items())
            return (
                "proposer",
                (call.epoch.number, call.epoch.members),
                call.version,
                tuple(call.ballot),
                call.value,
                call.accepting,
                tuple(sorted(call.acceptances)),
                tuple(
                    [(member_id, tuple(p.ballot), tuple(p.accepted), p.value) for member_id, p in promises]
                ),
                min_version,
            )
        case Reconfiguration():
            if call.installing:  # only the merged state has an effect from here on
                merged = call.request()
                assert isinstance(merged, InstallPositionRequest)
                call.sealed_states = {"": merged.state}
            return (
                "change",
                (call.epoch.number, call.epoch.members),
                (call.next_epoch.number, call.next_epoch.members),
                call.installing,
                tuple(
                    [
                        (member_id, freeze_state(state))
                        for member_id, state in sorted(call.sealed_states.items())
                    ]
                ),
                tuple(sorted(call.installed_members)),
                min_version,
            )
        case QuorumRead():
            replies = [
                (
                    member_id,
                    reply.epoch,
                    reply.may_vote,
                    reply.highest_version,
                    reply.committed_version,
                    reply.member_id,
                    reply.address,
                    reply.is_eligible,
                )
                for member_id, reply in sorted(call.replies.items())
            ]
            return "reader", (call.epoch.number, call.epoch.members), tuple(replies), min_version
    return (
        "teacher",
        (call.epoch.number, call.epoch.members),
        call.other_members,
        (call.committed.version, call.committed.value),
        call.history,
        tuple(sorted(call.acknowledged)),
        min_version,
    )


def thaw_call(frozen: Any) -> Call | None:
    """Return a call from a plain value, None if the value stands for no call."""
    match frozen:
        case "proposer", epoch, version, ballot, value, accepting, acceptances, promises, _:
            proposer = Proposer(thaw_epoch(*epoch), version, Ballot(*ballot), value)
            proposer.accepting, proposer.acceptances = accepting, set(acceptances)
            proposer.promises = {
                member_id: PromiseReply(Ballot(*promised), Ballot(*accepted), accepted_value)
                for member_id, promised, accepted, accepted_value in promises
            }
            return proposer
        case "change", epoch, next_epoch, installing, states, installed, _:
            reconfiguration = Reconfiguration(thaw_epoch(*epoch), thaw_epoch(*next_epoch))
            reconfiguration.installing, reconfiguration.installed_members = installing, set(installed)
            reconfiguration.sealed_states = {member_id: thaw_state(state) for member_id, state in states}
            reconfiguration.log_sources = dict.fromkeys(reconfiguration.sealed_states)  # there is no log
            return reconfiguration
        case "reader", epoch, replies, _:
            quorum_read = QuorumRead(thaw_epoch(*epoch))
            quorum_read.replies = {member_id: QueryReply(*fields) for member_id, *fields in replies}
            return quorum_read
        case "teacher", epoch, other_members, committed, history, acknowledged, _:
            transfer = StateTransfer(thaw_epoch(*epoch), "", CommittedValue(*committed), history)
            transfer.other_members, transfer.acknowledged = other_members, set(acknowledged)
            return transfer
    return None


def freeze_request(request: Request) -> Any:
    """Return a request as a plain value.

    :raises ValueError: if the request changes no acceptor.
    """
    match request:
        case PrepareRequest(epoch, version, ballot):
            return "prepare", epoch, version, tuple(ballot)
        case AcceptRequest(epoch, version, ballot, value):
            return "accept", epoch, version, tuple(ballot), value
        case SealPositionRequest(epoch, next_epoch):
            return "seal", epoch, (next_epoch.number, next_epoch.members)
        case InstallPositionRequest(epoch, next_epoch, state):
            return "install", epoch, (next_epoch.number, next_epoch.members), freeze_state(state)
    raise ValueError(f"cannot freeze {request!r}: only prepare, accept, seal and install requests are frozen")


def thaw_request(frozen: Any) -> Request:
    """Return a request from a plain value.

    :raises ValueError: if the value is not a frozen request.
    """
    match frozen:
        case "prepare", epoch, version, ballot:
            return PrepareRequest(epoch, version, Ballot(*ballot))
        case "accept", epoch, version, ballot, value:
            return AcceptRequest(epoch, version, Ballot(*ballot), value)
        case "install", epoch, next_epoch, state:
            return InstallPositionRequest(epoch, thaw_epoch(*next_epoch), thaw_state(state), None)
        case "seal", epoch, next_epoch:
            return SealPositionRequest(epoch, thaw_epoch(*next_epoch))
    raise ValueError(f"not a frozen request: {frozen!r}")
