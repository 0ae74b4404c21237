"""Nodes between steps: their pickled state, what identifies it, and a view of it for properties."""

from __future__ import annotations

import marshal
import pickle
from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.log_host import Role
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import Epoch, Term
from meadowworks.consensus.write_queue import PeerReply
from meadowworks.modelcheck.models.replica.disk import Disk
from meadowworks.modelcheck.models.replica.plain_values import to_plain
from meadowworks.modelcheck.models.replicated_log.messages import MARSHAL_VERSION, Records, records_of
from meadowworks.modelcheck.models.replicated_log.node import Node, ReconfigurationTicket

# Fields of the log replica that the key contains elsewhere, that hold times, or that only select effects
# which the model ignores.
IGNORED_FIELDS = {
    "_host",
    "_acceptor",
    "log",
    "_election_at_ns",
    "_last_leader_contact_ns",
    "_announced",
}


@dataclass(frozen=True, slots=True)
class LogView:
    """A log, in memory or on a disk, and the state of the acceptor that it belongs to."""

    member_id: str
    epoch: Epoch
    is_installed: bool
    is_sealed: bool
    log_epoch: int
    term: Term
    voted_for: str
    records: Records


@dataclass(frozen=True, slots=True)
class NodeView:
    """What steps and properties refer to."""

    role: Role
    may_vote: bool
    own_durable_index: int
    snapshot_index: int
    is_writing: bool
    incarnation: int
    pending_reconfigurations: frozenset[int]
    is_fetching: bool
    memory: LogView
    disk: LogView
    applied: Records

    @property
    def is_leader(self) -> bool:
        """Whether the node is a leader, as far as it knows."""
        return self.role is Role.LEADER


@dataclass(frozen=True, slots=True)
class FrozenNode:
    """A node between two steps."""

    pickled: bytes
    key: bytes
    view: NodeView

    def thaw(self) -> Node:
        """Return an equal node."""
        node: Node = pickle.loads(self.pickled)
        return node


def freeze_node(node: Node) -> FrozenNode:
    """Freeze a node whose sent messages and applied entries have been taken."""
    return FrozenNode(pickle.dumps(node, pickle.HIGHEST_PROTOCOL), key_of(node), view_of(node))


def key_of(node: Node) -> bytes:
    """Return what distinguishes the states of a node."""
    writes, disk = node.writes, node.disk
    role = {name: value for name, value in vars(node.log_replica).items() if name not in IGNORED_FIELDS}
    state = (
        node.incarnation,
        to_plain(node.acceptor),
        to_plain((disk.metadata, disk.slots, disk.log)),
        None if disk.write_in_flight is None else to_plain(disk.write_in_flight.update),
        to_plain(role),
        tuple(
            [(write_id - writes.last_write_id, to_plain(item)) for write_id, item in writes.awaiting_write]
        ),
        to_plain(node.applied),
        plain_fetch(node),
    )
    return marshal.dumps(state, MARSHAL_VERSION)


def plain_fetch(node: Node) -> tuple[Any, ...] | None:
    """Return the log transfer of a node as a plain value, without the numbers and times of its requests."""
    fetch, message = node.log_fetcher.fetch, node.fetch_in_flight
    if fetch is None:
        return None
    download = {name: value for name, value in vars(fetch.download).items() if name != "_own_log"}
    request = None if message is None else (message.address, to_plain(message.request))
    return to_plain(download), fetch.address, to_plain(fetch.install), fetch.failures, request


def view_of(node: Node) -> NodeView:
    """Return the view of a node."""
    return NodeView(
        node.log_replica.role,
        node.log_replica.may_vote(),
        node.log_replica.own_durable_index,
        node.log_state.snapshot.index,
        node.disk.write_in_flight is not None or node.acceptor.has_unwritten_changes(),
        node.incarnation,
        frozenset(
            item.ticket.number
            for _, item in node.writes.awaiting_write
            if isinstance(item, PeerReply) and isinstance(item.ticket, ReconfigurationTicket)
        ),
        node.fetch_in_flight is not None,
        log_view(node.acceptor),
        disk_view(node.disk),
        node.applied,
    )


def log_view(acceptor: Acceptor) -> LogView:
    """Return the view of an acceptor's log."""
    log = acceptor.log
    assert log is not None
    return LogView(
        acceptor.member_id,
        acceptor.epoch,
        acceptor.installed,
        acceptor.sealed_by is not None,
        log.epoch,
        log.term,
        log.voted_for,
        records_of(log),
    )


def disk_view(disk: Disk) -> LogView:
    """Return the view of the log on a disk."""
    return log_view(disk.acceptor(""))


@dataclass(frozen=True, slots=True)
class FrozenReconfiguration:
    """A reconfiguration between two steps; `targets` are the members that its current request goes to."""

    pickled: bytes
    key: bytes
    targets: tuple[tuple[str, str], ...]

    def thaw(self) -> Reconfiguration:
        """Return an equal reconfiguration."""
        reconfiguration: Reconfiguration = pickle.loads(self.pickled)
        return reconfiguration


def freeze_reconfiguration(reconfiguration: Reconfiguration) -> FrozenReconfiguration:
    """Freeze a reconfiguration."""
    targets = () if reconfiguration.outcome is not None else tuple(reconfiguration.unanswered_members())
    return FrozenReconfiguration(
        pickle.dumps(reconfiguration, pickle.HIGHEST_PROTOCOL),
        marshal.dumps(to_plain(vars(reconfiguration)), MARSHAL_VERSION),
        targets,
    )
