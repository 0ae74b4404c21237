"""A replicated log in memory, and nodes on it whose calls to each other the test can disturb."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowworks.consensus.effects import CommittedEntry, LeaderChanged
from meadowworks.consensus.replicated_log import EntryPosition
from meadowworks.consensus.values import Term
from meadowworks.controlplane.coordination_service import CoordinationService
from meadowworks.controlplane.leader_client import LeaderClient
from meadowworks.controlplane.leader_duties import LeaderDuties
from meadowworks.controlplane.replicated_state import ReplicatedState
from meadowworks.controlplane.watch_service import WatchService
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.runtime.errors import ConnectError, RequestError

HISTORY_S = 20
PeerHandler = Callable[[bytes], Awaitable[bytes]]


class FakeLog:
    """The log of all nodes; entries are committed at once, or by `commit` while `holds_back` is set."""

    def __init__(self) -> None:
        self.term = Term(1, 1)
        self.leader: FakeReplica | None = None
        self.entries: list[CommittedEntry] = []
        self.nodes: dict[str, Node] = {}
        self.holds_back = self.is_full = False

    def elect(self, address: str) -> None:
        """Make a node the leader of a new term, or none for an empty address."""
        self.term = self.term._replace(number=self.term.number + 1)
        self.leader = self.nodes[address].replica if address else None
        for node in self.nodes.values():
            node.replicated.on_leader_changed(LeaderChanged(self.term, address, node.address == address))

    def append(self, payload: bytes) -> EntryPosition:
        self.entries.append(CommittedEntry(len(self.entries) + 1, self.term, payload))
        return EntryPosition(self.term, len(self.entries))

    def deliver(self) -> None:
        """Apply all entries on the nodes that are not paused, unless the log holds back."""
        for node in self.nodes.values():
            if not self.holds_back and not node.is_paused:
                node.apply_all()

    def commit(self) -> None:
        self.holds_back = False
        self.deliver()


class FakeReplica:
    """One node's access to the log; implements `LogReplica`."""

    def __init__(self, log: FakeLog, address: str) -> None:
        self.log, self.address = log, address
        self.barriers: list[int] = []
        self.compacted: list[tuple[int, bytes]] = []
        self.entry_count = self.size_bytes = 0

    def propose_entry(self, now_ns: int, payload: bytes) -> EntryPosition | None:
        return self.log.append(payload) if self.is_log_leader() and not self.log.is_full else None

    def begin_barrier(self, now_ns: int, waiter_id: int) -> None:
        self.barriers.append(waiter_id)

    def compact_log(self, now_ns: int, index: int, content: bytes) -> None:
        self.compacted.append((index, content))

    def log_entry_count(self) -> int:
        return self.entry_count

    def log_bytes(self) -> int:
        return self.size_bytes

    def is_log_leader(self) -> bool:
        return self.log.leader is self

    def log_leader_address(self) -> str:
        return self.log.leader.address if self.log.leader else ""


class Node:
    """The coordination services of one node."""

    def __init__(self, log: FakeLog, peers: Peers, address: str) -> None:
        self.log, self.address, self.is_paused = log, address, False
        self.replica = FakeReplica(log, address)
        self.replicated = ReplicatedState(self.replica, self.run_effects)
        self.members = list[str]()
        self.retention = HistoryRetention(HISTORY_S * 1_000_000_000)
        self.service = CoordinationService(
            self.replicated, LeaderClient(peers), address, lambda: self.members, self.retention
        )
        self.watches = WatchService(self.replicated, self.service, HISTORY_S)
        self.duties = LeaderDuties(self.replicated, self.retention)
        log.nodes[address] = self
        peers.handlers[address] = self.service.answer_forwarded

    def run_effects(self) -> None:
        self.log.deliver()
        if not self.log.holds_back:
            barriers, self.replica.barriers = self.replica.barriers, []
            for waiter_id in barriers:
                index = self.replicated.applied_index if self.replica.is_log_leader() else None
                self.replicated.on_barrier(waiter_id, index)

    def apply_all(self) -> None:
        self.replicated.on_entries(tuple(self.log.entries[self.replicated.applied_index :]))


class Peers:
    """Implements `PeerCallerPool`; a test replaces handlers to disturb the calls to an address."""

    def __init__(self) -> None:
        self.handlers: dict[str, PeerHandler] = {}
        self.calls: list[str] = []

    def client(self, host: str, port: int) -> PeerCaller:
        return PeerCaller(self, f"{host}:{port}")


class PeerCaller:
    """Calls the handler of one address."""

    def __init__(self, peers: Peers, address: str) -> None:
        self.peers, self.address = peers, address

    async def call(self, path: bytes, body: bytes, timeout_s: float) -> bytes:
        assert path == b"/coordination"
        self.peers.calls.append(self.address)
        return await self.peers.handlers[self.address](body)


async def refuse(_body: bytes) -> bytes:
    raise ConnectError("refused")


def lose_reply_of(handler: PeerHandler) -> PeerHandler:
    """Return a handler that executes each call and loses the reply."""

    async def lose_reply(body: bytes) -> bytes:
        await handler(body)
        raise RequestError("no reply", may_have_run=True)

    return lose_reply


def cluster(*addresses: str, leader: str) -> tuple[FakeLog, Peers, list[Node]]:
    """Return nodes on one log; the addresses have the form `host:port`."""
    log, peers = FakeLog(), Peers()
    nodes = [Node(log, peers, address) for address in addresses]
    for node in nodes:
        node.members = list(addresses)
    log.elect(leader)
    return log, peers, nodes
