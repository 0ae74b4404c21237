"""The small deployment that the model explores: its settings, backends and time limits."""

from __future__ import annotations

from meadowworks.policy.interface import Route, Settings

NS_PER_S = 1_000_000_000
ROUTES = (Route(2.0, NS_PER_S, False), Route(1.0, NS_PER_S, False))
ROUTE_NAMES = ("a", "b")
SETTINGS = Settings(
    routes=ROUTES,
    zone_count=2,
    proxy_count=2,
    backend_connections=0.0,
    controller_count=1,
    proxies_join_local_controller=True,
    watches_list=True,
    list_refresh_ns=8 * NS_PER_S,
    removals_uncertain=False,
    health_checks=False,
    admission_unit="share",
    initial_retry_policy=1,
    proxy_ejection_threshold=5,
    report_interval_ns=NS_PER_S,
    fixed_weights=True,
    channel_rate=30.0,
    queue_limit=30.0,
    message_overhead=3.0,
    message_limit=6,
    message_window_ns=4 * NS_PER_S,
    max_delay_ns=NS_PER_S // 4,
    slow_start_share=0.3,
    overload_factor=2.5,
    slow_start_ns=4 * NS_PER_S,
    slice_count=0,
    exclusive_slices=False,
    slice_lease_ns=NS_PER_S,
    max_in_flight_ns=NS_PER_S,
)
START_NS = 1000 * NS_PER_S  # the clock of a new world
TICK_NS = SETTINGS.report_interval_ns // 2
BATCH_NS = NS_PER_S // 1000  # between two batches; each step is one batch
DRAIN_GRACE_NS = 5 * NS_PER_S // 2  # how long a draining backend may keep a weight
NO_BACKEND_LIMIT_NS = DRAIN_GRACE_NS  # how long a proxy may be without a backend
STALL_TICKS = 6  # longer than the drain grace period

READY, DRAINING, GONE = "ready", "draining", "gone"
BACKEND_ZONES = (0, 1, 0)
BACKENDS = range(len(BACKEND_ZONES))
# By backend, the states that the list may report.
LISTED_STATES = ((READY, DRAINING, GONE), (READY, GONE), (READY, DRAINING))
UNANNOUNCED_BACKEND = 2  # may be gone without a change of the list
BACKEND_WEIGHT = 2.0
ROUNDING_ERROR = 1e-9  # tolerance for sums of floats


def backend_name(backend: int) -> str:
    """Return a backend's name in the tables of proxies."""
    return f"s-{backend}"


def backend_index(name: str) -> int:
    """Return the index of a backend from its name in a proxy's table."""
    return int(name.removeprefix("s-"))
