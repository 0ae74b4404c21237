"""A cluster of replicas with a log, in simulated time: disks with a delay, and links that can be cut."""

from __future__ import annotations

import heapq
import itertools
import random
import sqlite3
from collections.abc import Callable
from typing import Any

from meadowworks.consensus import codec
from meadowworks.consensus.effects import (
    ApplyEntries,
    CompleteBarrier,
    Persist,
    RestoreSnapshot,
    SendReply,
    SendRequest,
)
from meadowworks.consensus.messages import POSITION_REQUEST_TYPES, Reply, Request
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.replicated_log import EntryPosition, ReplicatedLog
from meadowworks.consensus.timing import MILLISECOND_NS, SECOND_NS
from meadowworks.consensus.values import Epoch
from meadowworks.gossip import messages as gossip_messages
from meadowworks.storage.sqlite_store import SqliteStore

WRITE_NS = 5 * MILLISECOND_NS
MAX_DELAY_NS = 3 * MILLISECOND_NS
QUERY_GAP_NS = 200 * MILLISECOND_NS  # of the pulls between nodes, which tell replicas of each other


class MemoryStore(SqliteStore):
    """A store without a file."""

    def __init__(self) -> None:
        self.configure(sqlite3.connect(":memory:", isolation_level=None))


class Node:
    """One replica, its disk, and the state machine: the payloads in the order of their indices."""

    def __init__(self, cluster: LogCluster, number: int, bootstrap: bool) -> None:
        self.cluster, self.address, self.disk = cluster, f"10.0.0.{number}:1", MemoryStore()
        self.bootstrap, self.up, self.frozen = bootstrap, False, False
        self.life = self.disks_drawn = 0
        self.applied: dict[int, bytes] = {}
        self.barriers: dict[int, int | None] = {}
        self.deferred: list[Callable[[], None]] = []
        self.stalled_disk = False
        self.is_old_release = False  # reads no messages with positions

    def start(self) -> None:
        self.life += 1
        self.disks_drawn += 1
        stored = self.disk.load()
        acceptor = load_acceptor(
            stored.metadata,
            new_member_id=f"{self.address}#{self.disks_drawn}",
            address=self.address,
            seeds=self.cluster.seeds,
            bootstrap=self.bootstrap and stored.metadata is None,
            voting=True,
            committed=stored.committed,
            history=stored.history,
            slots=stored.slots,
            log=ReplicatedLog() if stored.log is None else ReplicatedLog.from_stored(stored.log),
        )
        self.applied, self.up, self.frozen = {}, True, False
        self.replica = Replica(acceptor, self.cluster.tolerated, self.cluster.random.random)
        self.replica.start(self.cluster.now)
        self.run_effects()
        self.cluster.call_later(0, self.guarded(self.tick))
        self.cluster.call_later(0, self.guarded(self.query_others))

    def kill(self) -> None:
        self.up = False

    def wipe(self) -> None:
        self.up, self.bootstrap, self.disk = False, False, MemoryStore()

    def thaw(self) -> None:
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            action()

    def guarded(self, action: Callable[[], None]) -> Callable[[], None]:
        """Run an action only in this life of the process; a frozen process runs it later."""
        life = self.life

        def run() -> None:
            if not self.up or self.life != life:
                return
            if self.frozen:
                self.deferred.append(run)
                return
            action()

        return run

    def tick(self) -> None:
        self.replica.tick(self.cluster.now)
        self.run_effects()
        wait_ns = max(MILLISECOND_NS, self.replica.next_tick_ns() - self.cluster.now)
        self.cluster.call_later(min(wait_ns, 10 * MILLISECOND_NS), self.guarded(self.tick))

    def query_others(self) -> None:
        """Exchange the state that pulls carry."""
        sent_ns = self.cluster.now
        for other in self.cluster.nodes:
            if other is not self and other.up and not other.frozen and self.cluster.connected(self, other):
                acceptor = other.replica.acceptor
                self.replica.on_epoch_announced(sent_ns, acceptor.epoch)
                self.replica.on_query_reply(self.cluster.now, sent_ns, acceptor.query_reply())
        self.run_effects()
        self.cluster.call_later(QUERY_GAP_NS, self.guarded(self.query_others))

    def run_effects(self) -> None:
        while effects := self.replica.take_effects():
            for effect in effects:
                self.run_effect(effect)

    def run_effect(self, effect: Any) -> None:
        match effect:
            case Persist():
                self.begin_write(effect)
            case SendRequest():
                self.send(effect)
            case SendReply((reply_to, request_id), member_id, reply):
                reply_to(request_id, member_id, reply)
            case ApplyEntries(entries):
                for entry in entries:
                    self.applied[entry.index] = entry.payload
                    self.cluster.check_applied(self, entry.index, entry.payload)
            case RestoreSnapshot(_, content):
                self.applied = decode_state(content)
            case CompleteBarrier(waiter_id, index):
                self.barriers[waiter_id] = index

    def begin_write(self, effect: Persist) -> None:
        if self.stalled_disk:
            self.cluster.call_later(WRITE_NS, self.guarded(lambda: self.begin_write(effect)))
            return

        def end() -> None:
            self.disk.save(effect.update)
            self.replica.on_persisted(self.cluster.now, effect.write_id)
            self.run_effects()

        self.cluster.call_later(WRITE_NS, self.guarded(end))

    def send(self, effect: SendRequest) -> None:
        target = self.cluster.by_address[effect.address]

        def on_reply(request_id: int, member_id: str, reply: Any) -> None:
            def arrive() -> None:
                self.replica.on_reply(self.cluster.now, request_id, member_id, reply)
                self.run_effects()

            self.cluster.transmit(target, self, self.guarded(arrive), reply)

        def arrive() -> None:
            if target.is_old_release and isinstance(effect.request, POSITION_REQUEST_TYPES):
                self.cluster.transmit(target, self, self.guarded(refuse))
            elif target.up:
                target.guarded(lambda: target.receive((on_reply, effect.request_id), effect.request))()
            else:
                fail()

        def refuse() -> None:
            self.replica.on_request_unreadable(self.cluster.now, effect.request_id)
            self.run_effects()

        def fail() -> None:
            self.replica.on_request_failed(self.cluster.now, effect.request_id)
            self.run_effects()

        self.cluster.transmit(self, target, arrive, effect.request)
        self.cluster.call_later(SECOND_NS, self.guarded(fail))

    def receive(self, ticket: Any, request: Any) -> None:
        self.replica.on_request(self.cluster.now, ticket, request)
        self.run_effects()

    # -- what tests do

    def propose(self, payload: bytes) -> EntryPosition | None:
        position = self.replica.propose_entry(self.cluster.now, payload)
        self.run_effects()
        return position

    def compact(self) -> None:
        index = max(self.applied)
        self.replica.compact_log(self.cluster.now, index, encode_state(self.applied))
        self.run_effects()


