"""`meadowworks lab control`: days of the product's own control machines in simulated time, with every kind of
loss that the settings tolerate, and what must never be seen in them.

Each signalbox is the product's `Replica` over its `Disk` on sqlite; what is played is the disk below sqlite
(`disks`), the network and time (`network`), the operators, the junctions and the faults. A seed gives a day.
"""

from __future__ import annotations

import random
import sqlite3
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, fields
from functools import partial
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    Committed,
    CompleteOperation,
    Conflict,
    LogEntry,
    Persist,
    SendReply,
    SendRequest,
    ValueCommitted,
)
from meadowworks.consensus.messages import AcceptRequest, QueryReply
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import LEAVE_WAITER_ID
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import LEASE_DURATION_NS
from meadowworks.consensus.values import NO_BALLOT, Ballot, CommittedValue, Epoch, digest
from meadowworks.simulation.disks import SimulatedDisk, SimulatedStore
from meadowworks.simulation.network import MS, SECOND, EventScheduler, Network

PULL_HOLD_NS, CALL_TIMEOUT_NS = (
    SECOND // 2,
    SECOND,
)  # that a pull without news is held; that any reply is waited for
CATCH_UP_NS = 4 * SECOND  # after which a machine that is back counts as there
ACKNOWLEDGE_WITHIN_NS = 4 * SECOND
OPERATION_TIMEOUT_NS = 900 * MS  # that a signalbox takes for an order or a read
OPERATOR_TIMEOUT_NS = 12 * SECOND  # that an operator tries for
NEVER_NS = 1 << 62
CALM_BEFORE_TIMING_NS = 3 * SECOND  # without a fault, after which an order's time counts


@dataclass
class ScenarioCounts:
    """What the days of a run came to. The fault columns are to be 0."""

    days: int = 0
    orders: int = 0
    acked: int = 0
    confirmed_twice: int = 0
    old_served: int = 0
    served_without_majority: int = 0
    refused_though_taken: int = 0
    acked_then_lost: int = 0
    no_majority_left: int = 0
    never_level: int = 0
    led_with_old: int = 0
    drains_forgotten: int = 0
    wrong_caller: int = 0
    ran_twice: int = 0
    slowest_ack_ms: int = 0
    most_slots: int = 0  # undecided versions that one acceptor held
    most_history: int = 0  # digests of past versions
    disk_kb: int = 0  # of one machine, the most

    def merge(self, other: ScenarioCounts) -> None:
        for field in fields(self):
            mine, theirs = getattr(self, field.name), getattr(other, field.name)
            joined = max(mine, theirs) if field.name in MAXIMA else mine + theirs
            setattr(self, field.name, joined)

    def violations(self) -> dict[str, int]:
        return {n: getattr(self, n) for n in VIOLATIONS if getattr(self, n)}


MAXIMA = ("slowest_ack_ms", "most_slots", "most_history", "disk_kb")
VIOLATIONS = (
    "confirmed_twice", "old_served", "served_without_majority", "refused_though_taken", "acked_then_lost",
    "no_majority_left", "never_level", "led_with_old", "drains_forgotten", "wrong_caller", "ran_twice",
)  # fmt: skip


