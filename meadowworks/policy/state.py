"""What the decisions rest on: backends, proxies, views by zone, and the controller's own clock and chance."""

import heapq
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from meadowworks.policy.interface import Host, Settings

SECOND = 1_000_000_000
WINDOW_NS = 30 * SECOND  # of baselines, and of what is remembered
PACE_NS, FRESH_NS = SECOND, 5 * SECOND  # between ordinary orders to a zone; before a controller's first level
OPEN_RATE = 1e6  # calls a second that no proxy has; as a level, an open one where levels are rates
CONNECTIONS = 0.8  # part of those servers accept that a zone's proxies may take
# A new server enters at a tenth and rises in steps of its cold time, to a part of the least it can do.
ENTRY, RAMP, RAMP_PART = 0.1, (0.1, 0.25, 0.45, 0.7, 0.9), 0.9
TICKS_A_REPORT = 2  # half a report is the longest wait for news
HALF_REPORTS, CLIMB_REPORTS = 2.0, 8.0  # what was heard counts half after so many; until a rung is won back
RUNGS, LAST = (1.0, 0.7, 0.5, 0.35, 0.2, 0.1, 0.01), 6  # parts of its listed weight that a suspect keeps


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
class ZoneView:  # what one zone of proxies makes of the backends all together
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


class ControllerState:
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
        self.views = [ZoneView(grants=[grant] * len(settings.routes)) for _ in range(settings.zones)]
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
        host.set_timer(self.tick_ns)
        if settings.subscribe:
            host.watch_list(True)

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32

    def later(self, when_ns: int, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (when_ns, self.count, act))

    def lightest(self, zone: int, held: Iterable[Backend | Proxy]) -> int:
        weighs = [0.0] * self.splits
        for h in (one for one in held if one.zone == zone):
            weighs[h.split] += max(h.weight, 1e-3)
        return min(range(self.splits), key=weighs.__getitem__)

    def part(self, now: int, backend: Backend) -> float:  # of its listed weight: less while new or suspect
        age = (now - backend.since_ns) / self.set.cold_ns if backend.since_ns else 1.0
        step = max((start for start in RAMP if age >= start), default=0.0)
        least = self.set.cold_share + (1 - self.set.cold_share) * step
        return RUNGS[backend.rung] * (1.0 if step == RAMP[-1] else RAMP_PART * least if step else ENTRY)

    def cold(self, now: int, backend: Backend) -> bool:
        return now - backend.since_ns < self.set.cold_ns

    def calls(self, number: int) -> float:  # a second, of late; its usual ones till it has been heard
        proxy = self.proxies[number]
        return sum(rate for rate, _ in proxy.asked.values()) or proxy.weight
