"""Settings of the policy within a proxy: one route, one table for each zone, no control channel."""

from __future__ import annotations

from meadowworks.policy.interface import Route, Settings

SECOND_NS = 1_000_000_000
REPORT_INTERVAL_NS = SECOND_NS  # between load reports of a zone
UNLIMITED = 1e12  # limits of the control channel, as the tables are in the same process
SLOW_START_SHARE = 0.1  # part of its capacity that a backend has at its start


def policy_settings(zones: int, target_ns: int, slow_start_ns: int) -> Settings:
    """Return the settings of the policy of a service.

    :param zones: the number of zones
    :param target_ns: the latency target of the service
    :param slow_start_ns: duration of the slow start of backends that do not state one
    """
    return Settings(
        routes=(Route(1.0, target_ns, False),),
        zone_count=zones,
        proxy_count=zones,
        backend_connections=0.0,
        controller_count=1,
        proxies_join_local_controller=False,
        watches_list=False,
        list_refresh_ns=SECOND_NS,
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
        message_window_ns=SECOND_NS,
        max_delay_ns=REPORT_INTERVAL_NS,
        slow_start_share=SLOW_START_SHARE,
        overload_factor=1.0,
        slow_start_ns=slow_start_ns,
        slice_count=0,
        exclusive_slices=False,
        slice_lease_ns=0,
        max_in_flight_ns=0,
    )
