"""Processor time of the policy controller at two sizes, and of route lookup among 20 and 420 routes.

    python -O -m meadowworks.simulation.cost

The controller's figures are for a join, a report line and a tick; its host does nothing. Route lookup is
compared with a linear search. Each figure is the median of several rounds, and the ratios compare figures of
the same run. To measure another version of the controller, set PYTHONPATH to its folder and start this file
by its path.
"""

from __future__ import annotations

import sys
from statistics import median
from time import process_time
from typing import Any

from meadowworks.config.route_table import Route as TableRoute
from meadowworks.config.route_table import RouteTable, WeightedService
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry, Route, Settings

SECOND = 1_000_000_000
SIZES = ((50, 20), (640, 120))  # proxies, backends
ROUNDS = 7


class NullHost:
    """A host that does nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


def settings(proxies: int) -> Settings:
    """Return the settings of a fleet with one controller, whose channel is never full."""
    routes = (Route(2.0, 2 * SECOND, False), Route(1.0, SECOND, False), Route(2.0, SECOND, False))
    return Settings(
        routes=routes,
        zone_count=2,
        proxy_count=proxies,
        backend_connections=46.0,
        controller_count=1,
        proxies_join_local_controller=True,
        watches_list=True,
        list_refresh_ns=10 * SECOND,
        removals_uncertain=False,
        health_checks=False,
        admission_unit="share",
        initial_retry_policy=0,
        proxy_ejection_threshold=5,
        report_interval_ns=SECOND // 2,
        fixed_weights=True,
        channel_rate=1e6,
        queue_limit=1e7,
        message_overhead=10.0,
        message_limit=0,
        message_window_ns=10 * SECOND,
        max_delay_ns=SECOND // 2,
        slow_start_share=0.3,
        overload_factor=2.5,
        slow_start_ns=15 * SECOND,
        slice_count=0,
        exclusive_slices=False,
        slice_lease_ns=SECOND,
        max_in_flight_ns=SECOND,
    )


def measure_controller(proxies: int, backends: int) -> tuple[float, float, float]:
    """Return the microseconds for a join, for a report line, and for a tick."""
    now = 1000 * SECOND
    controller = Controller(NullHost(), settings(proxies), 7, now)
    controller.on_endpoints(now, "disk", [EndpointEntry(b, b % 2, "ready", 0, 2.0) for b in range(backends)])
    start = process_time()
    for p in range(proxies):
        controller.on_proxy_joined(now, p, p % 2, 1.0)
    join = (process_time() - start) / proxies
    report = tick = 0.0
    for turn in range(8):
        now += SECOND // 4
        start = process_time()
        for b in range(backends):
            controller.on_backend_report(
                now, b % 2, b, AttemptReport(5, 0, SECOND // 5, SECOND // 2, {"queue": 0.0})
            )
        for p in range(proxies):
            controller.on_demand_report(now, p, turn % 3, 2, SECOND)
        report += (process_time() - start) / (backends + proxies)
        start = process_time()
        controller.tick(now)
        tick += process_time() - start
    return join * 1e6, report / 8 * 1e6, tick / 8 * 1e6


def measure_route_lookup(count: int) -> tuple[float, float]:
    """Return the microseconds of a route lookup, by the route table and by a linear search.

    Looks up the first and the last of the routes of one host.
    """
    prefixes = [f"/p{k}/" if k % 2 else f"/p{k}/q/" for k in range(count)]
    rows = {p: TableRoute(p, True, 1000, 200, 0, 2, (WeightedService("s", 1.0),)) for p in prefixes}
    table = RouteTable(1, {"h": rows})
    paths = [prefixes[0] + "a/b/c", prefixes[-1] + "a/b/c"] * 500

    def find_linearly(path: str) -> TableRoute:
        matches = (route for prefix, route in rows.items() if path.startswith(prefix))
        return max(matches, key=lambda route: len(route.name))

    assert all(table.find_route("h", path) is find_linearly(path) for path in paths[:2])
    elapsed_us = []
    for find in (lambda path: table.find_route("h", path), find_linearly):
        start = process_time()
        for path in paths:
            find(path)
        elapsed_us.append((process_time() - start) / len(paths) * 1e6)
    return elapsed_us[0], elapsed_us[1]


def main() -> int:
    """Measure and print the figures, then their ratios."""
    few, many = (
        [median(figures) for figures in zip(*(measure_route_lookup(n) for _ in range(ROUNDS)), strict=True)]
        for n in (20, 420)
    )
    for n, row in ((20, few), (420, many)):
        print(f"route lookup among {n}: {row[0]:.2f} us, linear search {row[1]:.1f} us")
    print(f"ratios of 420 to 20: {many[0] / few[0]:.2f}, linear search {many[1] / few[1]:.1f}")
    rows = [
        [median(figures) for figures in zip(*(measure_controller(*size) for _ in range(ROUNDS)), strict=True)]
        for size in SIZES
    ]
    for (proxies, backends), row in zip(SIZES, rows, strict=True):
        print(
            f"{proxies} proxies, {backends} backends: join {row[0]:.1f} us, report line {row[1]:.2f} us, "
            f"tick {row[2]:.0f} us"
        )
    print(
        "ratios: "
        + ", ".join(
            f"{name} {large / small:.1f}"
            for name, small, large in zip(("join", "report line", "tick"), *rows, strict=True)
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
