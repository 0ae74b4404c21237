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

from meadowworks.consensus.register import NONE, Accept, Acceptor, Ballot, Epoch, Held, Seen, digest
from meadowworks.consensus.replica import (
    LEASE_NS,
    LEAVE,
    Another,
    Answer,
    Ask,
    InForce,
    Note,
    Replica,
    Taken,
    Tell,
    Write,
    acceptor_for,
)
from meadowworks.simulation.disks import Medium, PlayedDisk
from meadowworks.simulation.network import MS, SECOND, Network, Time

POLL_NS, CALL_NS = SECOND // 2, SECOND  # that a pull without news is held; that any reply is waited for
SYNC_NS = 4 * SECOND  # after which a machine that is back counts as there
ACK_NS = 4 * SECOND
WITHIN_NS = 900 * MS  # that a signalbox takes for an order or a read
PATIENCE_NS = 12 * SECOND  # that an operator tries for
NEVER = 1 << 62
CALM_NS = 3 * SECOND  # without a fault, after which an order's time counts


@dataclass
class Counts:
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

    def add(self, other: Counts) -> None:
        for field in fields(self):
            mine, theirs = getattr(self, field.name), getattr(other, field.name)
            joined = max(mine, theirs) if field.name in MOST else mine + theirs
            setattr(self, field.name, joined)

    def faults(self) -> dict[str, int]:
        return {n: getattr(self, n) for n in FAULTS if getattr(self, n)}


MOST = ("slowest_ack_ms", "most_slots", "most_history", "disk_kb")
FAULTS = (
    "confirmed_twice", "old_served", "served_without_majority", "refused_though_taken", "acked_then_lost",
    "no_majority_left", "never_level", "led_with_old", "drains_forgotten", "wrong_caller", "ran_twice",
)  # fmt: skip


