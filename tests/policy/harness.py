"""A policy host that records orders and simulates the proxies, and the settings of a small deployment."""

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
    """A controller and its simulated proxies, which apply the orders; records messages and other actions."""

    def __init__(self, settings: Settings = SETTINGS, now: int = 100 * SECOND) -> None:
        self.now, self.settings = now, settings
        self.tables: dict[int, dict[int, float]] = {}
        self.admissions: dict[tuple[int, int], tuple[float, int]] = {}
        self.assigned_tables: dict[int, dict[int, int]] = {}  # by proxy: table by route
        self.fallbacks: dict[int, set[int]] = {}  # by proxy: backends it may use until it has tables
        self.log_lines: list[str] = []
        self.watch_times: list[int] = []
        self.health_checks: list[int] = []
        self.released: list[int] = []
        self.nonces: list[int] = []
        self.acknowledges = True  # whether proxies acknowledge messages at the next step
        self.pending_acks: list[tuple[int, int]] = []  # nonce and sending time
        self.message_times: dict[int, list[int]] = {}  # by proxy
        self.sent_lines: list[tuple[int, float]] = []  # sending time and number of lines
        self.controller = Controller(self, settings, 7, now)

    def record_message(self, table: int | None, lines: float, proxy: int | None = None) -> None:
        for p, tables in self.assigned_tables.items():
            if p == proxy or (table is not None and table in tables.values()):
                times = self.message_times.setdefault(p, [])
                if not times or times[-1] != self.now:
                    times.append(self.now)
                    self.sent_lines.append((self.now, self.settings.message_overhead))
                self.sent_lines.append((self.now, lines))

    def log(self, line: str) -> None:
        self.log_lines.append(line)

    def watch_list(self, on: bool) -> None:
        self.watch_times.append(self.now)

    def check_health(self, backend: int) -> None:
        self.health_checks.append(backend)

    def request_ack(self, nonce: int) -> None:
        self.nonces.append(nonce)
        self.pending_acks.append((nonce, self.now))

    def release_backend(self, backend: int) -> None:
        assert not any(backend in weights for weights in self.tables.values())
        self.released.append(backend)

    def set_timer(self, wait_ns: int) -> None:
        assert wait_ns > 0

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        weights = self.tables.setdefault(table, {})
        weights[backend] = weight
        if weight == 0:
            del weights[backend]
        self.record_message(table, 1)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        for k in range(len(self.settings.routes)):
            if not routes or routes >> k & 1:
                self.assigned_tables[proxy][k] = table
        self.fallbacks.pop(proxy, None)
        self.record_message(None, 1 + len(self.tables.get(table, {})), proxy)

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        assert limit >= 0
        for k in range(len(self.settings.routes)):
            if not routes or routes >> k & 1:
                self.admissions[table, k] = limit, retry_policy
        self.record_message(table, 1)

    def backlog(self, speed: float = 1.0) -> float:
        """Return the lines queued in a channel that runs at a part of its stated rate."""
        waiting, last = 0.0, 0
        for when, lines in self.sent_lines:
            waiting = max(0.0, waiting - (when - last) / SECOND * self.settings.channel_rate * speed) + lines
            last = when
        return max(0.0, waiting - (self.now - last) / SECOND * self.settings.channel_rate * speed)

    def usable_backends(self, proxy: int, route: int) -> set[int]:
        """Return the backends that a proxy with tables may use."""
        table = self.assigned_tables[proxy].get(route)
        return set(self.tables.get(table, {})) if table is not None else set()

    def join(self, proxy: int, zone: int, fallback: set[int] | None = None) -> None:
        self.assigned_tables[proxy], self.fallbacks[proxy], self.message_times[proxy] = (
            {},
            fallback or set(),
            [],
        )
        self.controller.on_proxy_joined(self.now, proxy, zone, 10.0)

    def leave(self, proxy: int) -> None:
        self.assigned_tables.pop(proxy, None)
        self.controller.on_proxy_left(self.now, proxy)

    def run(self, seconds: float, step: int = SECOND // 4) -> None:
        for _ in range(int(seconds * SECOND / step)):
            self.now += step
            while self.acknowledges and self.pending_acks:
                nonce, when = self.pending_acks.pop(0)
                for _ in range(sum(when in times for times in self.message_times.values())):
                    self.controller.on_ack(self.now, nonce)
            self.controller.tick(self.now)

    def report_demand(self, calls: int) -> None:
        """Report that each proxy had so many calls of each route within a second."""
        for p in self.assigned_tables:
            for route in range(len(self.settings.routes)):
                self.controller.on_demand_report(self.now, p, route, calls, SECOND)

    def report_attempts(
        self, failure_ratios: dict[int, float], latency: int = SECOND // 10, attempts: int = 20
    ) -> None:
        """Report attempts of each zone's proxies at the backends of its table, by their failure ratios."""
        for table, weights in list(self.tables.items()):
            for b in sorted(weights):
                failures = round(attempts * failure_ratios.get(b, 0))
                zone, period = table % self.settings.zone_count, self.settings.report_interval_ns
                self.controller.on_backend_report(
                    self.now, zone, b, AttemptReport(attempts, failures, latency, period, {})
                )


def entry(
    backend: int, zone: int, state: str = "ready", since: int = 0, weight: float = 2.0
) -> EndpointEntry:
    return EndpointEntry(backend, zone, state, since, weight)


def started_fleet(settings: Settings = SETTINGS, per_zone: int = 3, proxies: int = 4) -> Fleet:
    """Return a fleet that has settled: backends alternate between zones, and all proxies have tables."""
    fleet = Fleet(settings)
    entries = [entry(k, k % settings.zone_count) for k in range(per_zone * settings.zone_count)]
    fleet.controller.on_endpoints(fleet.now, "disk", entries)
    for p in range(proxies):
        fleet.join(p, p % settings.zone_count)
    fleet.run(1)
    fleet.controller.on_endpoints(fleet.now, "whole", entries)
    fleet.run(8)
    return fleet
