"""Acceptors of the model: their initial states and their replies to calls."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.membership import encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    InstallRequest,
    PromiseReply,
    StaleEpochReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    AcceptorSlot,
    Ballot,
)
from meadowworks.modelcheck.models.consensus.frozen import (
    freeze_acceptor,
    freeze_call,
    thaw_acceptor,
    thaw_call,
    thaw_epoch,
)
from meadowworks.modelcheck.models.consensus.scenarios import Scenario, X

MEMBERS_BALLOT, CHOSEN_BALLOT, FOUNDING_BALLOT = Ballot(1, 1, "b.0"), Ballot(1, 1, "a.0"), Ballot(0, 9, "a.0")


def exchange(frozen_call: Any, frozen_acceptor: Any) -> Any:
    """Let an acceptor handle the request of a call, and the call its reply, as plain values.

    :returns: the acceptor and the call after the exchange, the call's outcome, a newer epoch if the reply
        announced one, and the outcome to record if the acceptor voted.
    """
    call, acceptor = thaw_call(frozen_call), thaw_acceptor(frozen_acceptor)
    assert call is not None
    request = call.request()
    newest, may_vote = acceptor.newest_epoch().number, may_vote_in(acceptor, request.epoch)
    reply = acceptor.handle(request)
    vote = (
        ("took", request.epoch, newest, may_vote) if isinstance(reply, PromiseReply | AcceptedReply) else None
    )
    call.on_reply(acceptor.id_in_epoch(request.epoch), reply)
    newer_epoch = reply.epoch if isinstance(reply, StaleEpochReply) else None
    updated = freeze_acceptor(acceptor)
    return (
        frozen_acceptor if updated == frozen_acceptor else updated,
        freeze_call(call, frozen_call[-1]),
        call.outcome,
        newer_epoch,
        vote,
    )


def may_vote_in(acceptor: Acceptor, epoch: int) -> bool:
    """Return whether an acceptor is a member of an epoch that may vote and is ready to."""
    is_ready = (
        acceptor.installed
        and acceptor.sealed_by is None
        and acceptor.is_eligible
        and acceptor.epoch.number == epoch
    )
    return is_ready and any(disk == acceptor.id_in_epoch(epoch) for disk, _ in acceptor.epoch.members)


def initial_acceptor(scenario: Scenario, machine: int) -> Acceptor:
    """Return the acceptor of a machine in the initial state of a scenario."""
    disk = chr(ord("a") + machine)
    seeds = tuple(address for _, address in scenario.members) if scenario.founding else ()
    is_founder = scenario.founding and str(machine) in seeds
    acceptor = start_acceptor(
        load_acceptor(
            None, new_member_id=disk, address=str(machine), seeds=seeds, bootstrap=is_founder, voting=True
        )
    )
    if not scenario.founding and (disk, str(machine)) in scenario.members:
        acceptor.epoch, acceptor.installed = thaw_epoch(1, scenario.members), True
        if scenario.next_members and machine < acceptor.epoch.majority:
            acceptor.slots[MEMBERSHIP_VERSION] = AcceptorSlot(
                MEMBERS_BALLOT, MEMBERS_BALLOT, encode_member_list(scenario.next_members)
            )
        if machine in scenario.chosen_at:
            acceptor.slots[1] = AcceptorSlot(CHOSEN_BALLOT, CHOSEN_BALLOT, X)
        if machine in scenario.accepted_before:
            acceptor.slots[1] = AcceptorSlot(FOUNDING_BALLOT, FOUNDING_BALLOT, X)
        if machine in scenario.sealed_at:
            acceptor.sealed_by = thaw_epoch(2, scenario.next_members)
    if machine in scenario.installed_at:
        acceptor.handle(InstallRequest(2, thaw_epoch(2, scenario.next_members), Acceptor("").export_state()))
        acceptor.changed_slots, acceptor.metadata_changed = set(), False
    return acceptor


def start_acceptor(acceptor: Acceptor) -> Acceptor:
    """Start the acceptor's process, which writes its first state to the disk, and return the acceptor."""
    Replica(acceptor, 1, lambda: 0.5).start(0)
    return acceptor
