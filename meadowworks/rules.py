"""All decisions of a meadowworks controller.

An adapter builds a `Controller`, hands it a host (`meadowworks/host.py` holds that and all types) and calls
one method for each thing that happens, with the clock in nanoseconds. It acts by calling the host.
"""

from __future__ import annotations

import heapq
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from statistics import median

from meadowworks.host import Entry, Host, Settings

SECOND = 1_000_000_000
TOLERANCE, LEAST_CUT, GAIN, CAP = 2.0, 0.5, 0.1, 2.0  # the design's (docs/design/): of a view
# Latency under this part of the SLO time is none to throttle for; the baseline is the lowest of this window.
SLO_PART, WINDOW_NS = 0.5, 30 * SECOND
JAM, CALM = (0.08, 0.02), 3.0  # dropped share that jams a zone, and ends it; times as much if none is avoided
PROVEN, PROVEN_CALM = 0.4, 0.8  # parts of the best throughput that a budget keeps; the latter in calm
FLOOR, LEVEL_STEP, LINE_STEP = 0.1, 0.05, 0.1  # the least level; the least moves of a level and of a weight
PACE_NS, FRESH_NS = SECOND, 5 * SECOND  # between ordinary orders to a zone; before a controller's first level
OPEN_RATE = 1e6  # calls a second that no proxy has; as a level, an open one where levels are rates
SPILL_AT, SPILL_STEP, CROWD = 0.85, 0.1, 1.0  # part of its fair room, and calls waiting, to send some abroad
NET, NET_MOST = 2.0, 0.25  # weight abroad beside cold servers, as a part of theirs, and of a table's
BEAR = 0.8  # part of what tips a cold server that its table may bring it: calls come unevenly
# Part of the connections servers accept that a zone's proxies may take; a split's least servers and weight.
CONNECTIONS, LEAST_LINES, SPLIT_LEAST = 0.8, 3, 0.75
# A new server enters at a tenth and rises in steps of its cold time, to a part of the least it can do.
ENTRY, RAMP, RAMP_PART = 0.1, (0.1, 0.25, 0.45, 0.7, 0.9), 0.9

TICKS_A_REPORT, STALL_TICKS = 2, 3  # half a report is the longest wait for news; a turn this late was held up
CHANNEL_TRUST, MARKS = (0.5, 0.33), 65536  # of its rate: by urgent orders; by the rest. Numbers of marks
KEEP_DRAIN, KEEP_JOIN, KEEP_USUAL = 0.1, 0.3, 0.5  # parts of the caps that orders of a kind leave free
ASK_PART, ASK_MOST = 0.05, 0.4  # waits after a list call failed, of the time to ask within: first, longest

HALF_REPORTS, LN2 = 2.0, 0.6931  # what was heard counts half after so many reports; its sum over that time
ILL, DEAD = 0.15, 0.6  # dropped share above the fleet's median that costs a rung, or all of them
LEAST_TRIES, LEAST_QUEUE = 6.0, 2.0  # heard before a verdict; with less waiting a server is not what dawdles
SLOW = 1.7  # times the fleet's median latency that costs a rung, if it is too near the SLO time as well
RUNGS, LAST = (1.0, 0.7, 0.5, 0.35, 0.2, 0.1, 0.01), 6  # parts of its listed weight that a suspect keeps
# Reports until a verdict has shown (and an order's way), a rung is won back, one called gone is looked at.
VERDICT_REPORTS, CLIMB_REPORTS, RECHECK = 5.0, 8.0, 4.0
SILENT, HASTE = 0.95, 0.2  # dropped share of one that answers nothing, and its part of that wait


@dataclass(slots=True)
class Met:  # tries of late, fading
    tries: float = 0.0
    bad: float = 0.0
    spent: float = 0.0  # latency of the good ones, summed
    when_ns: int = 0

    def add(self, now: int, half_ns: float, tries: int, bad: int, latency_ns: int) -> None:
        fade = 0.5 ** ((now - self.when_ns) / half_ns)
        self.tries, self.bad, self.when_ns = self.tries * fade + tries, self.bad * fade + bad, now
        self.spent = self.spent * fade + latency_ns * (tries - bad)


@dataclass(slots=True)
class Backend:
    zone: int
    weight: float
    since_ns: int
    split: int  # of its zone
    ready: bool = False
    lost: bool = False  # held although the list lacks it, see hold()
    gone_ns: int = 0  # since when the list lacks it
    rung: int = 0
    moved_ns: int = 0  # when its rung last changed
    met: Met = field(default_factory=Met)
    queue: float = -1.0  # calls waiting there, as it reports; under 0: it does not say