class Truth:
    """What really happened, from outside of all machines."""

    def __init__(self, day: Day) -> None:
        self.day, self.counts = day, Counts(days=1)
        self.found: list[str] = []
        self.chosen: dict[int, set[bytes]] = defaultdict(set)
        self.acked: list[tuple[int, int]] = []  # time, highest version acknowledged until then
        self.accepts: dict[tuple[int, Any], set[str]] = defaultdict(set)
        self.installs: dict[int, set[str]] = defaultdict(set)
        self.epochs: dict[int, Epoch] = {}
        self.epoch_of: dict[str, int] = {}  # of a disk
        self.in_force = -1  # the newest epoch that a majority of its members has installed
        self.sets: dict[int, tuple[tuple[str, str], ...]] = {}

    def fault(self, column: str, what: str) -> None:
        setattr(self.counts, column, getattr(self.counts, column) + 1)
        if len(self.found) < 20:
            self.found.append(f"{self.day.time.now / SECOND:.3f} {column}: {what}")
        self.day.note("!", f"{column}: {what}")

    def is_chosen(self, version: int, content: bytes, who: str) -> None:
        if version > 0 and content not in self.chosen[version]:
            self.chosen[version].add(content)
            if len(self.chosen[version]) == 2:
                self.fault("confirmed_twice", f"{version} is {self.chosen[version]} ({who})")

    def written(self, box: Box, effect: Write) -> None:
        """What is on a disk now."""
        rows, name = effect.rows, box.replica.acceptor.disk
        if rows.meta is not None:
            self.epoch_of[name] = rows.meta["epoch"][0]
        for version, slot in rows.slots.items():
            if slot is None or not version or slot.accepted.epoch < 1:
                continue
            if slot.accepted.epoch != self.epoch_of[name]:
                continue  # a copy that came with a change of members
            epoch = self.epochs.get(slot.accepted.epoch)
            voters = self.accepts[version, slot.accepted]
            if name in voters:
                continue
            voters.add(name)
            if epoch is not None and len([v for v in voters if epoch.has(v)]) == epoch.majority:
                self.is_chosen(version, slot.content, box.address)
        if rows.meta is not None and rows.meta["installed"]:
            number, members = rows.meta["epoch"]
            epoch = Epoch(number, tuple((d, a) for d, a in members))
            if self.sets.setdefault(number, epoch.members) != epoch.members:
                self.fault("confirmed_twice", f"epoch {number} has two sets of members")
            self.epochs[number] = epoch
            if epoch.has(name) or number == 0:
                self.installs[number].add(name)
            if len(self.installs[number]) >= epoch.majority and number > self.in_force:
                self.in_force = number
                self.day.note("*", f"epoch {number} in force: {[a for _, a in epoch.members]}")

    def newest(self, before: int) -> int:
        """The highest version that was acknowledged at or before a time."""
        for when, version in reversed(self.acked):
            if when <= before:
                return version
        return 0

    def is_acked(self, version: int, content: bytes, box: Box) -> None:
        held = box.replica.acceptor.held
        if held.version == version:
            self.is_chosen(version, content, f"acknowledged by {box.address}")
        elif held.version < version:
            self.fault("acked_then_lost", f"{version} acknowledged at {held.version}")
        if version > self.newest(self.day.time.now):
            self.acked.append((self.day.time.now, version))
            for other in self.day.boxes.values():
                if other.up and self.day.chance.random() < 0.2:
                    soon = self.day.chance.randrange(4 * MS)
                    self.day.time.after(soon, partial(other.do, other.life, other.read))

    def refused(self, version: int, content: bytes, box: Box) -> None:
        others = {digest(c) for c in self.chosen[version]} | {
            d for b in self.day.boxes.values() if b.replica and (d := b.replica.acceptor.history.get(version))
        }
        if digest(content) in others or not others:
            self.fault("refused_though_taken", f"{version} by {box.address}; chosen: {len(others)}")

    def contacts(self, box: Box, since: int) -> tuple[int, int]:
        """How many of its epoch's members a signalbox may have heard of something that left later than
        `since`, and how many it needs."""
        acceptor = box.replica.acceptor
        epoch, network = acceptor.newest(), self.day.network
        heard = sum(
            d in (acceptor.disk, acceptor.seat) or network.contact.get((a, box.address), -1) >= since
            for d, a in epoch.members
        )
        return heard, epoch.majority

    def look(self, box: Box) -> None:
        """What a junction or a caller would be told now."""
        if not box.replica.sure(box.clock()):
            return
        now = self.day.time.now
        held = box.replica.acceptor.held
        if held.version < self.newest(now - LEASE_NS) and not box.blamed:
            box.blamed = True  # once a life
            newest = self.newest(now - LEASE_NS)
            self.fault("old_served", f"{box.address} is sure of {held.version} < {newest}")
        heard, need = self.contacts(box, now - LEASE_NS - 20 * MS)
        if heard < need and not box.lonely:
            box.lonely = True
            self.fault("served_without_majority", f"{box.address} is sure, heard {heard} of {need}")

    def is_read(self, box: Box, asked: int, held: Held) -> None:
        if held.version < self.newest(asked):
            self.fault("old_served", f"{box.address} reads {held.version} < {self.newest(asked)}")
        if held.version:
            self.is_chosen(held.version, held.content, f"read at {box.address}")
        heard, need = self.contacts(box, asked)
        if heard < need:
            self.fault("served_without_majority", f"{box.address} reads, heard {heard} of {need}")


def accepted_of(acceptor: Acceptor, request: Any) -> Ballot:
    """Under which ballot an acceptor has accepted what a request asks for."""
    slot = acceptor.slots.get(request.version) if isinstance(request, Accept) else None
    return slot.accepted if slot else NONE


