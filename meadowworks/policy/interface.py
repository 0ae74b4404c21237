"""The interface of the policy: settings, reports, entries of the endpoint list, and the host protocol.

The adapter of a protocol builds `Settings`, implements `Host` and calls the methods of
`meadowworks.policy.Controller`. It assigns small indices to backends, zones and routes; proxies and tables
have the numbers of the protocol. All times are in whole nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


@dataclass(frozen=True, slots=True)
class Route:
    """The attributes of a route that the policy uses."""

    importance: float
    slo_ns: int
    own_zone_only: bool  # calls stay within their zone


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a deployment.

    The capacity of the control channel is counted in lines. A message costs a fixed overhead, and one line
    for each weight, table assignment, admission limit or nonce in it.
    """

    routes: tuple[Route, ...]
    zone_count: int
    proxy_count: int  # over all controllers
    backend_connections: float  # connections that the smallest backends accept; 0: unknown
    controller_count: int
    proxies_join_local_controller: bool  # else each proxy joins a random controller
    watches_list: bool  # whether to watch the endpoint list from the start
    list_refresh_ns: int  # time limit for the retry of a failed list call
    removals_uncertain: bool  # the endpoint list may wrongly report a backend as gone
    health_checks: bool  # whether the host can check the health of a backend
    admission_unit: str  # unit of admission limits: share, rate or silent
    initial_retry_policy: int  # that proxies apply until the first order
    proxy_ejection_threshold: int  # consecutive failures after which a proxy ejects a backend; 0: never
    report_interval_ns: int
    fixed_weights: bool  # whether list entries update the weight of a known backend
    channel_rate: float  # lines a second
    queue_limit: float  # lines that may be queued in the channel
    message_overhead: float  # lines that each message costs in addition to its own
    message_limit: int  # messages to a proxy within the window; 0: no limit
    message_window_ns: int
    max_delay_ns: int  # from sending to delivery, without time in the queue
    slow_start_share: float  # part of its capacity that a backend has at its start
    overload_factor: float  # load, as a multiple of its capacity, that makes a warming backend fail
    slow_start_ns: int
    slice_count: int  # 0: tables are by zone
    exclusive_slices: bool  # a slice has at most one owner at a time
    slice_lease_ns: int  # for which a former owner may go on writing
    max_in_flight_ns: int  # for which a write may be in flight


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A backend as the endpoint list describes it."""

    backend: int
    zone: int
    state: str  # ready, draining or gone
    started_ns: int  # 0: long ago
    weight: float


class AttemptReport(NamedTuple):
    """The attempts of one zone's proxies at one backend within a period."""

    attempts: int
    failures: int
    latency_ns: int  # mean of the successful attempts
    period_ns: int
    load: dict[str, float]  # as the backend reports it; `queue`: calls that wait there


class Host(Protocol):
    """The actions of the policy. Orders given during one event are sent together, one message per proxy."""

    def log(self, line: str) -> None:
        """Log a decision."""

    def watch_list(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""

    def check_health(self, backend: int) -> None:
        """Check the health of a backend, and call `Controller.on_health_check` with the result."""

    def release_backend(self, backend: int) -> None:
        """Free the index of a backend that is in no table any more."""

    def request_ack(self, nonce: int) -> None:
        """Add a nonce to the messages of this event; each proxy acknowledges it (`Controller.on_ack`)."""

    def set_timer(self, wait_ns: int) -> None:
        """Call `Controller.tick` after this time."""

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Set the weight of a backend in a table; 0 removes it."""

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Make a proxy use a table for the routes of a bit mask; 0 stands for all routes."""

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Set the admission limit and the retry policy of the routes of a bit mask in a table."""
