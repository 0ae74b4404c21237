"""Acceptors, calls and requests as plain values, and back.

A world keeps plain values alone: what is kept is then what tells worlds apart.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptRequest,
    InstallRequest,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    Request,
    SealRequest,
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

# Where each field stands in a frozen acceptor; a tuple of plain values, since the explorer marshals it.
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


def freeze_acceptor(one: Acceptor) -> Any:
    """An acceptor as a plain value, without what it has still to write."""
    return (
        one.member_id,
        one.address,
        one.bootstrap_id,
        one.is_eligible,
        one.incarnation,
        (one.epoch.number, one.epoch.members),
        one.installed,
        None if one.sealed_by is None else (one.sealed_by.number, one.sealed_by.members),
        (one.committed.version, one.committed.value),
        one.digest_history(),
        freeze_slots((v, s.promised, s.accepted, s.value) for v, s in sorted(one.slots.items())),
        (one.announced_epoch.number, one.announced_epoch.members),
    )


def freeze_slots(rows: Iterable[tuple[int, Ballot, Ballot, bytes]]) -> Any:
    """Slots as plain values."""
    return tuple([(v, tuple(p), tuple(a), c) for v, p, a, c in rows])


def freeze_state(state: AcceptorState) -> Any:
    """A transferred state as a plain value."""
    return (state.committed.version, state.committed.value), state.history, freeze_slots(state.slots)


@lru_cache(4096)
def thaw_epoch(number: int, members: Members) -> Epoch:
    """An epoch; the same object for the same values."""
    return Epoch(number, members)


def thaw_slots(rows: Any) -> list[tuple[int, Ballot, Ballot, bytes]]:
    """Slots from plain values."""
    return [(v, Ballot(*p), Ballot(*a), c) for v, p, a, c in rows]


def thaw_state(frozen: Any) -> AcceptorState:
    """A transferred state from a plain value."""
    committed, history, rows = frozen
    return AcceptorState(CommittedValue(*committed), history, tuple(thaw_slots(rows)))


def thaw_acceptor(frozen: Any) -> Acceptor:
    """The acceptor that was frozen."""
    disk, address, seat, wants, life, epoch, installed, sealed, committed, history, rows, view = frozen
    return Acceptor(
        disk,
        address,
        seat,
        wants,
        life,
        thaw_epoch(*epoch),
        installed,
        None if sealed is None else thaw_epoch(*sealed),
        CommittedValue(*committed),
        dict(history),
        {v: AcceptorSlot(p, a, c) for v, p, a, c in thaw_slots(rows)},
        thaw_epoch(*view),
    )


def freeze_call(call: Call, floor: int) -> Any:
    """`floor`: the newest version that was chosen when it began, of readers and leavers."""
    match call:
        case Proposer():
            # What was promised tells nothing any more once the second round is on.
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
                floor,
            )
        case Reconfiguration():
            if call.installing:  # the states matter as what they come to, merged
                merged = call.request()
                assert isinstance(merged, InstallRequest)
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
                floor,
            )
        case QuorumRead():
            seen = [
                (
                    member_id,
                    s.epoch,
                    s.may_vote,
                    s.highest_version,
                    s.committed_version,
                    s.member_id,
                    s.address,
                    s.is_eligible,
                )
                for member_id, s in sorted(call.replies.items())
            ]
            return "reader", (call.epoch.number, call.epoch.members), tuple(seen), floor
    return (
        "teacher",
        (call.epoch.number, call.epoch.members),
        call.other_members,
        (call.committed.version, call.committed.value),
        call.history,
        tuple(sorted(call.acknowledged)),
        floor,
    )


def thaw_call(frozen: Any) -> Call | None:
    """The call that was frozen; none if there is none."""
    match frozen:
        case "proposer", epoch, version, ballot, content, accepting, accepts, promises, _:
            proposer = Proposer(thaw_epoch(*epoch), version, Ballot(*ballot), content)
            proposer.accepting, proposer.acceptances = accepting, set(accepts)
            proposer.promises = {w: PromiseReply(Ballot(*b), Ballot(*a), c) for w, b, a, c in promises}
            return proposer
        case "change", epoch, after, installing, states, installed, _:
            change = Reconfiguration(thaw_epoch(*epoch), thaw_epoch(*after))
            change.installing, change.installed_members = installing, set(installed)
            change.sealed_states = {member_id: thaw_state(state) for member_id, state in states}
            return change
        case "reader", epoch, seen, _:
            reader = QuorumRead(thaw_epoch(*epoch))
            reader.replies = {member_id: QueryReply(*rest) for member_id, *rest in seen}
            return reader
        case "teacher", epoch, others, committed, history, acknowledged, _:
            teacher = StateTransfer(thaw_epoch(*epoch), "", CommittedValue(*committed), history)
            teacher.other_members, teacher.acknowledged = others, set(acknowledged)
            return teacher
    return None


def freeze_request(request: Request) -> Any:
    """A request as a plain value.

    :raises ValueError: if it is none that changes an acceptor.
    """
    match request:
        case PrepareRequest(epoch, version, ballot):
            return "prepare", epoch, version, tuple(ballot)
        case AcceptRequest(epoch, version, ballot, content):
            return "accept", epoch, version, tuple(ballot), content
        case SealRequest(epoch, after):
            return "seal", epoch, (after.number, after.members)
        case InstallRequest(epoch, after, state):
            return "install", epoch, (after.number, after.members), freeze_state(state)
    raise ValueError(f"{request!r} changes nothing that lasts")


def thaw_request(frozen: Any) -> Request:
    """The request that was frozen.

    :raises ValueError: if it is none.
    """
    match frozen:
        case "prepare", epoch, version, ballot:
            return PrepareRequest(epoch, version, Ballot(*ballot))
        case "accept", epoch, version, ballot, content:
            return AcceptRequest(epoch, version, Ballot(*ballot), content)
        case "install", epoch, after, state:
            return InstallRequest(epoch, thaw_epoch(*after), thaw_state(state))
        case "seal", epoch, after:
            return SealRequest(epoch, thaw_epoch(*after))
    raise ValueError(f"no request: {frozen!r}")
