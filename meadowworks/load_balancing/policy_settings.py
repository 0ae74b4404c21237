"""How the policy is set up within a proxy: one route, one table a zone, no channel between them."""

from __future__ import annotations

from meadowworks.policy.interface import Route, Settings

SECOND = 1_000_000_000
# Zones' load reports come so often.
REPORT_INTERVAL_NS = SECOND
# What the channel to a table in the same process bears: there is none.
UNLIMITED = 1e12
# Part of its weight that a backend has when it starts.
SLOW_START_SHARE = 0.1


def policy_settings(zones: int, target_ns: int, slow_start_ns: int) -> Settings:
    """The settings of a service's policy.

    :param zones: the number of zones, each of which has a table
    :param target_ns: the latency target of the service
    :param slow_start_ns: how long a backend is slow after its start, if it does not say so itself
    """
    return Settings(
        routes=(Route(1.0, target_ns, False),),
        zone_count=zones,
        proxy_count=zones,
        backend_connections=0.0,
        controller_count=1,
        proxies_join_local_controller=False,
        watches_list=False,
        list_refresh_ns=SECOND,
        removals_uncertain=True,
        health_checks=False,
        admission_unit="share",
        initial_retry_policy=1,
        proxy_ejection_threshold=0,
        report_interval_ns=REPORT_INTERVAL_NS,
        fixed_weights=True,
        channel_rate=UNLIMITED,
        queue_limit=UNLIMITED,
        message_overhead=1.0,
        message_limit=0,
        message_window_ns=SECOND,
        max_delay_ns=REPORT_INTERVAL_NS,
        slow_start_share=SLOW_START_SHARE,
        overload_factor=1.0,
        slow_start_ns=slow_start_ns,
        slice_count=0,
        exclusive_slices=False,
        slice_lease_ns=0,
        max_in_flight_ns=0,
    )
