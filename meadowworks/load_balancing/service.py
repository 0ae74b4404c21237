"""One service: its controller, fed by figures, and the table of the junction's own zone that comes of it.

Figures are sums over a second: what all junctions of a zone met at a backend, and what was asked of them.
The zone's view is built of the whole zone's figures, so each junction's views stand for the whole service and
all come to nearly the same tables and level.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.fleet.names import Names
from meadowworks.policy import Controller
from meadowworks.policy.interface import Entry, Route, Settings
from meadowworks.registry.backends import BackendInstance
from meadowworks.registry.heartbeats import DRAINING, UP

SECOND = 1_000_000_000
REPORT_NS = SECOND
COLD_NS = 30 * SECOND  # of backends that do not tell how long they are slow
AMPLE = 1e12  # what the channel to a table in the same process bears
SIZE_PART = 0.05  # that a new answer has in what answers are taken to measure
LATE_NS = 3 * SECOND  # figures of the zone older than this are replaced by this junction's own


@dataclass(frozen=True, slots=True)
class Met:
    """At one backend: tries, those that failed, and the mean latency of the good ones in nanoseconds."""

    tries: int
    bad: int
    latency_ns: int
    waiting: float = -1.0  # calls waiting there in the mean; under 0: not told


def settings(zones: int, target_ns: int, cold_ns: int) -> Settings:
    return Settings(
        routes=(Route(1.0, target_ns, False),),
        zones=zones,
        proxies=zones,
        connections=0.0,
        controllers=1,
        by_zone=False,
        subscribe=False,
        ask_within_ns=SECOND,
        only_draining_binds=True,
        probes=False,
        level_kind="share",
        base_retry=1,
        ejects=0,
        report_ns=REPORT_NS,
        fixed_weights=True,
        channel_rate=AMPLE,
        queue_cap=AMPLE,
        head=1.0,
        messages_most=0,
        messages_over_ns=SECOND,
        delay_most_ns=REPORT_NS,
        cold_share=0.1,
        tip=1.0,
        cold_ns=cold_ns,
        slices=0,
        exclusive=False,
        lease_ns=0,
        in_flight_ns=0,
    )


class Service:
    """The controller's host. Zones are in the order given; `mine` is the junction's own."""

    def __init__(
        self, name: str, zones: Sequence[str], mine: str, target_ns: int, seed: int, now: int
    ) -> None:
        self.name, self.zones = name, {zone: place for place, zone in enumerate(zones)}
        self.mine = self.zones[mine]
        self.places = Names()
        self.lines: dict[int, float] = {}  # the table of the own zone
        self.abroad: dict[int, float] = {}  # lines of the other zones' tables to their own backends
        self.level, self.retry = 1.0, 1
        self.size = 0.0  # bytes of an answer, in the mean of late
        self.marked: list[int] = []
        self.cold_ns = COLD_NS
        self.wake_ns = now
        self.states: dict[str, str] = {}
        self.heard_ns: dict[int, int] = {}  # by zone: when figures of it last came
        self.notes: list[str] = []
        self.controller = Controller(self, settings(len(zones), target_ns, COLD_NS), seed, now)
        for place in self.zones.values():
            self.controller.joined(now, place, place, 0.0)

    # -- the controller's host

    def record(self, line: str) -> None:
        self.notes.append(line)

    def track(self, on: bool) -> None:
        pass

    def probe(self, backend: int) -> None:
        pass

    def forget(self, backend: int) -> None:
        if name := self.places.names.get(backend):
            self.states.pop(name, None)
            self.places.free(backend)

    def mark(self, number: int) -> None:
        self.marked.append(number)

    def wake_in(self, wait_ns: int) -> None:
        self.wake_ns += wait_ns

    def set_line(self, table: int, backend: int, weight: float) -> None:
        if table != self.mine:
            known = self.controller.backends.get(backend)
            if known is None or known.zone == table:
                put(self.abroad, backend, weight)
        else:
            put(self.lines, backend, weight)

    def bind(self, routes: int, proxy: int, table: int) -> None:
        pass

    def admit(self, table: int, routes: int, level: float, retry: int) -> None:
        if table == self.mine:
            self.level, self.retry = level, retry

    # -- what happens

    def aims(self, target_ns: int) -> None:
        """The time within which the operator wants this service's answers, as a new configuration says."""
        old = self.controller.set
        self.controller.set = replace(old, routes=(replace(old.routes[0], slo_ns=target_ns),))

    def applied(self, now: int) -> None:
        """Orders within one process are carried out at once."""
        while self.marked:
            self.controller.applied(now, self.marked.pop(0))

    def listed(self, now: int, backends: Iterable[BackendInstance]) -> None:
        """The lives of this service as they are now; only what has changed is handed on."""
        entries, named = [], set()
        for b in backends:
            named.add(b.instance_id)
            if self.states.get(b.instance_id) == b.state or b.zone not in self.zones:
                continue
            if b.warm_at_ns and self.cold_ns == COLD_NS:
                # The backends tell how long they are slow: that takes the place of the usual time.
                self.cold_ns = b.warm_at_ns - b.first_seen_ns
                self.controller.set = replace(self.controller.set, cold_ns=self.cold_ns)
            self.states[b.instance_id] = b.state
            state = {UP: "ready", DRAINING: "draining"}.get(b.state, "gone")
            entries.append(
                Entry(
                    self.places.index(b.instance_id),
                    self.zones[b.zone],
                    state,
                    b.first_seen_ns if b.warm_at_ns else 0,
                    b.capacity,
                )
            )
        for ident in [i for i, state in self.states.items() if i not in named and state != "over"]:
            self.states[ident] = "over"
            place = self.places.index(ident)
            known = self.controller.backends.get(place)
            if known is not None:
                # First draining, so that it is not held as one that the list only misses.
                entries.append(Entry(place, known.zone, "draining", known.since_ns, known.weight))
                entries.append(Entry(place, known.zone, "gone", known.since_ns, known.weight))
        if entries:
            self.controller.listed(now, "changes", entries)
            self.applied(now)

    def heard(self, now: int, zone: int, met: Mapping[str, Met], asked: int, covers_ns: int) -> None:
        """The figures of one zone over a stretch of time."""
        for ident, m in met.items():
            if (place := self.places.places.get(ident)) is not None:
                self.controller.heard(
                    now,
                    zone,
                    place,
                    m.tries,
                    m.bad,
                    m.latency_ns,
                    covers_ns,
                    {} if m.waiting < 0 else {"queue": m.waiting},
                )
        self.controller.asked(now, zone, 0, asked, 0, covers_ns)
        self.heard_ns[zone] = now

    def answered(self, size: int) -> None:
        self.size += SIZE_PART * (size - self.size)

    def late(self, now: int, zone: int) -> bool:
        return now - self.heard_ns.get(zone, 0) > LATE_NS

    def why(self, now: int) -> dict[str, Any]:
        """What the last decisions rest on: calls a second, the parts of weights, and rungs of suspects."""
        c = self.controller
        return {
            "level": self.level,
            "further tries allowed": bool(self.retry),
            "asked": round(c.asking, 2),
            "proven": round(c.proven, 2),
            "zones": {
                zone: {
                    "view": round(view.calls, 2),
                    "asked": round(view.asked, 2),
                    "keeps": round(view.keep, 3),
                    "waiting": round(view.crowd, 2),
                    "jammed": view.jam,
                    "calm": view.calm,
                    "figures_s": round((now - self.heard_ns[k]) / SECOND, 1) if k in self.heard_ns else None,
                }
                for (zone, k), view in zip(self.zones.items(), c.views, strict=True)
            },
            "table": {self.places.names[p]: round(w, 3) for p, w in sorted(self.lines.items())},
            "abroad": {self.places.names[p]: round(w, 3) for p, w in sorted(self.abroad.items())},
            "held back": {
                self.places.names[p]: {"rung": b.rung, "part": round(c.part(now, b), 3), "ready": b.ready}
                for p, b in c.backends.items()
                if p in self.places.names and (b.rung or not b.ready or c.part(now, b) < 1)
            },
        }

    def tick(self, now: int) -> None:
        if now >= self.wake_ns:
            self.wake_ns = max(self.wake_ns, now - REPORT_NS)
            self.controller.tick(now)
            self.applied(now)


def put(lines: dict[int, float], backend: int, weight: float) -> None:
    if weight > 0:
        lines[backend] = weight
    else:
        lines.pop(backend, None)
