"""What the decisions are given: settings, reports, the endpoint list's entries, and the host they act by.

Only types live here. A protocol's adapter builds `Settings`, implements `Host` and calls the methods of
`meadowworks.policy.Controller`. Backends, zones and routes are small indices given out by the adapter;
proxies and tables keep their numbers. All times are whole nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


@dataclass(frozen=True, slots=True)
class Route:
    """What the decisions need of a route."""

    importance: float
    slo_ns: int
    own_zone_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """What a deployment states. Times are nanoseconds; `lines` are what the control channel counts."""

    routes: tuple[Route, ...]
    zone_count: int
    proxy_count: int  # of all controllers
    backend_connections: float  # that the smallest backends accept; 0: unknown
    controller_count: int
    proxies_join_local_controller: bool  # each a controller of its zone; else they are dealt by chance
    watches_list: bool
    list_refresh_ns: int  # within which a failed list call is to be repeated
    removals_uncertain: bool  # the endpoint list may be wrong about what is gone
    health_checks: bool
    admission_unit: str  # share, rate or silent
    initial_retry_policy: int
    proxy_ejection_threshold: int  # failures in a row, after which a proxy avoids a backend; 0: never
    report_interval_ns: int
    fixed_weights: bool
    channel_rate: float  # lines a second
    queue_limit: float  # lines that may wait in the channel
    message_overhead: float  # lines that each message costs beside its own
    message_limit: int  # messages to a proxy within the window; 0: none
    message_window_ns: int
    max_delay_ns: int  # from sending to delivery, beside the queue
    slow_start_share: float  # of its capacity that a backend has at its start
    overload_factor: float  # times what a warming backend can do that push it over
    slow_start_ns: int
    slice_count: int
    exclusive_slices: bool  # a slice has one owner at a time
    slice_lease_ns: int  # for which a former owner may go on
    max_in_flight_ns: int  # for which a write may be under way


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One backend as a list names it."""

    backend: int
    zone: int
    state: str  # ready, draining or gone
    started_ns: int
    weight: float


class AttemptReport(NamedTuple):
    """What proxies of one zone met at one backend within a period."""

    attempts: int
    failures: int
    latency_ns: int  # mean of the successful ones
    period_ns: int
    load: dict[str, float]  # as the backend tells it; `queue`: calls that wait there


class Host(Protocol):
    """What the decisions may do. All that is ordered while one event is handled travels together."""

    def log(self, line: str) -> None:
        """Logs a decision."""

    def watch_list(self, on: bool) -> None:
        """Follows the endpoint list, or ceases to."""

    def check_health(self, backend: int) -> None:
        """Checks a backend, and answers by `Controller.on_health_check`."""

    def release_backend(self, backend: int) -> None:
        """Frees the index of a backend that no table names any more."""

    def request_ack(self, nonce: int) -> None:
        """Gives this batch's messages a nonce, which each proxy acknowledges (`Controller.on_ack`)."""

    def set_timer(self, wait_ns: int) -> None:
        """Calls `Controller.tick` after this time."""

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Sets a backend's weight in a table; 0 takes it out."""

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Makes a proxy use a table for the routes of a bit mask; 0 stands for all."""

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Sets the admission limit and the retry policy of a table's routes, by a bit mask."""