class Box:
    """A machine with a signalbox: what its shell does around `Replica`."""

    def __init__(self, day: Day, address: str, voting: bool = True) -> None:
        self.day, self.address, self.voting = day, address, voting
        self.medium = Medium(day.chance)
        self.up: bool = False
        self.frozen = self.leaving = self.removed = self.handed = False
        self.post = -1
        self.slow = False  # its disk
        self.dark = 0  # looks at which it had no lease, in a row
        self.life: int = 0
        self.count = 0
        self.offset = day.chance.randrange(1, 10**6) * SECOND
        self.replica: Any = None
        self.disk: Any = None
        self.inbox: list[Callable[[], None]] = []
        self.writing: Write | None = None
        self.timer = 0
        self.answers: dict[int, Callable[[Any], None]] = {}
        self.polls: list[tuple[int, int, Callable[[], None]]] = []
        self.blamed: bool = False
        self.lonely: bool = False

    def clock(self) -> int:
        return self.day.time.now + self.offset

    def start(self, bootstrap: bool = False) -> None:
        if self.up or self.removed:
            return
        self.up, self.frozen, self.leaving = True, False, False
        self.life += 1
        self.blamed = self.lonely = False
        self.disk = PlayedDisk(self.medium)
        stored = self.disk.load()
        acceptor = acceptor_for(
            stored.meta, disk=f"{self.day.chance.getrandbits(64):016x}", address=self.address,
            seeds=self.day.seeds, bootstrap=bootstrap, voting=self.voting,
            held=stored.held, history=stored.history, slots=stored.slots,
        )  # fmt: skip
        self.replica = Replica(acceptor, self.day.tolerate, self.day.chance.random)
        epoch, held = acceptor.epoch.number, acceptor.held.version
        self.note(f"starts: disk {acceptor.disk[:4]} epoch {epoch} at {held}")
        self.replica.start(self.clock())
        self.pump()
        self.meet()

    def meet(self) -> None:
        """Begins to pull from whoever it does not pull from yet."""
        life = self.life
        for address in list(self.day.boxes):
            if address != self.address:
                self.day.time.after(self.day.chance.randrange(20 * MS), partial(self.pull, life, address))

    def stop(self, power: bool) -> None:
        """Ends the process at once; with `power`, the machine."""
        if not self.up:
            return
        if self.writing is not None:
            self.medium.left = self.day.chance.randrange(14)
            try:
                self.disk.save(self.writing.rows)
            except sqlite3.Error:
                pass
            else:
                if not power:  # a killed process may have ended its write
                    self.day.truth.written(self, self.writing)
        self.up, self.writing, self.timer = False, None, 0
        if self.leaving:
            self.removed = True  # nobody starts it again
            if not self.handed:
                self.day.abrupt(self)
        self.inbox, self.answers, self.polls = [], {}, []
        self.life += 1
        if power:
            self.medium.power_lost()
        else:
            self.medium.killed()
        self.disk.abandon()
        self.note("loses power" if power else "is killed")

    def wipe(self) -> None:
        self.stop(power=True)
        self.medium.gone()
        self.medium = Medium(self.day.chance)

    def freeze(self) -> None:
        self.frozen = self.up
        self.note("freezes")

    def thaw(self) -> None:
        if not self.frozen:
            return
        self.frozen = False
        self.note("thaws")
        self.day.truth.look(self)
        inbox, self.inbox = self.inbox, []
        self.day.chance.shuffle(inbox)
        for act in inbox:
            if self.up:
                act()
                self.pump()

    def do(self, life: int, act: Callable[[], None]) -> None:
        """Something happens to the process of a life."""
        if not self.up or life != self.life:
            return
        if self.frozen:
            if len(self.inbox) < 5000:
                self.inbox.append(partial(self.do, life, act))
            return
        act()
        self.pump()

    def note(self, text: str) -> None:
        self.day.note(self.address, text)

    # -- effects

    def pump(self) -> None:
        time = self.day.time
        while effects := self.replica.take():
            for effect in effects:
                match effect:
                    case Write():
                        self.writing = effect
                        chance = self.day.chance
                        slow = self.slow or chance.random() < 0.02
                        wait = chance.uniform(20, 250) if slow else chance.uniform(1, 6)
                        time.after(int(wait * MS), partial(self.do, self.life, partial(self.save, effect)))
                    case Ask(question, address, request):
                        self.send(question, address, request)
                    case Tell((source, life, question), who, reply):
                        self.tell(source, life, question, who, reply)
                    case Answer(order, outcome):
                        if (act := self.answers.pop(order, None)) is not None:
                            act(outcome)
                    case InForce(held):
                        self.day.truth.is_chosen(held.version, held.content, f"in force at {self.address}")
                        self.note(f"in force: {held.version}")
                    case Note(text):
                        self.note(text)
        acceptor = self.replica.acceptor
        self.day.truth.look(self)
        state = acceptor.held.version, acceptor.epoch.number
        waked = [p for p in self.polls if p[0] < state[0] or p[1] < state[1]]
        self.polls = [p for p in self.polls if p not in waked]
        for poll in waked:
            poll[2]()
        due = max(time.now + MS // 10, self.replica.due() - self.offset)
        if not self.timer or due < self.timer or self.timer <= time.now:
            self.timer = due
            time.at(due, partial(self.turn, self.life, due))

    def turn(self, life: int, due: int) -> None:
        if self.up and life == self.life and self.timer == due:
            self.do(life, self.tick)

    def tick(self) -> None:
        self.timer = 0
        self.replica.tick(self.clock())

    def save(self, effect: Write) -> None:
        if self.day.chance.random() < self.day.refusals:
            self.replica.unwritten(self.clock(), effect.mark)
            return
        self.disk.save(effect.rows)
        self.writing = None
        self.day.truth.written(self, effect)
        self.replica.written(self.clock(), effect.mark)
        counts, acceptor = self.day.truth.counts, self.replica.acceptor
        counts.most_slots = max(counts.most_slots, len(acceptor.slots))
        counts.most_history = max(counts.most_history, len(acceptor.history))
        counts.disk_kb = max(counts.disk_kb, self.medium.size() // 1024)

    def send(self, question: int, address: str, request: Any) -> None:
        life, time = self.life, self.day.time
        found = self.day.boxes.get(address)
        fail = partial(self.do, life, lambda: self.replica.failed(self.clock(), question))
        if found is None or not found.up:
            time.after(MS, fail)
            return
        target = found
        time.after(CALL_NS, fail)

        def arrive() -> None:
            ticket = (self.address, life, question)
            target.do(target.life, partial(target.asked, ticket, request))

        self.day.network.send(self.address, address, arrive)

    def asked(self, ticket: Any, request: Any) -> None:
        acceptor = self.replica.acceptor
        over = acceptor.sealed is not None or acceptor.newest().number > request.epoch
        before = [accepted_of(acceptor, request)]
        self.replica.asked(self.clock(), ticket, request)
        if over and accepted_of(acceptor, request) not in (*before, NONE):
            self.day.truth.fault("led_with_old", f"{self.address} takes {request.version} late")

    def tell(self, source: str, life: int, question: int, who: str, reply: Any) -> None:
        asker = self.day.boxes[source]

        def arrive() -> None:
            asker.do(life, lambda: asker.replica.heard(asker.clock(), question, who, reply))

        self.day.network.send(self.address, source, arrive)

    # -- pulls

    def pull(self, life: int, address: str) -> None:
        if not self.up or life != self.life:
            return
        if self.frozen:
            self.inbox.append(partial(self.pull, life, address))
            return
        target, time, network = self.day.boxes[address], self.day.time, self.day.network
        if target.removed:
            return
        acceptor, left, open_ = self.replica.acceptor, self.clock(), [True]
        version, epoch = acceptor.held.version, acceptor.newest().number

        def again(wait: int) -> None:
            if open_:
                open_.clear()
                time.after(wait, partial(self.pull, life, address))

        def reply(seen: Seen, newer: Epoch | None, held: Held | None, history: Any) -> None:
            def act() -> None:
                if not open_:
                    return  # the call was given up
                if newer is not None:
                    self.replica.told(self.clock(), newer)
                self.replica.met(self.clock(), left, seen)
                if held is not None:
                    self.replica.learn(self.clock(), held, history)
                again(10 * MS)

            self.do(life, act)

        def answer(there: int) -> None:
            def act() -> None:
                theirs = target.replica.acceptor
                news = theirs.installed and theirs.epoch.number > epoch
                held = theirs.held if theirs.held.version > version else None
                sent = partial(reply, theirs.seen(), theirs.epoch if news else None, held, theirs.past())
                network.send(address, self.address, sent)

            if target.up and there == target.life:
                target.do(there, act)

        def arrive() -> None:
            there = target.life
            if not target.up:
                return
            theirs = target.replica.acceptor
            if theirs.held.version > version or theirs.epoch.number > epoch:
                answer(there)
                return
            poll = (version, epoch, partial(answer, there))
            target.polls.append(poll)

            def over() -> None:
                if poll in target.polls:
                    target.polls.remove(poll)
                    answer(there)

            time.after(POLL_NS, over)

        if not target.up:
            again(300 * MS)
            return
        time.after(CALL_NS, partial(self.do, life, partial(again, 10 * MS)))
        network.send(self.address, address, arrive)

    # -- callers

    def order(self, version: int, content: bytes, told: Callable[[Any], None]) -> None:
        self.count += 1
        self.answers[self.count] = told
        self.replica.order(self.clock(), self.count, version, content, self.clock() + WITHIN_NS)

    def read(self) -> None:
        self.count += 1
        asked = self.day.time.now

        def told(outcome: Any) -> None:
            if isinstance(outcome, Held):
                self.day.truth.is_read(self, asked, outcome)

        self.answers[self.count] = told
        self.replica.read(self.clock(), self.count, self.clock() + WITHIN_NS)

    def leave(self, grace: int) -> None:
        """Ends as a SIGTERM ends it: hands over, then is gone."""
        if not self.up or self.leaving:
            return
        self.leaving = True
        self.note("leaves")
        life = self.life

        def gone(outcome: Any = None) -> None:
            if self.up and self.life == life:
                self.note(f"has left: {outcome}")
                self.handed = isinstance(outcome, Taken)
                self.day.time.after(0, partial(self.finish, life))

        self.answers[LEAVE] = gone

        def act() -> None:
            self.replica.leave(self.clock(), self.clock() + grace - 200 * MS)

        self.do(life, act)
        self.day.time.after(grace, partial(self.finish, life))

    def finish(self, life: int) -> None:
        if self.up and self.life == life:
            self.stop(power=False)


class Order:
    """A change that an operator carries to any signalbox until it is acknowledged or refused."""

    def __init__(
        self,
        day: Day,
        version: int,
        content: bytes,
        loss: float,
        wide: bool = False,
        first: Box | None = None,
        patience: int = PATIENCE_NS,
    ) -> None:
        self.day, self.version, self.content, self.loss = day, version, content, loss
        self.born, self.patience = day.time.now, patience
        self.done: int | None = None
        self.last: Box | None = None  # that it was sent to
        self.taken = self.refused = False
        self.pause = 100 * MS
        day.truth.counts.orders += 1
        day.highest = max(day.highest, version)
        for _ in range(2 if wide else 1):
            self.attempt(first)

    def confirmed(self) -> None:
        """A signalbox has acknowledged it, whether or not the operator hears it."""
        day = self.day
        if not self.taken and not day.disturbed and day.troubled + CALM_NS < self.born:
            took = (day.time.now - self.born) // MS
            day.truth.counts.slowest_ack_ms = max(day.truth.counts.slowest_ack_ms, took)
        self.taken = True

    def over(self) -> bool:
        return self.done is not None or self.refused

    def attempt(self, first: Box | None = None) -> None:
        day = self.day
        if self.over() or day.time.now - self.born > self.patience:
            return
        boxes = [b for b in day.boxes.values() if not b.removed and b.voting]
        others = [b for b in boxes if b is not self.last] or boxes
        self.last = box = first or day.chance.choice(others)
        waiting = [True]

        def again() -> None:
            if waiting:
                waiting.clear()
                self.pause = min(2 * SECOND, self.pause * 3 // 2)
                day.time.after(int(self.pause * day.chance.uniform(0.5, 1)), self.attempt)

        def told(outcome: Any) -> None:
            match outcome:
                case Taken():
                    day.truth.is_acked(self.version, self.content, box)
                    self.confirmed()
                case Another():
                    day.truth.refused(self.version, self.content, box)
            if day.chance.random() < self.loss:
                return
            match outcome:
                case Taken() if self.done is None:
                    self.done = day.time.now
                    day.truth.counts.acked += 1
                case Another():
                    self.refused = True
            if self.over():
                waiting.clear()
            else:
                again()

        if not box.up:
            day.time.after(MS, again)
            return
        day.time.after(SECOND, again)
        day.time.after(
            day.chance.randrange(MS, 4 * MS),
            partial(box.do, box.life, lambda: box.order(self.version, self.content, told)),
        )


class Day:
    """One seeded day of a point.

    `posts` are the places that voting machines have, and until when each counts as lost: a machine that is
    away, and for `SYNC_NS` after it, or its successor, is there. No more than `tolerate` are lost at once,
    but for kills and losses of power that take no disk."""

    def __init__(self, seed: int, trace: Callable[[str], None] | None = None) -> None:
        self.chance = random.Random(seed)
        self.time = Time()
        self.network = Network(self.time, random.Random(seed + 1))
        self.trace = trace
        self.truth = Truth(self)
        self.boxes: dict[str, Box] = {}
        self.tolerate = 2 if self.chance.random() < 0.25 else 1
        size = 2 * self.tolerate + 1
        self.seeds = tuple(f"10.0.0.{n}" for n in range(1, 4))
        self.named = 0
        self.refusals = self.chance.choice([0, 0, 0.02])
        self.highest = 0  # version sent
        self.troubled = 0  # when the newest fault began or ended
        self.orders: list[Order] = []
        self.disturbed = False  # a machine or a link is in trouble
        self.posts: list[Box] = [self.add() for _ in range(size)]
        self.lost = [0] * size
        for post, box in enumerate(self.posts):
            box.post = post
        for box in self.boxes.values():
            self.time.at(self.chance.randrange(300 * MS), partial(box.start, True))
        if self.chance.random() < 0.2:
            self.time.at(self.chance.randrange(300 * MS), self.add(voting=False).start)
        noisy = self.chance.random()
        if noisy < 0.4:
            self.network.lose, self.network.double, self.network.late = 0.01, 0.02, 0.02

    def add(self, voting: bool = True) -> Box:
        self.named += 1
        box = Box(self, f"10.0.0.{self.named}", voting)
        self.boxes[box.address] = box
        for other in self.boxes.values():
            if other.up:
                self.time.after(self.chance.randrange(200 * MS), partial(other.pull, other.life, box.address))
        return box

    def note(self, who: str, text: str) -> None:
        if self.trace is not None:
            self.trace(f"{self.time.now / SECOND:9.4f} {who:10} {text}")

    def voters(self) -> list[Box]:
        return [b for b in self.boxes.values() if b.voting and not b.removed]

    def trouble(self) -> None:
        self.troubled = self.time.now

    # -- callers

    def order_now(self, loss: float = 0.05, rivals: int = 0) -> None:
        """An operator's next change; `rivals` others send their own under the same number, some the same."""
        version = self.highest + self.chance.choice([1, 1, 1, 2, 5])
        contents = [f"{version}-{n}".encode() for n in range(rivals + 1)]
        for n in range(rivals + 1):
            content = contents[n] if n == 0 or self.chance.random() < 0.8 else contents[0]
            wait = 0 if n == 0 else self.chance.randrange(50 * MS)
            self.time.after(wait, partial(self.send, version, content, loss))

    def send(self, version: int, content: bytes, loss: float) -> None:
        self.orders.append(Order(self, version, content, loss, self.chance.random() < 0.3))

    def resend(self) -> None:
        """An order whose answer came, or did not, is sent again as it was."""
        if self.orders:
            old = self.chance.choice(self.orders[-6:])
            self.send(old.version, old.content, 0.2)

    def read_now(self) -> None:
        box = self.chance.choice(list(self.boxes.values()))
        if box.up:
            box.do(box.life, box.read)

    def busy(
        self,
        start: int,
        end: int,
        orders_ms: tuple[int, int],
        act: Callable[[], None],
        reads_ms: tuple[int, int] = (50, 400),
    ) -> None:
        """Orders and reads between two times."""

        def some(what: Callable[[], None], low: int, high: int) -> None:
            if self.time.now < end:
                what()
                self.time.after(self.chance.randrange(low, high) * MS, partial(some, what, low, high))

        self.time.at(start, partial(some, act, *orders_ms))
        self.time.at(start, partial(some, self.read_now, *reads_ms))
        self.time.at(start, partial(some, self.glance, 30, 60))

    def glance(self) -> None:
        calm = self.calm()
        for box in self.boxes.values():
            if not box.up or box.frozen:
                continue
            self.truth.look(box)
            box.dark = box.dark + 1 if calm and not box.replica.sure(box.clock()) else 0
            if box.dark == 30:
                self.truth.fault("never_level", f"{box.address} has no lease for a second of calm")

    def calm(self) -> bool:
        """No fault, and none of the last seconds."""
        now = self.time.now
        return not (
            self.disturbed or self.network.cuts or self.troubled + 2 * SYNC_NS > now or max(self.lost) > now
        )

    # -- faults

    def spare(self, post: int) -> bool:
        """Whether this post may be lost now."""
        now = self.time.now
        return len([p for p in range(len(self.lost)) if self.lost[p] > now or p == post]) <= self.tolerate

    def free(self) -> list[int]:
        """Posts that may be lost now, and are not."""
        return [p for p, until in enumerate(self.lost) if until <= self.time.now and self.spare(p)]

    def abrupt(self, box: Box) -> None:
        """A machine that was to hand over has ended before: to the others it is lost like any, until they
        have had the time to see that."""
        self.lost[box.post] = max(self.lost[box.post], self.time.now + SYNC_NS)

    def there(self, post: int) -> None:
        """The machine of a post has started, or is in touch again."""
        self.lost[post] = self.time.now + SYNC_NS
        self.posts[post].post = post
        self.level(self.posts[post])

    def isolate(self, box: Box, how: str) -> None:
        self.trouble()
        self.disturbed = True
        self.note("#", f"{box.address} is cut off: {how}")
        if how == "frozen":
            box.freeze()
            return
        for other in list(self.boxes):
            if other == box.address:
                continue
            if how in ("both", "in"):
                self.network.cut(other, box.address)
            if how in ("both", "out"):
                self.network.cut(box.address, other)

    def heal(self) -> None:
        self.trouble()
        self.disturbed = False
        self.note("#", "all links are whole")
        self.network.join()
        for box in self.boxes.values():
            box.thaw()

    def kill(self, box: Box, power: bool) -> None:
        self.trouble()
        box.stop(power)

    def restart(self, box: Box) -> None:
        self.trouble()
        box.start()

    def level(self, box: Box) -> None:
        """A member is back in touch: in four seconds it holds what was acknowledged, and leads and serves."""
        start, life = self.time.now, box.life

        def look(again: int) -> None:
            if self.troubled > start or self.network.cuts or not box.up or box.life != life or box.leaving:
                return
            held = box.replica.acceptor.held.version
            newest = self.truth.newest(self.time.now - SECOND)
            if held < newest:
                self.truth.fault("never_level", f"{box.address} holds {held} < {newest}")
            elif not box.replica.sure(box.clock()) and box.voting and self.truth.in_force > 0:
                if again:  # a pull may have been lost
                    self.time.after(300 * MS, partial(look, again - 1))
                else:
                    self.truth.fault("never_level", f"{box.address} is not sure for {SYNC_NS // SECOND} s")

        self.time.after(SYNC_NS, partial(look, 3))

    # -- the end of a day

    def finish(self, restore: bool = True) -> Truth:
        """All that should be there is, for a few seconds: an order is acknowledged, nothing is lost. Without
        `restore`, the posts that are lost stay so."""
        self.heal()
        for box in self.voters():
            if not box.up and (restore or box not in self.posts or self.lost[self.posts.index(box)] < NEVER):
                self.restart(box)
            self.level(box)
        self.time.run(self.time.now + 5 * SECOND)
        newest = self.truth.newest(self.time.now)
        self.network.lose = self.network.late = 0.0
        asked = self.time.now
        order = Order(self, self.highest + 1, b"last", 0.0)
        self.time.run(asked + ACK_NS)
        if order.done is None:
            self.truth.fault("no_majority_left", f"the last order has no answer in {ACK_NS // SECOND} s")
        self.time.run(self.time.now + SECOND)
        for box in self.voters():
            held = box.replica.acceptor.held if box.up else None
            if held is not None and held.version < newest:
                self.truth.fault("acked_then_lost", f"{box.address} ends at {held.version} < {newest}")
        for box in self.boxes.values():
            if box.up:
                box.stop(power=False)
            box.medium.gone()
        return self.truth
