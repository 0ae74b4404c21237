"""Replacements for functions of the acceptor, the quorum calls and the store, each without one guard."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Mapping
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.membership import next_members
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    Reply,
    Request,
    SealedReply,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.outcomes import EpochChanged, QuorumReadResult
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    AcceptorSlot,
    AcceptorState,
    CommittedValue,
    Epoch,
)
from meadowworks.simulation.control.simulated_disk import SimulatedStore

# The original functions, which some of the replacements call.
_handle = Acceptor.handle
_install = Acceptor.install
_on_epoch_announced = Acceptor.on_epoch_announced
_query_reply = Acceptor.query_reply
_on_proposer_reply = Proposer.on_reply
_on_reconfiguration_reply = Reconfiguration.on_reply
_on_read_reply = QuorumRead.on_reply
_configure = SimulatedStore.configure
_load_acceptor = load_acceptor
_next_members = next_members


def handle_without(*checks: str) -> Callable[[Acceptor, Request], Reply]:
    """Return `Acceptor.handle` without some of its checks: epoch, seal, past, promise."""

    def handle(self: Acceptor, request: Request) -> Reply:
        if not isinstance(request, PrepareRequest | AcceptRequest):
            return _handle(self, request)
        return _refusal(self, request, checks) or _accept(self, request)

    return handle


def _refusal(
    self: Acceptor, request: PrepareRequest | AcceptRequest, left_out: tuple[str, ...]
) -> Reply | None:
    version = request.version
    if "epoch" not in left_out:
        if request.epoch < self.newest_epoch().number:
            return StaleEpochReply(self.newest_epoch())
        if request.epoch != self.epoch.number or request.ballot.epoch != request.epoch:
            return NotAMemberReply(self.epoch.number)
    if not self.installed:
        return NotAMemberReply(self.epoch.number)
    if self.sealed_by is not None and "seal" not in left_out:
        return SealedReply(self.sealed_by)
    if MEMBERSHIP_VERSION < version <= self.committed.version and "past" not in left_out:
        return VersionDecidedReply(self.committed, self.digest_history())
    if version != MEMBERSHIP_VERSION and request.epoch == 0:
        return NotAMemberReply(0)
    promised = self.slots.get(version, AcceptorSlot()).promised
    if request.ballot < promised and "promise" not in left_out:
        return BallotRejectedReply(promised)
    return None


def _accept(self: Acceptor, request: PrepareRequest | AcceptRequest) -> Reply:
    slot = self.slots.setdefault(request.version, AcceptorSlot())
    slot.promised = max(slot.promised, request.ballot)
    self.changed_slots.add(request.version)
    if isinstance(request, PrepareRequest):
        return PromiseReply(request.ballot, slot.accepted, slot.value)
    slot.accepted, slot.value = request.ballot, request.value
    return AcceptedReply(request.ballot)


def ignore_accepted_value(self: Proposer, member_id: str, reply: Reply) -> bool:
    """Propose the own value instead of an accepted one."""
    if isinstance(reply, PromiseReply) and self.value is not None:
        reply = PromiseReply(reply.ballot, NO_BALLOT, b"")
    return _on_proposer_reply(self, member_id, reply)


def configure_without_sync(self: SimulatedStore, connection: sqlite3.Connection) -> None:
    """Configure the store to commit without a sync."""
    _configure(self, connection)
    self.connection.execute("PRAGMA synchronous=OFF")


def reply_without_seal(self: Acceptor, epoch: int, next_epoch: Epoch) -> Reply | None:  # noqa: ARG001
    """Reply that the epoch is sealed without sealing it."""
    if self.epoch.number != epoch or not self.installed:
        return NotAMemberReply(self.epoch.number)
    return None


def install_empty_state(self: Acceptor, next_epoch: Epoch, _state: AcceptorState) -> Reply:
    """Install an epoch without the transferred state."""
    return _install(self, next_epoch, AcceptorState(CommittedValue(), (), ()))


def accept_one_install(self: Reconfiguration, member_id: str, reply: Reply) -> bool:
    """Complete a membership change at the first reply of a new member."""
    is_first = self.installing and isinstance(reply, InstalledReply) and self.outcome is None
    if is_first and self.next_epoch.has_member(member_id):
        self.outcome = EpochChanged(self.next_epoch, False)
        return True
    return _on_reconfiguration_reply(self, member_id, reply)


def load_acceptor_named_by_address(metadata: Mapping[str, Any] | None, **others: Any) -> Acceptor:
    """Derive the member id from the address, so that a machine with an empty disk keeps its id."""
    member_id = others["address"].replace(".", "")
    return _load_acceptor(metadata, **{**others, "new_member_id": member_id})


def install_when_notified(self: Acceptor, epoch: Epoch) -> bool:
    """Install an epoch when it is announced, without the state transfer."""
    is_news = _on_epoch_announced(self, epoch)
    if is_news and epoch.has_member(self.member_id) and not self.installed:
        self.epoch, self.installed, self.metadata_changed = epoch, True, True
    return is_news


def next_members_without_minimum(
    epoch: Epoch, _tolerated_failures: int, silent: Any, candidates: Any, leaving: str = ""
) -> tuple[tuple[str, str], ...] | None:
    """Remove silent members without regard to the minimum membership size."""
    return _next_members(epoch, 0, silent, candidates, leaving)


def read_from_one(self: QuorumRead, member_id: str, reply: Reply) -> bool:
    """Complete a read at the first reply."""
    is_first = self.outcome is None and isinstance(reply, QueryReply) and reply.may_vote
    if is_first and isinstance(reply, QueryReply) and self.epoch.has_member(member_id):
        self.outcome = QuorumReadResult(reply.highest_version, reply.committed_version, reply.address)
        return True
    return _on_read_reply(self, member_id, reply)


def hide_undecided(self: Acceptor) -> QueryReply:
    """Reply without the accepted versions that are undecided."""
    reply = _query_reply(self)
    return QueryReply(
        reply.epoch,
        reply.may_vote,
        reply.committed_version,
        reply.committed_version,
        reply.member_id,
        reply.address,
        reply.is_eligible,
    )


def vote_when_installed(self: Acceptor) -> bool:
    """Vote also in a sealed or outdated epoch."""
    return self.installed
