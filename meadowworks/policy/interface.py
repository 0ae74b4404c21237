"""What the decision module is handed: its settings, the list's entries, and the host that it acts through.

Only types live here. A protocol's adapter builds `Settings`, implements `Host` and calls the methods of
`meadowworks.policy.Controller`. Backends, zones and routes are small indices given out by the adapter;
proxies and tables keep their numbers. All times are whole nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Route:
    """A row a route: what the module reads of it."""

    importance: float
    slo_ns: int
    home_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    routes: tuple[Route, ...]
    zones: int
    proxies: int  # of all controllers
    connections: float  # that the smallest backends accept; 0: not told
    controllers: int
    by_zone: bool  # proxies join a controller of their own zone; else they are dealt by chance
    subscribe: bool
    ask_within_ns: int
    only_draining_binds: bool  # the list may be wrong about what is gone
    probes: bool
    level_kind: str  # share, rate or silent
    base_retry: int
    ejects: int  # a proxy avoids a backend after so many drops in a row; 0: never
    report_ns: int
    fixed_weights: bool
    channel_rate: float
    queue_cap: float
    head: float
    messages_most: int
    messages_over_ns: int
    delay_most_ns: int
    cold_share: float
    tip: float  # times what a cold backend can do that pushes it over
    cold_ns: int
    slices: int
    exclusive: bool
    lease_ns: int
    in_flight_ns: int


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One backend as a list names it."""

    backend: int
    zone: int
    state: str  # ready, draining or gone
    since_ns: int
    weight: float


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