@dataclass(slots=True)
class Proxy:
    zone: int
    weight: float  # its usual calls a second
    split: int
    bound: bool = False
    sent: deque[int] = field(default_factory=deque)  # when messages went to it, newest last
    asked: dict[int, tuple[float, float]] = field(default_factory=dict)  # by route: calls a second, half-life


@dataclass(slots=True)
class View:  # what one zone of proxies makes of the backends all together
    calls: float = -1.0  # under 0: nothing heard yet
    lows: deque[tuple[int, float]] = field(default_factory=deque)  # (when, latency), see lowest()
    lines: dict[int, tuple[float, float, int]] = field(default_factory=dict)  # good a second, latency, until
    fresh: bool = False
    grants: list[tuple[float, int]] = field(default_factory=list)  # level and further tries by route
    calm: bool = True  # heard latency is fair
    met: Met = field(default_factory=Met)
    ways: dict[int, Met] = field(default_factory=dict)  # tries by the backend's zone
    jam: bool = False  # too many of the zone's tries fail, see JAM
    keep: float = 1.0  # the part of its calls that the zone keeps, and parts of weight elsewhere, by zone
    abroad: list[float] = field(default_factory=list)
    crowd: float = 0.0  # calls waiting at a server of the zone, in the mean
    full: float = 0.0  # the most weight that the zone's ready servers ever had
    asked: float = 0.0  # calls a second that its proxies let in
    frail: bool = False  # jammed, and its cold servers do not bear what may come


@dataclass(slots=True)
class Pool:  # a zone's servers as its tables may name them in this turn, whatever the split
    ready: dict[int, Backend]
    own: dict[int, Backend]
    warm: dict[int, Backend]
    weights: dict[int, float]
    whole: float  # weight of its own


