"""A host that notes what the policy orders, and settings of a small made-up deployment."""

from __future__ import annotations

from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry, Route, Settings

SECOND = 1_000_000_000


ROUTES = (Route(2.0, SECOND, False), Route(1.0, SECOND, False), Route(2.0, SECOND, False))


SETTINGS = Settings(
    routes=ROUTES,
    zone_count=2,
    proxy_count=40,
    backend_connections=0.0,
    controller_count=1,
    proxies_join_local_controller=True,
    watches_list=True,
    list_refresh_ns=10 * SECOND,
    removals_uncertain=False,
    health_checks=False,
    admission_unit="share",
    initial_retry_policy=1,
    proxy_ejection_threshold=5,
    report_interval_ns=SECOND // 2,
    fixed_weights=True,
    channel_rate=800.0,
    queue_limit=1600.0,
    message_overhead=10.0,
    message_limit=20,
    message_window_ns=10 * SECOND,
    max_delay_ns=SECOND // 3,
    slow_start_share=0.3,
    overload_factor=2.5,
    slow_start_ns=15 * SECOND,
    slice_count=0,
    exclusive_slices=False,
    slice_lease_ns=2 * SECOND,
    max_in_flight_ns=2 * SECOND,
)


class Fleet:
    """Stands for the proxies: applies orders to tables as they would, and keeps count of messages."""

    def __init__(self, settings: Settings = SETTINGS, now: int = 100 * SECOND) -> None:
        self.now, self.settings = now, settings
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[tuple[int, int], tuple[float, int]] = {}
        self.bound: dict[int, dict[int, int]] = {}  # proxy: table by route
        self.held: dict[int, set[int]] = {}  # what a proxy that is not bound may still send to
        self.records: list[str] = []
        self.tracks: list[int] = []
        self.probes: list[int] = []
        self.forgotten: list[int] = []
        self.marks: list[int] = []
        self.answers = True  # marks come back at the next step, from each proxy that was told
        self.unanswered: list[tuple[int, int]] = []
        self.heads: dict[int, list[int]] = {}
        self.lines: list[tuple[int, float]] = []
        self.module = Controller(self, settings, 7, now)

    def cost(self, table: int | None, lines: float, proxy: int | None = None) -> None:
        for p, tables in self.bound.items():
            if p == proxy or (table is not None and table in tables.values()):
                sent = self.heads.setdefault(p, [])
                if not sent or sent[-1] != self.now:
                    sent.append(self.now)
                    self.lines.append((self.now, self.settings.message_overhead))
                self.lines.append((self.now, lines))

    def log(self, line: str) -> None:
        self.records.append(line)

    def watch_list(self, on: bool) -> None:
        self.tracks.append(self.now)

    def check_health(self, backend: int) -> None:
        self.probes.append(backend)

    def request_ack(self, nonce: int) -> None:
        self.marks.append(nonce)
        self.unanswered.append((nonce, self.now))

    def release_backend(self, backend: int) -> None:
        assert not any(backend in lines for lines in self.tables.values())
        self.forgotten.append(backend)

    def set_timer(self, wait_ns: int) -> None:
        assert wait_ns > 0

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        lines = self.tables.setdefault(table, {})
        lines[backend] = weight
        if weight == 0:
            del lines[backend]
        self.cost(table, 1)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        for k in range(len(self.settings.routes)):
            if not routes or routes >> k & 1:
                self.bound[proxy][k] = table
        self.held.pop(proxy, None)
        self.cost(None, 1 + len(self.tables.get(table, {})), proxy)

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        assert limit >= 0
        for k in range(len(self.settings.routes)):
            if not routes or routes >> k & 1:
                self.levels[table, k] = limit, retry_policy
        self.cost(table, 1)

    def backlog(self, speed: float = 1.0) -> float:
        """Lines that wait in a channel which runs at a part of its stated rate."""
        waiting, last = 0.0, 0
        for when, lines in self.lines:
            waiting = max(0.0, waiting - (when - last) / SECOND * self.settings.channel_rate * speed) + lines
            last = when
        return max(0.0, waiting - (self.now - last) / SECOND * self.settings.channel_rate * speed)

    def pick(self, proxy: int, route: int) -> set[int]:
        """The backends that a bound proxy may send to."""
        table = self.bound[proxy].get(route)
        return set(self.tables.get(table, {})) if table is not None else set()

    def join(self, proxy: int, zone: int, held: set[int] | None = None) -> None:
        self.bound[proxy], self.held[proxy], self.heads[proxy] = {}, held or set(), []
        self.module.on_proxy_joined(self.now, proxy, zone, 10.0)

    def leave(self, proxy: int) -> None:
        self.bound.pop(proxy, None)
        self.module.on_proxy_left(self.now, proxy)

    def run(self, seconds: float, step: int = SECOND // 4) -> None:
        for _ in range(int(seconds * SECOND / step)):
            self.now += step
            while self.answers and self.unanswered:
                number, when = self.unanswered.pop(0)
                for _ in range(sum(when in sent for sent in self.heads.values())):
                    self.module.on_ack(self.now, number)
            self.module.tick(self.now)

    def ask(self, calls: int) -> None:
        """A second in which so many calls of each route come to each bound proxy."""
        for p in self.bound:
            for route in range(len(self.settings.routes)):
                self.module.on_demand_report(self.now, p, route, calls, SECOND)

    def report(self, bad: dict[int, float], latency: int = SECOND // 10, tries: int = 20) -> None:
        """A period in which each backend of each zone's table met so many tries of the zone's proxies."""
        for table, lines in list(self.tables.items()):
            for b in sorted(lines):
                dropped = round(tries * bad.get(b, 0))
                zone, period = table % self.settings.zone_count, self.settings.report_interval_ns
                self.module.on_backend_report(
                    self.now, zone, b, AttemptReport(tries, dropped, latency, period, {})
                )


def entry(
    backend: int, zone: int, state: str = "ready", since: int = 0, weight: float = 2.0
) -> EndpointEntry:
    return EndpointEntry(backend, zone, state, since, weight)


def started(settings: Settings = SETTINGS, per_zone: int = 3, proxies: int = 4) -> Fleet:
    """A fleet some seconds into a quiet day: backends 0.. in zones in turn, proxies bound."""
    fleet = Fleet(settings)
    listed = [entry(k, k % settings.zone_count) for k in range(per_zone * settings.zone_count)]
    fleet.module.on_endpoints(fleet.now, "disk", listed)
    for p in range(proxies):
        fleet.join(p, p % settings.zone_count)
    fleet.run(1)
    fleet.module.on_endpoints(fleet.now, "whole", listed)
    fleet.run(8)
    return fleet
