"""Shared helpers of the consensus tests."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.effects import Persist
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import (
    Epoch,
)

A, B, C, D, E = (("a", "h:0"), ("b", "h:1"), ("c", "h:2"), ("d", "h:3"), ("e", "h:4"))


ABC = Epoch(1, (A, B, C))


def member(member_id: str, epoch: Epoch = ABC) -> Acceptor:
    """Return the acceptor of a replica, installed if the replica is a member of `epoch`."""
    address = dict((A, B, C, D, E))[member_id]
    return Acceptor(member_id, address, epoch=epoch, installed=epoch.has_member(member_id), incarnation=1)


def run_call(call: Any, reachable: list[Acceptor]) -> Any:
    """Return the outcome of a quorum call that only reaches some acceptors; None if it does not complete."""
    for _ in range(4):
        request = call.request()
        targets = {member_id for member_id, _ in call.unanswered_members()}
        for acceptor in reachable:
            if acceptor.id_in_epoch(request.epoch) in targets and call.on_reply(
                acceptor.id_in_epoch(request.epoch), acceptor.handle(request)
            ):
                break
        if call.outcome is not None:
            return call.outcome
    return None


def new_proposer(acceptor: Acceptor, value: bytes | None, version: int = 6) -> Proposer:
    """Return a proposer of the acceptor's replica."""
    operation = Operation(OperationKind.PROPOSE, version, value, 0, [])
    return QuorumCallFactory(acceptor, 1).new_proposer(acceptor.newest_epoch(), version, operation)


def started_replica(acceptor: Acceptor) -> Replica:
    """Return a replica whose first write has completed."""
    replica = Replica(acceptor, 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take_effects()
    assert isinstance(write, Persist)
    assert write.update.metadata is not None
    assert write.update.metadata["life"] == acceptor.incarnation
    replica.on_persisted(0, write.write_id)
    return replica