class Controller:
    def __init__(self, host: Host, settings: Settings, seed: int, now_ns: int) -> None:
        self.host, self.set, self.seed = host, settings, seed
        self.count = self.failures = self.mark = self.marked_ns = 0
        self.born_ns = self.blind_ns = self.ticked_ns = now_ns
        self.backends: dict[int, Backend] = {}
        self.proxies: dict[int, Proxy] = {}
        homes = [k for k, r in enumerate(settings.routes) if r.home_only]
        usual = [k for k in range(len(settings.routes)) if k not in homes]
        # One table a zone; routes confined to their zone have another beside it, never filled from outside.
        groups = [(sum(1 << k for k in part), part is homes) for part in (usual, homes) if part]
        held = CONNECTIONS * settings.connections * settings.zones or settings.proxies or 1
        self.splits = max(1, -int(-settings.proxies // held))
        self.paced = [-SECOND] * (cells := settings.zones * self.splits)
        self.cells = [[(c * len(groups) + k, *g) for k, g in enumerate(groups)] for c in range(cells)]
        self.tables: list[dict[int, float]] = [{} for cell in self.cells for _ in cell]
        self.levels: list[dict[int, tuple[float, int]]] = [{} for _ in self.tables]
        # The way of trying again goes with the first table, at a line; later it costs each proxy a message.
        grant = OPEN_RATE if settings.level_kind == "rate" else 1.0, 1
        self.views = [View(grants=[grant] * len(settings.routes)) for _ in range(settings.zones)]
        self.best: deque[tuple[int, float]] = deque()  # (when, -throughput of a weight), see lowest()
        self.slo_ns = max(float(r.slo_ns) for r in settings.routes)  # the mean over the calls heard
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.queue, self.sent, self.asking, self.proven, self.queue_ns = [0.0, 0.0], 0.0, 0.0, 0.0, now_ns
        self.marks: deque[tuple[int, int, float, float]] = deque()  # out: number, due, sent before, a message
        self.passed, self.answering = 0.0, (-1, 0.0)  # lines that have left the channel; the mark that tells
        self.slices: dict[int, dict[int, float]] = {}
        self.moving: dict[int, int] = {}  # slices whose owner is gone, and when the next may follow
        self.half_ns, self.climb_ns = HALF_REPORTS * settings.report_ns, CLIMB_REPORTS * settings.report_ns
        self.tick_ns = settings.report_ns // TICKS_A_REPORT
        host.wake_in(self.tick_ns)
        if settings.subscribe:
            host.track(True)

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32

    def later(self, when_ns: int, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (when_ns, self.count, act))

    def take(self, now: int, users: Sequence[Proxy], lines: int, keep: float, rest: int = -1) -> int:
        """Takes room in queue and caps for lines to each user, and leaves some; with a rest, a part does."""
        gone, self.queue_ns = (now - self.queue_ns) / SECOND * self.set.channel_rate, now
        # Guards against a channel slower than stated: from a mark on that is overdue, all still waits.
        self.marks = deque(m for m in self.marks if m[1] >= now - WINDOW_NS)
        stuck = max((self.sent - before for _, due, before, _ in self.marks if due < now), default=0.0)
        self.queue = [max(stuck, q - gone * t) for q, t in zip(self.queue, CHANNEL_TRUST, strict=True)]
        fresh = [p for p in users if not p.sent or p.sent[-1] != now]  # others have a message in this reply
        for proxy in fresh:
            while proxy.sent and proxy.sent[0] <= now - self.set.messages_over_ns:
                proxy.sent.popleft()
            if self.set.messages_most and len(proxy.sent) + 1 > self.set.messages_most * (1 - keep):
                return 0
        part, rest = rest >= 0, max(0, rest)
        least = min(lines or rest, max(1, int(self.set.head)))  # fewer are not worth their heads
        heads = self.set.head * len(fresh)
        # Guards against ordinary orders that wait in the channel for longer than the next of their zone take
        # to come, and all that is urgent behind them.
        out = min(self.queue[1], self.sent - self.passed)
        if keep == KEEP_USUAL and out and out + heads > PACE_NS / SECOND * self.set.channel_rate:
            return 0
        if users:
            wait = stuck > 0 and now - self.marked_ns < FRESH_NS  # the next mark may be answered
            kept = zip((keep, max(wait, KEEP_USUAL)), self.queue, strict=True)
            most, usual = (int((self.set.queue_cap * (1 - k) - q - heads) / len(users)) for k, q in kept)
            rest = min(rest, max(0, usual - lines)) if lines <= most else most - lines
            if lines + rest < least or lines > most and not part:
                return 0
        cost = (lines + rest) * len(users) + heads + len(fresh)  # a mark each
        if fresh and self.marked_ns != now:
            self.marked_ns, self.mark = now, (self.mark + 1) % MARKS
            due = now + int(cost / self.set.channel_rate * SECOND) + self.set.report_ns
            self.marks.append((self.mark, due + self.set.delay_most_ns, self.sent, cost / len(fresh)))
            self.host.mark(self.mark)
        self.sent, self.queue = self.sent + cost, [q + cost for q in self.queue]
        for proxy in fresh:
            proxy.sent.append(now)
        return lines + rest

    def applied(self, now: int, mark: int) -> None:
        while any(m[0] == mark for m in self.marks):  # what was sent before has left the channel
            _, _, self.passed, each = self.marks.popleft()
            self.answering = mark, each
        self.passed += self.answering[1] * (mark == self.answering[0])  # and so has this message

    def listed(self, now: int, how: str, entries: Sequence[Entry]) -> None:
        if how == "error":  # the old list stands; ask again, each time later and never all at once
            wait = min(ASK_MOST, ASK_PART * 2**self.failures) * self.set.ask_within_ns
            self.failures += 1
            return self.later(now + int(wait * (0.5 + self.chance())), partial(self.host.track, True))
        self.failures = 0
        if how != "changes":
            named = {entry.backend for entry in entries}
            for place in self.backends:
                if place not in named:
                    self.hold(place)
        for entry in entries:
            if entry.backend not in self.backends:
                split = self.lightest(entry.zone, [b for b in self.backends.values() if b.ready])
                self.backends[entry.backend] = Backend(entry.zone, entry.weight, entry.since_ns, split)
            known = self.backends[entry.backend]
            if entry.since_ns > known.since_ns:  # a start, under whatever name: what was known is void
                known.since_ns, known.rung, known.met = entry.since_ns, 0, Met()
            known.zone, known.weight = entry.zone, entry.weight if self.set.fixed_weights else known.weight
            if entry.state == "gone":
                self.hold(entry.backend)
            else:
                known.ready, known.lost, known.gone_ns = entry.state == "ready", False, 0
        self.settle(now)

    def hold(self, place: int, again: bool = False) -> None:  # guards against a list that is wrong
        b = self.backends[place]
        b.gone_ns = b.gone_ns or self.ticked_ns
        if not b.ready or b.lost != again:
            return
        b.ready = b.lost = self.set.only_draining_binds and (self.set.probes or b.rung < LAST)
        if b.lost:
            self.later(self.ticked_ns + int(RECHECK * self.set.report_ns), partial(self.hold, place, True))
            if self.set.probes:
                self.host.probe(place)

    def lightest(self, zone: int, held: Iterable[Backend | Proxy]) -> int:
        weighs = [0.0] * self.splits
        for h in held:
            if h.zone == zone:
                weighs[h.split] += max(h.weight, 1e-3)
        return min(range(self.splits), key=weighs.__getitem__)

    def probed(self, now: int, place: int, answered: bool) -> None:
        if (b := self.backends.get(place)) and b.lost and not answered:
            b.ready = b.lost = False
            self.settle(now)

    def part(self, now: int, backend: Backend) -> float:  # of its listed weight: less while new or suspect
        age = (now - backend.since_ns) / self.set.cold_ns if backend.since_ns else 1.0
        step = max((start for start in RAMP if age >= start), default=0.0)
        least = self.set.cold_share + (1 - self.set.cold_share) * step
        return RUNGS[backend.rung] * (1.0 if step == RAMP[-1] else RAMP_PART * least if step else ENTRY)

    def balance(self, now: int) -> None:
        """Guards against a zone that loses servers, has cold or suspect ones, or meets far more calls."""
        own = (now - self.born_ns >= FRESH_NS) / (self.set.controllers if self.set.by_zone else 1)
        room, listed, asked = ([least] * self.set.zones for least in (0.0, 1e-9, 1e-9))
        waits: list[list[float]] = [[] for _ in room]
        cold, bear = [0.0] * len(room), [0.0] * len(room)  # of the room; what that can do
        for b in self.backends.values():
            if b.ready:
                listed[b.zone] += b.weight
                room[b.zone] += (weight := b.weight * self.part(now, b))
                waits[b.zone].append(max(0.0, b.queue))
                cold[b.zone] += weight * (new := self.cold(now, b))
                bear[b.zone] += weight * new / RUNGS[b.rung]
        for view, queues in zip(self.views, waits, strict=True):
            view.crowd = sum(queues) / max(1, len(queues))
        hot = [0.0] * self.set.zones
        for view in self.views:
            view.asked = 0.0
        for number, proxy in self.proxies.items():
            asked[proxy.zone] += (rate := self.calls(number))
            hot[proxy.zone] += rate * rate
            view = self.views[proxy.zone]
            levels = [min(1.0, level) for level, _ in view.grants]
            view.asked += sum(levels[k] * r for k, (r, _) in proxy.asked.items()) or rate
        if not sum(room):
            return
        need = [own * asked[z] / sum(asked) + (1 - own) * listed[z] / sum(listed) for z in range(len(room))]
        spare = [max(0.0, r / sum(room) - n) for r, n in zip(room, need, strict=True)]
        for zone, view in enumerate(self.views):
            share = view.met.bad / max(view.met.tries, LEAST_TRIES) / (1 if self.set.ejects else CALM)
            if share > JAM[0] if not view.jam else share < JAM[1]:
                view.jam = not view.jam
                self.host.record(f"zone {zone} " + ("jammed" if view.jam else "no longer jammed"))
            view.full = max(view.full, listed[zone])
            # Guards against pushing over a cold server in a jam, unless the cold bear what may come: their
            # part by weight, or that of the calls whose proxies may be avoiding the warm.
            share = max(self.shunned(view, zone, hot[zone] / asked[zone]), cold[zone] / max(room[zone], 1e-9))
            most = max(self.asking, PROVEN * self.proven) * view.full * share
            view.frail = view.jam and self.set.tip * bear[zone] * self.proven < most
            # Uneven calls alone, with none waiting, are the zone's own; a spill once begun ends later.
            strained = view.crowd >= CROWD or not view.calm or view.jam
            short = strained or view.keep < 1.0 or room[zone] <= SPILL_AT * view.full
            keep = room[zone] / sum(room) / need[zone]
            end = SPILL_AT + (SPILL_STEP if view.keep < 1.0 else 0.0)
            keep = min(keep, SPILL_AT) if short and keep <= end else 1.0
            # Guards against a zone that has room by its weight and none by its queues.
            free = [s / max(1.0, self.views[z].crowd / max(CROWD, view.crowd)) for z, s in enumerate(spare)]
            keep = 1 - (1 - keep) * (sum(free) - free[zone]) / max(sum(spare) - spare[zone], 1e-9)
            if abs(keep - view.keep) <= SPILL_STEP * view.keep and (keep < 1.0 or view.keep == 1.0):
                continue
            self.host.record(f"zone {zone} " + ("keeps calls" if keep == 1.0 else "sends calls abroad"))
            excess = room[zone] * (1 - keep) / max(keep, RUNGS[-1]) / max(sum(free) - free[zone], 1e-9)
            view.keep = keep
            view.abroad = [excess * s / max(r, 1e-9) for s, r in zip(free, room, strict=True)]

    def shunned(self, view: View, zone: int, rate: float) -> float:
        """The part of a zone's calls that may go round its warm servers. A call's proxy has so many a second,
        and avoids a server once `ejects` tries in a row have failed there, for a cold time at the longest."""
        drops = min(1 - 1e-9, view.met.bad / max(view.met.tries, LEAST_TRIES))
        in_row = drops ** self.set.ejects if self.set.ejects else 0.0
        run = (1 - in_row) / (1 - drops)  # tries until so many in a row have failed, times in_row
        cells = self.cells[zone * self.splits : (zone + 1) * self.splits]
        lines = max(len(self.tables[table]) for cell in cells for table, _, _ in cell)
        met = rate / max(1, lines) * self.set.cold_ns / SECOND * in_row
        return met / (met + run)

    def poor(self, zone: int, far: int) -> bool:  # guards against a slow or lossy link, not full servers
        home, away = self.views[zone].ways.get(zone, Met()), self.views[zone].ways.get(far, Met())
        told = min(home.tries, away.tries) >= LEAST_TRIES and self.views[far].crowd < LEAST_QUEUE
        late = away.spent / max(away.tries - away.bad, 1) - home.spent / max(home.tries - home.bad, 1)
        return told and (away.bad / away.tries - home.bad / home.tries > ILL or late > SLO_PART * self.slo_ns)

    def pool(self, now: int, zone: int, home: bool) -> Pool:
        far = {z for z in range(self.set.zones) if z != zone and self.poor(zone, z)}
        all_ready = {p: b for p, b in self.backends.items() if b.ready and (b.zone == zone or not home)}
        ready = {p: b for p, b in all_ready.items() if b.zone not in far} or all_ready
        weights = {p: max(b.weight, 1e-3) * self.part(now, b) for p, b in ready.items()}
        warm = {p: b for p, b in ready.items() if not self.cold(now, b)}
        ready = warm if warm and self.shut(now, self.views[zone]) else ready
        own = {p: b for p, b in ready.items() if b.zone == zone} or ready
        return Pool(ready, own, warm, weights, sum(weights[p] for p in own))

    def wanted(self, now: int, zone: int, split: int, pool: Pool) -> dict[int, float]:
        view, ready, own, weights = self.views[zone], pool.ready, pool.own, pool.weights
        # Guards against more connections than servers accept: its own, and of the next ones to its share.
        lines: dict[int, float] = {}
        share = SPLIT_LEAST * pool.whole / self.splits
        for p in sorted(own, key=lambda p: ((own[p].split - split) % self.splits, p)):
            if own[p].split == split or len(lines) < LEAST_LINES or sum(lines.values()) < share:
                lines[p] = weights[p]
        if view.keep < 1.0 and len(own) < len(ready):
            lines.update((p, weights[p] * view.abroad[b.zone]) for p, b in ready.items()
                         if b.zone != zone and b.split == split and view.abroad[b.zone] > 0)
        # Guards against pushing over a cold server when the warm ones beside it go off at one stroke, and
        # where a table's servers are too few for its calls: some go abroad, however busy it is there.
        total, frail = sum(lines.values()), sum(w for p, w in lines.items() if self.cold(now, ready[p]))
        net = {p: weights[p] for p, b in pool.warm.items()
               if b.split == split and (p not in lines or p not in own)}
        most, lack = sum(net.values()), min(NET * frail, NET_MOST * total)
        lack -= sum(lines[p] for p in lines if p not in own)
        if frail and self.proven > 0:
            bear = BEAR * self.set.tip * -self.best[0][1]  # calls a second at a weight of 1
            lack = max(lack, min(most, view.asked / self.splits / bear - total))
        return lines | {p: lines.get(p, 0.0) + lack * w / most for p, w in net.items() if lack > 0}

    def shut(self, now: int, view: View) -> bool:  # to cold servers: what happens to them is heard too late
        return view.frail or now - self.blind_ns < FRESH_NS

    def cold(self, now: int, backend: Backend) -> bool:
        return now - backend.since_ns < self.set.cold_ns

    def settle(self, now: int) -> None:  # brings tables to what is wanted; what must go leaves at once
        if self.set.slices:
            return self.settle_slices(now)
        self.balance(now)
        pools: dict[tuple[int, bool], Pool] = {}
        bound: dict[tuple[int, int], list[Proxy]] = {}
        for p in self.proxies.values():
            if p.bound:
                bound.setdefault((p.zone, p.split), []).append(p)
        for cell in sorted(range(len(self.paced)), key=self.paced.__getitem__):  # none starves another
            zone, split = divmod(cell, self.splits)
            shut = self.shut(now, self.views[zone])
            levels: dict[tuple[int, tuple[float, int]], int] = {}
            todo: list[tuple[int, float, int, int, float]] = []  # rank, then the less the sooner; the line
            for table, routes, home in self.cells[cell]:
                for k, (level, retry) in enumerate(self.views[zone].grants):
                    grant = level, 0 if self.views[zone].jam else retry  # further tries feed a jam
                    if routes >> k & 1 and self.levels[table].get(k, (1.0, self.set.base_retry)) != grant:
                        levels[table, grant] = levels.get((table, grant), 0) | 1 << k
                if (zone, home) not in pools:
                    pools[zone, home] = self.pool(now, zone, home)
                have, want = self.tables[table], self.wanted(now, zone, split, pools[zone, home])
                moved = {p: w for p, w in want.items() if abs(have.get(p, 0.0) - w) > LINE_STEP * w}
                first = 2 if any(p in want for p in have) else 0
                # Guards against a server that restarts under its name and keeps a warm one's weight: it is
                # eased as soon as what drains leaves.
                held = {p: have.get(p, 0.0) for p in moved}
                eased = {p for p, w in moved.items() if held[p] > w and self.cold(now, self.backends[p])}
                todo += [(min(first, 1) if p in eased else first, -abs(held[p] - w), table, p, w)
                         for p, w in moved.items()]
                off = [(p, w, self.backends[p]) for p, w in have.items() if p not in want]
                # A cold one leaves at once where it may be pushed over; else it costs no message of its own.
                todo += [(1 if not b.ready or self.cold(now, b) and (shut or w > b.weight * self.part(now, b))
                          else 2, -w, table, p, 0.0) for p, w, b in off]
            # Guards against an order larger than the channel: first a line before the last leaves, then what
            # must leave (or is cold in a jam), levels, the greatest changes; more later.
            todo.sort()
            ahead = sum(rank < 2 for rank, *_ in todo)
            users = bound.get((zone, split), [])
            if not todo and not levels or users and not ahead and now - self.paced[cell] < PACE_NS:
                continue
            keep, rest = KEEP_DRAIN if ahead else KEEP_USUAL, len(todo) - ahead + len(levels)
            fit = self.take(now, users, ahead, keep, rest)
            self.paced[cell] = now if users and fit else self.paced[cell]
            if fit >= ahead + len(levels):
                fit -= len(levels)
                for (table, grant), mask in levels.items():
                    self.host.admit(table, mask, *grant)
                    self.levels[table].update((k, grant) for k in range(mask.bit_length()) if mask >> k & 1)
            for _, _, table, place, weight in todo[:fit]:
                self.host.set_line(table, place, weight)
                self.tables[table][place] = weight
                if not weight:
                    del self.tables[table][place]

    def joined(self, now: int, number: int, zone: int, usual: float) -> None:
        self.proxies[number] = Proxy(zone, usual, self.lightest(zone, self.proxies.values()))
        self.bind(now, number)

    def bind(self, now: int, number: int) -> None:
        proxy = self.proxies[number]
        tables = self.cells[proxy.zone * self.splits + proxy.split]
        if self.set.slices or proxy.bound or not any(self.tables[t] for t, _, _ in tables):
            return
        lines = sum(1 + len(self.tables[t]) + len(self.levels[t]) for t, _, _ in tables)
        if self.take(now, [proxy], lines, KEEP_JOIN):
            proxy.bound = True
            for table, routes, _ in tables:
                self.host.bind(routes if len(tables) > 1 else 0, number, table)

    def calls(self, number: int) -> float:  # a second, of late; its usual ones till it has been heard
        proxy = self.proxies[number]
        return sum(rate for rate, _ in proxy.asked.values()) or proxy.weight

    def left(self, now: int, number: int) -> None:
        self.proxies.pop(number, None)

    def odd(self, covers_ns: int, latency_ns: int, *counts: float) -> bool:  # guards against spoilt reports
        return not 0 < covers_ns <= WINDOW_NS or latency_ns > WINDOW_NS or max(counts) > OPEN_RATE

    def heard(self, now: int, zone: int, place: int, tries: int, bad: int, latency_ns: int, covers_ns: int,
              load: dict[str, float]) -> None:
        backend, view = self.backends.get(place), self.views[zone]
        if backend is None or self.odd(covers_ns, latency_ns, tries, load.get("queue", 0)):
            return
        backend.met.add(now, self.half_ns, tries, bad, latency_ns)
        if backend.ready:  # guards against a release taken for a jam: what drains turns calls away
            view.ways.setdefault(backend.zone, Met()).add(now, self.climb_ns, tries, bad, latency_ns)
            view.met.add(now, self.half_ns / 2, tries, bad, latency_ns)  # many tries: a jam is told sooner
        backend.queue = load.get("queue", backend.queue)
        # Only good answers count, so quick errors lift nothing; late bundles are no jump.
        until, rate = now + 2 * max(covers_ns, self.set.report_ns), (tries - bad) * SECOND / covers_ns
        view.lines[place] = rate, latency_ns, until
        view.fresh = True

    def asked(self, now: int, number: int, route: int, calls: int, dropped: int, covers_ns: int) -> None:
        proxy = self.proxies.get(number)
        if proxy is not None and not self.odd(covers_ns, 0, calls):
            # Counts fade with time: no line tells of long idle time, nor of a proxy that is cut off.
            half = float(max(self.set.report_ns, covers_ns))
            old = proxy.asked.get(route, (calls * (SECOND / covers_ns - LN2 * SECOND / half), 0))[0]
            proxy.asked[route] = old + calls * LN2 * SECOND / half, half

    def tick(self, now: int) -> None:
        self.host.wake_in(self.tick_ns)
        if now - self.ticked_ns > STALL_TICKS * self.tick_ns:
            self.blind_ns = now  # it stood still, and may again: what happens next is heard late
            self.host.record("stood still")
        for p in self.proxies.values():
            p.asked = {k: (r * 2 ** ((self.ticked_ns - now) / h), h) for k, (r, h) in p.asked.items()}
        self.ticked_ns = now
        while self.due and self.due[0][0] <= now:
            heapq.heappop(self.due)[2]()
        if not self.set.slices:
            self.judge(now)
            self.spend(now)
        self.settle(now)
        for number in self.proxies:
            self.bind(now, number)

    def judge(self, now: int) -> None:  # down a rung for what drops or dawdles; if all are ill, none is
        for p, b in list(self.backends.items()):
            b.met.add(now, self.half_ns, 0, 0, 0)  # what is not heard fades, or a silent suspect stays one
            if 0 < b.gone_ns < now - WINDOW_NS and not b.ready and all(p not in t for t in self.tables):
                del self.backends[p]  # guards against a memory of all that ever were
                self.host.forget(p)
        heard = [b.met for b in self.backends.values() if b.ready and b.met.tries >= LEAST_TRIES]
        usual = median(m.bad / m.tries for m in heard) if heard else 0.0
        waits = [m.spent / (m.tries - m.bad) for m in heard if m.tries - m.bad >= 1]
        slow = max(SLOW * median(waits), SLO_PART * self.slo_ns) if waits else 0.0
        wait = VERDICT_REPORTS * self.set.report_ns + self.set.delay_most_ns
        for place, b in self.backends.items():
            share = b.met.bad / b.met.tries - usual if b.met.tries >= LEAST_TRIES else 0.0
            silent = b.met.bad > SILENT * b.met.tries
            if not b.ready or now - b.moved_ns < (HASTE if silent else 1) * wait:
                continue
            good = b.met.tries - b.met.bad
            slower = good >= LEAST_TRIES and b.met.spent / good >= slow and not 0 <= b.queue < LEAST_QUEUE
            full = b.queue >= LEAST_QUEUE and not silent
            rung = b.rung - (now - b.moved_ns >= self.climb_ns)
            if share >= ILL and not full or slower:
                rung = LAST if share >= DEAD and not full else b.rung + 1
            if min(LAST, max(0, rung)) != b.rung:
                b.rung, b.moved_ns, b.met = rung, now, Met()
                self.host.record(f"suspect {place} on rung {rung}")

    def lowest(self, now: int, seen: deque[tuple[int, float]], value: float) -> float:
        while seen and seen[-1][1] >= value:
            seen.pop()
        seen.append((now, value))
        while seen[0][0] < now - WINDOW_NS:
            seen.popleft()
        return seen[0][1]

    def estimate(self, now: int) -> list[float]:  # calls a second for each zone: the median of the views
        for view in self.views:
            view.lines = {p: line for p, line in view.lines.items() if line[2] > now}
        total = sum(rate for view in self.views for rate, _, _ in view.lines.values())
        for view in self.views:
            good = sum(rate for rate, _, _ in view.lines.values())
            if view.fresh and good > 0:
                view.fresh = False
                latency = sum(rate * lag for rate, lag, _ in view.lines.values()) / good
                base = self.lowest(now, view.lows, latency)
                cut = max(TOLERANCE * base, SLO_PART * self.slo_ns) / max(latency, 1)
                view.calm = cut >= 1
                old = view.calls if view.calls >= 0 else CAP * total
                view.calls = min(CAP * total, old * min(1.0, max(LEAST_CUT, cut)) + GAIN * total)
        # What was answered lately can be answered again: guards against a level that feeds on itself.
        weight = sum(b.weight for b in self.backends.values() if b.ready) + 1e-9
        self.proven = -self.lowest(now, self.best, -total / weight) * weight
        # Guards against one zone's jam that starves the calm ones, and their ease that feeds it.
        heard = [v for v in self.views if v.calls >= 0]
        torn = any(v.jam for v in heard) and any(v.calm and not v.jam for v in heard)
        fold, budgets = median(v.calls for v in heard) if heard else -1.0, []
        for view in self.views:
            part = PROVEN_CALM if (view.calm if torn else all(v.calm for v in self.views)) else PROVEN
            mine = (fold + view.calls) / 2 if torn and view.jam else max(fold, torn * view.calls)
            budgets.append(max(mine, part * self.proven) if heard else -1.0)
        return budgets

    def spend(self, now: int) -> None:
        routes = self.set.routes
        each = [[p.asked.get(k, (0.0, 0))[0] for p in self.proxies.values()] for k in range(len(routes))]
        asked = [sum(rates) + 1e-9 for rates in each]
        self.asking = sum(asked)
        self.slo_ns = sum(a * r.slo_ns for a, r in zip(asked, routes, strict=True)) / self.asking
        budgets = self.estimate(now)
        if now - self.born_ns < FRESH_NS or min(budgets) < 0:
            return
        for view, left in zip(self.views, budgets, strict=True):
            view.grants = [(1.0, 1)] * len(routes)
            for importance in sorted({r.importance for r in routes}, reverse=True):
                same = [k for k, r in enumerate(routes) if r.importance == importance]
                calls = sum(asked[k] for k in same)
                level = max(FLOOR, min(1.0, left / calls))
                left = max(0.0, left - level * calls)
                for k in same:
                    view.grants[k] = round(level / LEVEL_STEP) * LEVEL_STEP, 1
                    if self.set.level_kind == "rate":  # calls a second at each proxy
                        most = float(f"{level * max(each[k], default=0.0):.1g}") + 1
                        view.grants[k] = OPEN_RATE if level >= 1 else most, 1

    def slice_given(self, now: int, number: int, on: bool) -> None:
        self.slices.pop(number, None)
        self.moving.pop(number, None)
        if on:
            self.slices[number] = {}

    def slice_line(self, now: int, number: int, place: int, weight: float) -> None:
        if number in self.slices:
            self.slices[number][place] = weight

    def settle_slices(self, now: int) -> None:  # an owner is followed only once its writes are done
        users = list(self.proxies.values())
        ready = [p for p, b in self.backends.items() if b.ready]
        warm = [p for p in ready if not self.cold(now, self.backends[p])] or ready
        for number, lines in self.slices.items():
            bad, retry = [p for p in lines if p not in ready], min(self.set.base_retry, 1)
            waits = self.set.exclusive and bad and now < self.moving.get(number, now + 1)
            if not warm or lines and not bad or waits and number in self.moving:
                continue
            if not self.take(now, users, len(bad) + 2, KEEP_DRAIN):
                return
            if waits:  # first nothing goes to the former owner, later all to the next
                self.moving[number] = now + self.set.lease_ns + self.set.in_flight_ns + self.set.delay_most_ns
                self.host.admit(number, 0, 0.0, retry)
                continue
            if len(bad) == len(lines):
                lines[place := warm[int(self.chance() * len(warm))]] = 1.0
                self.host.set_line(number, place, 1.0)
            for place in bad:
                del lines[place]
                if not self.set.exclusive:
                    self.host.set_line(number, place, 0.0)
            if self.moving.pop(number, None):
                self.host.admit(number, 0, 1.0, retry)
