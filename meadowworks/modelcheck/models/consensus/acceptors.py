"""Acceptors of the model: as a scenario begins, and as they answer a call."""

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


def exchange(frozen: Any, other: Any) -> Any:
    """One request of a call and its reply, as plain values.

    :returns: the acceptor and the call after it, the call's outcome, a newer epoch that the reply told of,
        and what is to be checked of a vote.
    """
    call, one = thaw_call(frozen), thaw_acceptor(other)
    assert call is not None
    request = call.request()
    newest, votes = one.newest_epoch().number, may_vote_in(one, request.epoch)
    reply = one.handle(request)
    took = ("took", request.epoch, newest, votes) if isinstance(reply, PromiseReply | AcceptedReply) else None
    call.on_reply(one.id_in_epoch(request.epoch), reply)
    newer = reply.epoch if isinstance(reply, StaleEpochReply) else None
    same = freeze_acceptor(one)
    return other if same == other else same, freeze_call(call, frozen[-1]), call.outcome, newer, took


def may_vote_in(one: Acceptor, epoch: int) -> bool:
    """Whether it is to vote in an epoch, and is ready to."""
    there = one.installed and one.sealed_by is None and one.is_eligible and one.epoch.number == epoch
    return there and any(disk == one.id_in_epoch(epoch) for disk, _ in one.epoch.members)


def initial_acceptor(scenario: Scenario, k: int) -> Acceptor:
    """The acceptor of a place as the scenario begins."""
    disk = chr(ord("a") + k)
    seeds = tuple(address for _, address in scenario.members) if scenario.founding else ()
    founder = scenario.founding and str(k) in seeds
    made = started(
        load_acceptor(None, new_member_id=disk, address=str(k), seeds=seeds, bootstrap=founder, voting=True)
    )
    if not scenario.founding and (disk, str(k)) in scenario.members:
        made.epoch, made.installed = thaw_epoch(1, scenario.members), True
        if scenario.next_members and k < made.epoch.majority:
            made.slots[MEMBERSHIP_VERSION] = AcceptorSlot(
                MEMBERS_BALLOT, MEMBERS_BALLOT, encode_member_list(scenario.next_members)
            )
        if k in scenario.chosen_at:
            made.slots[1] = AcceptorSlot(CHOSEN_BALLOT, CHOSEN_BALLOT, X)
        if k in scenario.accepted_before:
            made.slots[1] = AcceptorSlot(FOUNDING_BALLOT, FOUNDING_BALLOT, X)
        if k in scenario.sealed_at:
            made.sealed_by = thaw_epoch(2, scenario.next_members)
    if k in scenario.installed_at:
        made.handle(InstallRequest(2, thaw_epoch(2, scenario.next_members), Acceptor("").export_state()))
        made.changed_slots, made.metadata_changed = set(), False
    return made


def started(made: Acceptor) -> Acceptor:
    """The acceptor after the start of its process, whose first write is on the disk."""
    Replica(made, 1, lambda: 0.5).start(0)
    return made