class InvariantChecker:
    """What really happened, from outside of all machines."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.counts = scenario, ScenarioCounts(days=1)
        self.messages: list[str] = []
        self.chosen: dict[int, set[bytes]] = defaultdict(set)
        self.acknowledged: list[tuple[int, int]] = []  # time, highest version acknowledged until then
        self.accepted_by: dict[tuple[int, Any], set[str]] = defaultdict(set)
        self.installed_by: dict[int, set[str]] = defaultdict(set)
        self.epochs: dict[int, Epoch] = {}
        self.epoch_of: dict[str, int] = {}  # of a disk
        self.epoch_in_force = -1  # the newest epoch that a majority of its members has installed
        self.members_of_epoch: dict[int, tuple[tuple[str, str], ...]] = {}

    def report_violation(self, column: str, detail: str) -> None:
        setattr(self.counts, column, getattr(self.counts, column) + 1)
        if len(self.messages) < 20:
            self.messages.append(f"{self.scenario.scheduler.now / SECOND:.3f} {column}: {detail}")
        self.scenario.log("!", f"{column}: {detail}")

    def on_chosen(self, version: int, content: bytes, source: str) -> None:
        if version > 0 and content not in self.chosen[version]:
            self.chosen[version].add(content)
            if len(self.chosen[version]) == 2:
                self.report_violation("confirmed_twice", f"{version} is {self.chosen[version]} ({source})")

    def on_persisted(self, node: ControlPlaneNode, effect: Persist) -> None:
        """What is on a disk now."""
        rows, name = effect.update, node.replica.acceptor.member_id
        if rows.metadata is not None:
            self.epoch_of[name] = rows.metadata["epoch"][0]
        for version, slot in rows.slots.items():
            if slot is None or not version or slot.accepted.epoch < 1:
                continue
            if slot.accepted.epoch != self.epoch_of[name]:
                continue  # a copy that came with a change of members
            epoch = self.epochs.get(slot.accepted.epoch)
            voters = self.accepted_by[version, slot.accepted]
            if name in voters:
                continue
            voters.add(name)
            if epoch is not None and len([v for v in voters if epoch.has_member(v)]) == epoch.majority:
                self.on_chosen(version, slot.value, node.address)
        if rows.metadata is not None and rows.metadata["installed"]:
            number, members = rows.metadata["epoch"]
            epoch = Epoch(number, tuple((d, a) for d, a in members))
            if self.members_of_epoch.setdefault(number, epoch.members) != epoch.members:
                self.report_violation("confirmed_twice", f"epoch {number} has two sets of members")
            self.epochs[number] = epoch
            if epoch.has_member(name) or number == 0:
                self.installed_by[number].add(name)
            if len(self.installed_by[number]) >= epoch.majority and number > self.epoch_in_force:
                self.epoch_in_force = number
                self.scenario.log("*", f"epoch {number} in force: {[a for _, a in epoch.members]}")

    def newest_acknowledged(self, before: int) -> int:
        """The highest version that was acknowledged at or before a time."""
        for when, version in reversed(self.acknowledged):
            if when <= before:
                return version
        return 0

    def on_acknowledged(self, version: int, content: bytes, node: ControlPlaneNode) -> None:
        held = node.replica.acceptor.committed
        if held.version == version:
            self.on_chosen(version, content, f"acknowledged by {node.address}")
        elif held.version < version:
            self.report_violation("acked_then_lost", f"{version} acknowledged at {held.version}")
        if version > self.newest_acknowledged(self.scenario.scheduler.now):
            self.acknowledged.append((self.scenario.scheduler.now, version))
            for other in self.scenario.nodes.values():
                if other.up and self.scenario.random.random() < 0.2:
                    soon = self.scenario.random.randrange(4 * MS)
                    self.scenario.scheduler.call_later(
                        soon, partial(other.deliver, other.incarnation, other.read)
                    )

    def on_conflict(self, version: int, content: bytes, node: ControlPlaneNode) -> None:
        others = {digest(c) for c in self.chosen[version]} | {
            d
            for b in self.scenario.nodes.values()
            if b.replica and (d := b.replica.acceptor.history.get(version))
        }
        if digest(content) in others or not others:
            self.report_violation(
                "refused_though_taken", f"{version} by {node.address}; chosen: {len(others)}"
            )

    def count_contacts(self, node: ControlPlaneNode, since: int) -> tuple[int, int]:
        """How many of its epoch's members a signalbox may have heard of something that left later than
        `since`, and how many it needs."""
        acceptor = node.replica.acceptor
        epoch, network = acceptor.newest_epoch(), self.scenario.network
        heard = sum(
            d in (acceptor.member_id, acceptor.founder_id)
            or network.last_contact.get((a, node.address), -1) >= since
            for d, a in epoch.members
        )
        return heard, epoch.majority

    def check_lease(self, node: ControlPlaneNode) -> None:
        """What a junction or a caller would be told now."""
        if not node.replica.holds_lease(node.local_time()):
            return
        now = self.scenario.scheduler.now
        held = node.replica.acceptor.committed
        if held.version < self.newest_acknowledged(now - LEASE_DURATION_NS) and not node.stale_reported:
            node.stale_reported = True  # once a life
            newest = self.newest_acknowledged(now - LEASE_DURATION_NS)
            self.report_violation("old_served", f"{node.address} is sure of {held.version} < {newest}")
        heard, need = self.count_contacts(node, now - LEASE_DURATION_NS - 20 * MS)
        if heard < need and not node.minority_reported:
            node.minority_reported = True
            self.report_violation(
                "served_without_majority", f"{node.address} is sure, heard {heard} of {need}"
            )

    def on_read(self, node: ControlPlaneNode, started_ns: int, held: CommittedValue) -> None:
        if held.version < self.newest_acknowledged(started_ns):
            self.report_violation(
                "old_served", f"{node.address} reads {held.version} < {self.newest_acknowledged(started_ns)}"
            )
        if held.version:
            self.on_chosen(held.version, held.value, f"read at {node.address}")
        heard, need = self.count_contacts(node, started_ns)
        if heard < need:
            self.report_violation("served_without_majority", f"{node.address} reads, heard {heard} of {need}")


def accepted_ballot(acceptor: Acceptor, request: Any) -> Ballot:
    """Under which ballot an acceptor has accepted what a request asks for."""
    slot = acceptor.slots.get(request.version) if isinstance(request, AcceptRequest) else None
    return slot.accepted if slot else NO_BALLOT


class ControlPlaneNode:
    """A machine with a signalbox: what its shell does around `Replica`."""

    def __init__(self, scenario: Scenario, address: str, voting: bool = True) -> None:
        self.scenario, self.address, self.voting = scenario, address, voting
        self.disk = SimulatedDisk(scenario.random)
        self.up: bool = False
        self.frozen = self.leaving = self.removed = self.handed_over = False
        self.voter_index = -1
        self.slow_disk = False  # its disk
        self.checks_without_lease = 0  # looks at which it had no lease, in a row
        self.incarnation: int = 0
        self.operation_count = 0
        self.clock_offset_ns = scenario.random.randrange(1, 10**6) * SECOND
        self.replica: Any = None
        self.store: Any = None
        self.deferred: list[Callable[[], None]] = []
        self.pending_write: Persist | None = None
        self.timer_ns = 0
        self.callbacks: dict[int, Callable[[Any], None]] = {}
        self.held_pulls: list[tuple[int, int, Callable[[], None]]] = []
        self.stale_reported: bool = False
        self.minority_reported: bool = False

    def local_time(self) -> int:
        return self.scenario.scheduler.now + self.clock_offset_ns

    def start(self, bootstrap: bool = False) -> None:
        if self.up or self.removed:
            return
        self.up, self.frozen, self.leaving = True, False, False
        self.incarnation += 1
        self.stale_reported = self.minority_reported = False
        self.store = SimulatedStore(self.disk)
        stored = self.store.load()
        acceptor = load_acceptor(
            stored.metadata, new_member_id=f"{self.scenario.random.getrandbits(64):016x}",
            address=self.address,
            seeds=self.scenario.seed_addresses, bootstrap=bootstrap, voting=self.voting,
            committed=stored.committed, history=stored.history, slots=stored.slots,
        )  # fmt: skip
        self.replica = Replica(acceptor, self.scenario.tolerated_losses, self.scenario.random.random)
        epoch, held = acceptor.epoch.number, acceptor.committed.version
        self.log(f"starts: disk {acceptor.member_id[:4]} epoch {epoch} at {held}")
        self.replica.start(self.local_time())
        self.run_effects()
        self.pull_from_all()

    def pull_from_all(self) -> None:
        """Begins to pull from whoever it does not pull from yet."""
        life = self.incarnation
        for address in list(self.scenario.nodes):
            if address != self.address:
                self.scenario.scheduler.call_later(
                    self.scenario.random.randrange(20 * MS), partial(self.pull, life, address)
                )

    def stop(self, power_lost: bool) -> None:
        """Ends the process at once; with `power`, the machine."""
        if not self.up:
            return
        if self.pending_write is not None:
            self.disk.operations_left = self.scenario.random.randrange(14)
            try:
                self.store.save(self.pending_write.update)
            except sqlite3.Error:
                pass
            else:
                if not power_lost:  # a killed process may have ended its write
                    self.scenario.checker.on_persisted(self, self.pending_write)
        self.up, self.pending_write, self.timer_ns = False, None, 0
        if self.leaving:
            self.removed = True  # nobody starts it again
            if not self.handed_over:
                self.scenario.ended_before_hand_over(self)
        self.deferred, self.callbacks, self.held_pulls = [], {}, []
        self.incarnation += 1
        if power_lost:
            self.disk.lose_power()
        else:
            self.disk.kill_process()
        self.store.abandon()
        self.log("loses power" if power_lost else "is killed")

    def wipe(self) -> None:
        self.stop(power_lost=True)
        self.disk.remove()
        self.disk = SimulatedDisk(self.scenario.random)

    def freeze(self) -> None:
        self.frozen = self.up
        self.log("freezes")

    def thaw(self) -> None:
        if not self.frozen:
            return
        self.frozen = False
        self.log("thaws")
        self.scenario.checker.check_lease(self)
        inbox, self.deferred = self.deferred, []
        self.scenario.random.shuffle(inbox)
        for act in inbox:
            if self.up:
                act()
                self.run_effects()

    def deliver(self, incarnation: int, action: Callable[[], None]) -> None:
        """Something happens to the process of a life."""
        if not self.up or incarnation != self.incarnation:
            return
        if self.frozen:
            if len(self.deferred) < 5000:
                self.deferred.append(partial(self.deliver, incarnation, action))
            return
        action()
        self.run_effects()

    def log(self, text: str) -> None:
        self.scenario.log(self.address, text)

    # -- effects

    def run_effects(self) -> None:
        time = self.scenario.scheduler
        while effects := self.replica.take_effects():
            for effect in effects:
                match effect:
                    case Persist():
                        self.pending_write = effect
                        chance = self.scenario.random
                        slow = self.slow_disk or chance.random() < 0.02
                        wait = chance.uniform(20, 250) if slow else chance.uniform(1, 6)
                        time.call_later(
                            int(wait * MS),
                            partial(self.deliver, self.incarnation, partial(self.persist, effect)),
                        )
                    case SendRequest(question, address, request):
                        self.send_request(question, address, request)
                    case SendReply((source, life, question), who, reply):
                        self.send_reply(source, life, question, who, reply)
                    case CompleteOperation(order, outcome):
                        if (act := self.callbacks.pop(order, None)) is not None:
                            act(outcome)
                    case ValueCommitted(held):
                        self.scenario.checker.on_chosen(
                            held.version, held.value, f"in force at {self.address}"
                        )
                        self.log(f"in force: {held.version}")
                    case LogEntry(text):
                        self.log(text)
        acceptor = self.replica.acceptor
        self.scenario.checker.check_lease(self)
        state = acceptor.committed.version, acceptor.epoch.number
        waked = [p for p in self.held_pulls if p[0] < state[0] or p[1] < state[1]]
        self.held_pulls = [p for p in self.held_pulls if p not in waked]
        for poll in waked:
            poll[2]()
        due = max(time.now + MS // 10, self.replica.next_tick_ns() - self.clock_offset_ns)
        if not self.timer_ns or due < self.timer_ns or self.timer_ns <= time.now:
            self.timer_ns = due
            time.call_at(due, partial(self.on_timer, self.incarnation, due))

    def on_timer(self, incarnation: int, due_ns: int) -> None:
        if self.up and incarnation == self.incarnation and self.timer_ns == due_ns:
            self.deliver(incarnation, self.tick)

    def tick(self) -> None:
        self.timer_ns = 0
        self.replica.tick(self.local_time())

    def persist(self, effect: Persist) -> None:
        if self.scenario.random.random() < self.scenario.write_failure_rate:
            self.replica.on_persist_failed(self.local_time(), effect.write_id)
            return
        self.store.save(effect.update)
        self.pending_write = None
        self.scenario.checker.on_persisted(self, effect)
        self.replica.on_persisted(self.local_time(), effect.write_id)
        counts, acceptor = self.scenario.checker.counts, self.replica.acceptor
        counts.most_slots = max(counts.most_slots, len(acceptor.slots))
        counts.most_history = max(counts.most_history, len(acceptor.history))
        counts.disk_kb = max(counts.disk_kb, self.disk.size_bytes() // 1024)

    def send_request(self, request_id: int, address: str, request: Any) -> None:
        life, time = self.incarnation, self.scenario.scheduler
        found = self.scenario.nodes.get(address)
        fail = partial(
            self.deliver, life, lambda: self.replica.on_request_failed(self.local_time(), request_id)
        )
        if found is None or not found.up:
            time.call_later(MS, fail)
            return
        target = found
        time.call_later(CALL_TIMEOUT_NS, fail)

        def arrive() -> None:
            ticket = (self.address, life, request_id)
            target.deliver(target.incarnation, partial(target.on_request, ticket, request))

        self.scenario.network.send(self.address, address, arrive)

    def on_request(self, ticket: Any, request: Any) -> None:
        acceptor = self.replica.acceptor
        over = acceptor.sealed_by is not None or acceptor.newest_epoch().number > request.epoch
        before = [accepted_ballot(acceptor, request)]
        self.replica.on_request(self.local_time(), ticket, request)
        if over and accepted_ballot(acceptor, request) not in (*before, NO_BALLOT):
            self.scenario.checker.report_violation(
                "led_with_old", f"{self.address} takes {request.version} late"
            )

    def send_reply(self, source: str, incarnation: int, request_id: int, who: str, reply: Any) -> None:
        asker = self.scenario.nodes[source]

        def arrive() -> None:
            asker.deliver(
                incarnation, lambda: asker.replica.on_reply(asker.local_time(), request_id, who, reply)
            )

        self.scenario.network.send(self.address, source, arrive)

    # -- pulls

    def pull(self, incarnation: int, address: str) -> None:
        if not self.up or incarnation != self.incarnation:
            return
        if self.frozen:
            self.deferred.append(partial(self.pull, incarnation, address))
            return
        target, time, network = self.scenario.nodes[address], self.scenario.scheduler, self.scenario.network
        if target.removed:
            return
        acceptor, left, open_ = self.replica.acceptor, self.local_time(), [True]
        version, epoch = acceptor.committed.version, acceptor.newest_epoch().number

        def again(wait: int) -> None:
            if open_:
                open_.clear()
                time.call_later(wait, partial(self.pull, incarnation, address))

        def reply(seen: QueryReply, newer: Epoch | None, held: CommittedValue | None, history: Any) -> None:
            def act() -> None:
                if not open_:
                    return  # the call was given up
                if newer is not None:
                    self.replica.on_epoch(self.local_time(), newer)
                self.replica.on_query_reply(self.local_time(), left, seen)
                if held is not None:
                    self.replica.on_committed_value(self.local_time(), held, history)
                again(10 * MS)

            self.deliver(incarnation, act)

        def answer(there: int) -> None:
            def act() -> None:
                theirs = target.replica.acceptor
                news = theirs.installed and theirs.epoch.number > epoch
                held = theirs.committed if theirs.committed.version > version else None
                sent = partial(
                    reply, theirs.query_reply(), theirs.epoch if news else None, held, theirs.digest_history()
                )
                network.send(address, self.address, sent)

            if target.up and there == target.incarnation:
                target.deliver(there, act)

        def arrive() -> None:
            there = target.incarnation
            if not target.up:
                return
            theirs = target.replica.acceptor
            if theirs.committed.version > version or theirs.epoch.number > epoch:
                answer(there)
                return
            poll = (version, epoch, partial(answer, there))
            target.held_pulls.append(poll)

            def over() -> None:
                if poll in target.held_pulls:
                    target.held_pulls.remove(poll)
                    answer(there)

            time.call_later(PULL_HOLD_NS, over)

        if not target.up:
            again(300 * MS)
            return
        time.call_later(CALL_TIMEOUT_NS, partial(self.deliver, incarnation, partial(again, 10 * MS)))
        network.send(self.address, address, arrive)

    # -- callers

    def submit(self, version: int, content: bytes, on_outcome: Callable[[Any], None]) -> None:
        self.operation_count += 1
        self.callbacks[self.operation_count] = on_outcome
        self.replica.propose(
            self.local_time(),
            self.operation_count,
            version,
            content,
            self.local_time() + OPERATION_TIMEOUT_NS,
        )

    def read(self) -> None:
        self.operation_count += 1
        asked = self.scenario.scheduler.now

        def told(outcome: Any) -> None:
            if isinstance(outcome, CommittedValue):
                self.scenario.checker.on_read(self, asked, outcome)

        self.callbacks[self.operation_count] = told
        self.replica.read(self.local_time(), self.operation_count, self.local_time() + OPERATION_TIMEOUT_NS)

    def shut_down(self, grace_ns: int) -> None:
        """Ends as a SIGTERM ends it: hands over, then is gone."""
        if not self.up or self.leaving:
            return
        self.leaving = True
        self.log("leaves")
        life = self.incarnation

        def gone(outcome: Any = None) -> None:
            if self.up and self.incarnation == life:
                self.log(f"has left: {outcome}")
                self.handed_over = isinstance(outcome, Committed)
                self.scenario.scheduler.call_later(0, partial(self.finish_shutdown, life))

        self.callbacks[LEAVE_WAITER_ID] = gone

        def act() -> None:
            self.replica.leave(self.local_time(), self.local_time() + grace_ns - 200 * MS)

        self.deliver(life, act)
        self.scenario.scheduler.call_later(grace_ns, partial(self.finish_shutdown, life))

    def finish_shutdown(self, incarnation: int) -> None:
        if self.up and self.incarnation == incarnation:
            self.stop(power_lost=False)


class OperatorUpdate:
    """A change that an operator carries to any signalbox until it is acknowledged or refused."""

    def __init__(
        self,
        scenario: Scenario,
        version: int,
        content: bytes,
        reply_loss: float,
        send_twice: bool = False,
        first_node: ControlPlaneNode | None = None,
        timeout_ns: int = OPERATOR_TIMEOUT_NS,
    ) -> None:
        self.scenario, self.version, self.content, self.reply_loss = scenario, version, content, reply_loss
        self.submitted_ns, self.timeout_ns = scenario.scheduler.now, timeout_ns
        self.acknowledged_ns: int | None = None
        self.last_node: ControlPlaneNode | None = None  # that it was sent to
        self.committed = self.rejected = False
        self.backoff_ns = 100 * MS
        scenario.checker.counts.orders += 1
        scenario.highest_version = max(scenario.highest_version, version)
        for _ in range(2 if send_twice else 1):
            self.attempt(first_node)

    def on_committed(self) -> None:
        """A signalbox has acknowledged it, whether or not the operator hears it."""
        day = self.scenario
        if (
            not self.committed
            and not day.fault_active
            and day.last_fault_ns + CALM_BEFORE_TIMING_NS < self.submitted_ns
        ):
            took = (day.scheduler.now - self.submitted_ns) // MS
            day.checker.counts.slowest_ack_ms = max(day.checker.counts.slowest_ack_ms, took)
        self.committed = True

    def is_finished(self) -> bool:
        return self.acknowledged_ns is not None or self.rejected

    def attempt(self, first_node: ControlPlaneNode | None = None) -> None:
        day = self.scenario
        if self.is_finished() or day.scheduler.now - self.submitted_ns > self.timeout_ns:
            return
        boxes = [b for b in day.nodes.values() if not b.removed and b.voting]
        others = [b for b in boxes if b is not self.last_node] or boxes
        self.last_node = box = first_node or day.random.choice(others)
        waiting = [True]

        def again() -> None:
            if waiting:
                waiting.clear()
                self.backoff_ns = min(2 * SECOND, self.backoff_ns * 3 // 2)
                day.scheduler.call_later(int(self.backoff_ns * day.random.uniform(0.5, 1)), self.attempt)

        def told(outcome: Any) -> None:
            match outcome:
                case Committed():
                    day.checker.on_acknowledged(self.version, self.content, box)
                    self.on_committed()
                case Conflict():
                    day.checker.on_conflict(self.version, self.content, box)
            if day.random.random() < self.reply_loss:
                return
            match outcome:
                case Committed() if self.acknowledged_ns is None:
                    self.acknowledged_ns = day.scheduler.now
                    day.checker.counts.acked += 1
                case Conflict():
                    self.rejected = True
            if self.is_finished():
                waiting.clear()
            else:
                again()

        if not box.up:
            day.scheduler.call_later(MS, again)
            return
        day.scheduler.call_later(SECOND, again)
        day.scheduler.call_later(
            day.random.randrange(MS, 4 * MS),
            partial(box.deliver, box.incarnation, lambda: box.submit(self.version, self.content, told)),
        )


class Scenario:
    """One seeded day of a point.

    `posts` are the places that voting machines have, and until when each counts as lost: a machine that is
    away, and for `SYNC_NS` after it, or its successor, is there. No more than `tolerate` are lost at once,
    but for kills and losses of power that take no disk."""

    def __init__(self, seed: int, trace: Callable[[str], None] | None = None) -> None:
        self.random = random.Random(seed)
        self.scheduler = EventScheduler()
        self.network = Network(self.scheduler, random.Random(seed + 1))
        self.trace = trace
        self.checker = InvariantChecker(self)
        self.nodes: dict[str, ControlPlaneNode] = {}
        self.tolerated_losses = 2 if self.random.random() < 0.25 else 1
        size = 2 * self.tolerated_losses + 1
        self.seed_addresses = tuple(f"10.0.0.{n}" for n in range(1, 4))
        self.node_count = 0
        self.write_failure_rate = self.random.choice([0, 0, 0.02])
        self.highest_version = 0  # version sent
        self.last_fault_ns = 0  # when the newest fault began or ended
        self.updates: list[OperatorUpdate] = []
        self.fault_active = False  # a machine or a link is in trouble
        self.voters_by_index: list[ControlPlaneNode] = [self.add_node() for _ in range(size)]
        self.lost_until_ns = [0] * size
        for post, box in enumerate(self.voters_by_index):
            box.voter_index = post
        for box in self.nodes.values():
            self.scheduler.call_at(self.random.randrange(300 * MS), partial(box.start, True))
        if self.random.random() < 0.2:
            self.scheduler.call_at(self.random.randrange(300 * MS), self.add_node(voting=False).start)
        noisy = self.random.random()
        if noisy < 0.4:
            self.network.loss_rate, self.network.duplicate_rate, self.network.late_rate = 0.01, 0.02, 0.02

    def add_node(self, voting: bool = True) -> ControlPlaneNode:
        self.node_count += 1
        box = ControlPlaneNode(self, f"10.0.0.{self.node_count}", voting)
        self.nodes[box.address] = box
        for other in self.nodes.values():
            if other.up:
                self.scheduler.call_later(
                    self.random.randrange(200 * MS), partial(other.pull, other.incarnation, box.address)
                )
        return box

    def log(self, who: str, text: str) -> None:
        if self.trace is not None:
            self.trace(f"{self.scheduler.now / SECOND:9.4f} {who:10} {text}")

    def voters(self) -> list[ControlPlaneNode]:
        return [b for b in self.nodes.values() if b.voting and not b.removed]

    def mark_fault(self) -> None:
        self.last_fault_ns = self.scheduler.now

    # -- callers

    def submit_update(self, reply_loss: float = 0.05, rivals: int = 0) -> None:
        """An operator's next change; `rivals` others send their own under the same number, some the same."""
        version = self.highest_version + self.random.choice([1, 1, 1, 2, 5])
        contents = [f"{version}-{n}".encode() for n in range(rivals + 1)]
        for n in range(rivals + 1):
            content = contents[n] if n == 0 or self.random.random() < 0.8 else contents[0]
            wait = 0 if n == 0 else self.random.randrange(50 * MS)
            self.scheduler.call_later(wait, partial(self.send_update, version, content, reply_loss))

    def send_update(self, version: int, content: bytes, reply_loss: float) -> None:
        self.updates.append(OperatorUpdate(self, version, content, reply_loss, self.random.random() < 0.3))

    def resend_update(self) -> None:
        """An order whose answer came, or did not, is sent again as it was."""
        if self.updates:
            old = self.random.choice(self.updates[-6:])
            self.send_update(old.version, old.content, 0.2)

    def read_somewhere(self) -> None:
        box = self.random.choice(list(self.nodes.values()))
        if box.up:
            box.deliver(box.incarnation, box.read)

    def generate_load(
        self,
        start_ns: int,
        end_ns: int,
        update_gap_ms: tuple[int, int],
        update: Callable[[], None],
        read_gap_ms: tuple[int, int] = (50, 400),
    ) -> None:
        """Orders and reads between two times."""

        def some(what: Callable[[], None], low: int, high: int) -> None:
            if self.scheduler.now < end_ns:
                what()
                self.scheduler.call_later(
                    self.random.randrange(low, high) * MS, partial(some, what, low, high)
                )

        self.scheduler.call_at(start_ns, partial(some, update, *update_gap_ms))
        self.scheduler.call_at(start_ns, partial(some, self.read_somewhere, *read_gap_ms))
        self.scheduler.call_at(start_ns, partial(some, self.check_leases, 30, 60))

    def check_leases(self) -> None:
        calm = self.is_calm()
        for box in self.nodes.values():
            if not box.up or box.frozen:
                continue
            self.checker.check_lease(box)
            box.checks_without_lease = (
                box.checks_without_lease + 1 if calm and not box.replica.holds_lease(box.local_time()) else 0
            )
            if box.checks_without_lease == 30:
                self.checker.report_violation(
                    "never_level", f"{box.address} has no lease for a second of calm"
                )

    def is_calm(self) -> bool:
        """No fault, and none of the last seconds."""
        now = self.scheduler.now
        return not (
            self.fault_active
            or self.network.cuts
            or self.last_fault_ns + 2 * CATCH_UP_NS > now
            or max(self.lost_until_ns) > now
        )

    # -- faults

    def may_lose(self, index: int) -> bool:
        """Whether this post may be lost now."""
        now = self.scheduler.now
        return (
            len([p for p in range(len(self.lost_until_ns)) if self.lost_until_ns[p] > now or p == index])
            <= self.tolerated_losses
        )

    def losable_voters(self) -> list[int]:
        """Posts that may be lost now, and are not."""
        return [
            p
            for p, until in enumerate(self.lost_until_ns)
            if until <= self.scheduler.now and self.may_lose(p)
        ]

    def ended_before_hand_over(self, node: ControlPlaneNode) -> None:
        """A machine that was to hand over has ended before: to the others it is lost like any, until they
        have had the time to see that."""
        self.lost_until_ns[node.voter_index] = max(
            self.lost_until_ns[node.voter_index], self.scheduler.now + CATCH_UP_NS
        )

    def voter_returned(self, index: int) -> None:
        """The machine of a post has started, or is in touch again."""
        self.lost_until_ns[index] = self.scheduler.now + CATCH_UP_NS
        self.voters_by_index[index].voter_index = index
        self.expect_catch_up(self.voters_by_index[index])

    def isolate(self, node: ControlPlaneNode, how: str) -> None:
        self.mark_fault()
        self.fault_active = True
        self.log("#", f"{node.address} is cut off: {how}")
        if how == "frozen":
            node.freeze()
            return
        for other in list(self.nodes):
            if other == node.address:
                continue
            if how in ("both", "in"):
                self.network.cut(other, node.address)
            if how in ("both", "out"):
                self.network.cut(node.address, other)

    def heal(self) -> None:
        self.mark_fault()
        self.fault_active = False
        self.log("#", "all links are whole")
        self.network.heal()
        for box in self.nodes.values():
            box.thaw()

    def kill(self, node: ControlPlaneNode, power_lost: bool) -> None:
        self.mark_fault()
        node.stop(power_lost)

    def restart(self, node: ControlPlaneNode) -> None:
        self.mark_fault()
        node.start()

    def expect_catch_up(self, node: ControlPlaneNode) -> None:
        """A member is back in touch: in four seconds it holds what was acknowledged, and leads and serves."""
        start, life = self.scheduler.now, node.incarnation

        def look(again: int) -> None:
            if (
                self.last_fault_ns > start
                or self.network.cuts
                or not node.up
                or node.incarnation != life
                or node.leaving
            ):
                return
            held = node.replica.acceptor.committed.version
            newest = self.checker.newest_acknowledged(self.scheduler.now - SECOND)
            if held < newest:
                self.checker.report_violation("never_level", f"{node.address} holds {held} < {newest}")
            elif (
                not node.replica.holds_lease(node.local_time())
                and node.voting
                and self.checker.epoch_in_force > 0
            ):
                if again:  # a pull may have been lost
                    self.scheduler.call_later(300 * MS, partial(look, again - 1))
                else:
                    self.checker.report_violation(
                        "never_level", f"{node.address} is not sure for {CATCH_UP_NS // SECOND} s"
                    )

        self.scheduler.call_later(CATCH_UP_NS, partial(look, 3))

    # -- the end of a day

    def finish(self, restart_lost: bool = True) -> InvariantChecker:
        """All that should be there is, for a few seconds: an order is acknowledged, nothing is lost. Without
        `restore`, the posts that are lost stay so."""
        self.heal()
        for box in self.voters():
            if not box.up and (
                restart_lost
                or box not in self.voters_by_index
                or self.lost_until_ns[self.voters_by_index.index(box)] < NEVER_NS
            ):
                self.restart(box)
            self.expect_catch_up(box)
        self.scheduler.run_until(self.scheduler.now + 5 * SECOND)
        newest = self.checker.newest_acknowledged(self.scheduler.now)
        self.network.loss_rate = self.network.late_rate = 0.0
        asked = self.scheduler.now
        order = OperatorUpdate(self, self.highest_version + 1, b"last", 0.0)
        self.scheduler.run_until(asked + ACKNOWLEDGE_WITHIN_NS)
        if order.acknowledged_ns is None:
            self.checker.report_violation(
                "no_majority_left", f"the last order has no answer in {ACKNOWLEDGE_WITHIN_NS // SECOND} s"
            )
        self.scheduler.run_until(self.scheduler.now + SECOND)
        for box in self.voters():
            held = box.replica.acceptor.committed if box.up else None
            if held is not None and held.version < newest:
                self.checker.report_violation(
                    "acked_then_lost", f"{box.address} ends at {held.version} < {newest}"
                )
        for box in self.nodes.values():
            if box.up:
                box.stop(power_lost=False)
            box.disk.remove()
        return self.checker