def encode_state(applied: dict[int, bytes]) -> bytes:
    return repr(applied).encode()


def decode_state(content: bytes) -> dict[int, bytes]:
    state: dict[int, bytes] = eval(content)  # written by `encode_state` in the same test
    return state


class LogCluster:
    """`size` replicas that bootstrap the first epoch."""

    def __init__(self, size: int = 5, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = SECOND_NS
        self.tolerated = (size - 1) // 2
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.cuts: set[tuple[str, str]] = set()
        self.seeds = tuple(f"10.0.0.{number}:1" for number in range(1, size + 1))
        self.nodes = [Node(self, number, True) for number in range(1, size + 1)]
        self.by_address = {node.address: node for node in self.nodes}
        self.committed: dict[int, bytes] = {}
        self.bytes_per_s = 0  # at which messages are encoded and sent; 0: in no time
        self.largest_message_bytes = 0  # counted if messages take time
        for node in self.nodes:
            node.start()

    def check_applied(self, node: Node, index: int, payload: bytes) -> None:
        """Every node applies the same payload at an index."""
        known = self.committed.setdefault(index, payload)
        assert known == payload, f"{node.address} applies {payload!r} at {index}, others {known!r}"

    def call_later(self, delay_ns: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay_ns, next(self.sequence), action))

    def connected(self, source: Node, target: Node) -> bool:
        return (source.address, target.address) not in self.cuts

    def transmit(
        self, source: Node, target: Node, action: Callable[[], None], message: Request | Reply | None = None
    ) -> None:
        if self.connected(source, target):
            self.call_later(self.random.randrange(MAX_DELAY_NS) + self.encoding_ns(message), action)

    def encoding_ns(self, message: Request | Reply | None) -> int:
        if not self.bytes_per_s or message is None:
            return 0
        size_bytes = len(gossip_messages.encode(codec.encode(message)))
        self.largest_message_bytes = max(self.largest_message_bytes, size_bytes)
        return size_bytes * SECOND_NS // self.bytes_per_s

    def isolate(self, node: Node) -> None:
        for other in self.nodes:
            if other is not node:
                self.cuts |= {(node.address, other.address), (other.address, node.address)}

    def run(self, duration_ns: int) -> None:
        end_ns = self.now + duration_ns
        while self.queue and self.queue[0][0] <= end_ns:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end_ns

    def run_until(self, condition: Callable[[], bool], timeout_s: float = 10.0) -> float:
        """Run until a condition holds and return the seconds that this took."""
        start_ns = self.now
        while not condition():
            assert self.now - start_ns < timeout_s * SECOND_NS, "the condition does not come true"
            self.run(MILLISECOND_NS)
        return (self.now - start_ns) / SECOND_NS

    def leader(self) -> Node | None:
        """Return the leader with the highest term among those that run."""
        leaders = [n for n in self.nodes if n.up and not n.frozen and n.replica.is_log_leader()]
        return max(leaders, key=lambda n: n.replica.log_replica.log.term, default=None)  # type: ignore[union-attr]

    def wait_for_leader(self, excluded: Node | None = None) -> Node:
        self.run_until(lambda: self.leader() not in (None, excluded))
        leader = self.leader()
        assert leader is not None
        return leader

    def commit(self, payload: bytes, timeout_s: float = 10.0) -> float:
        """Propose a payload, again after a change of leader, until it is applied at the leader."""

        def is_applied() -> bool:
            leader = self.leader()
            if leader is None:
                return False
            log = leader.replica.acceptor.log
            assert log is not None
            if payload in leader.applied.values():
                return True
            if not any(entry.payload == payload for entry in log.entries):
                leader.propose(payload)
            return False

        return self.run_until(is_applied, timeout_s)

    def epoch(self) -> Epoch:
        epochs: list[Epoch] = [node.replica.acceptor.epoch for node in self.nodes if node.up]
        return max(epochs, key=lambda epoch: epoch.number)
