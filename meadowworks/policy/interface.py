"""What the decision module is handed: its settings, the list's entries, and the host that it acts through.

Only types live here. A protocol's adapter builds `Settings`, implements `Host` and calls the methods of
`meadowworks.policy.Controller`. Backends, zones and routes are small indices given out by the adapter;
proxies and tables keep their numbers. All times are whole nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


@dataclass(frozen=True, slots=True)
class Route:
    """A row a route: what the module reads of it."""

    importance: float
    slo_ns: int
    own_zone_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    routes: tuple[Route, ...]
    zone_count: int
    proxy_count: int  # of all controllers
    backend_connections: float  # that the smallest backends accept; 0: not told
    controller_count: int
    proxies_join_own_zone: bool  # proxies join a controller of their own zone; else they are dealt by chance
    watches_list: bool
    list_refresh_ns: int
    removals_uncertain: bool  # the list may be wrong about what is gone
    health_checks: bool
    admission_unit: str  # share, rate or silent
    base_retry_policy: int
    proxy_ejects_after: int  # a proxy avoids a backend after so many drops in a row; 0: never
    report_interval_ns: int
    fixed_weights: bool
    channel_rate: float
    queue_limit: float
    message_overhead: float
    message_limit: int
    message_window_ns: int
    max_delay_ns: int
    slow_start_share: float
    overload_factor: float  # times what a cold backend can do that pushes it over
    slow_start_ns: int
    slice_count: int
    exclusive_slices: bool
    slice_lease_ns: int
    max_in_flight_ns: int


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One backend as a list names it."""

    backend: int
    zone: int
    state: str  # ready, draining or gone
    since_ns: int
    weight: float


class AttemptReport(NamedTuple):
    """What proxies of one zone met at one backend within a period."""

    attempts: int
    failures: int
    latency_ns: int  # mean of the successful ones
    period_ns: int
    load: dict[str, float]  # as the backend tells it; `queue`: calls that wait there


class Host(Protocol):
    """What the module may do. Orders given while one event is handled travel together."""

    def log(self, line: str) -> None: ...
    def watch_list(self, on: bool) -> None: ...
    def check_health(self, backend: int) -> None: ...
    def release_backend(self, backend: int) -> None: ...
    def request_ack(self, number: int) -> None: ...
    def set_timer(self, wait_ns: int) -> None: ...
    def set_weight(self, table: int, backend: int, weight: float) -> None: ...
    def assign_table(self, routes: int, proxy: int, table: int) -> None: ...
    def set_admission(self, table: int, routes: int, level: float, retry: int) -> None: ...
