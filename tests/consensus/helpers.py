"""What the tests of the agreement share."""

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


def member(disk: str, epoch: Epoch = ABC) -> Acceptor:
    """The acceptor of a member, at its address."""
    address = dict((A, B, C, D, E))[disk]
    return Acceptor(disk, address, epoch=epoch, installed=epoch.has_member(disk), incarnation=1)


def run_call(call: Any, acceptors: list[Acceptor]) -> Any:
    """Asks those that are in reach, round after round, until there is an outcome or nothing moves."""
    for _ in range(4):
        request = call.request()
        targets = {disk for disk, _ in call.unanswered_members()}
        for one in acceptors:
            if one.id_in_epoch(request.epoch) in targets and call.on_reply(
                one.id_in_epoch(request.epoch), one.handle(request)
            ):
                break
        if call.outcome is not None:
            return call.outcome
    return None


def proposer(acceptor: Acceptor, value: bytes | None, version: int = 6) -> Proposer:
    """A proposer of the acceptor's replica."""
    job = Operation(OperationKind.PROPOSE, version, value, 0, [])
    return QuorumCallFactory(acceptor, 1).new_proposer(acceptor.newest_epoch(), version, job)


def started_replica(acceptor: Acceptor) -> Replica:
    """A replica whose first write is on the disk."""
    replica = Replica(acceptor, 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take_effects()
    assert isinstance(write, Persist)
    assert write.update.metadata is not None
    assert write.update.metadata["life"] == acceptor.incarnation
    replica.on_persisted(0, write.write_id)
    return replica
