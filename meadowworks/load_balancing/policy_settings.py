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
        zones=zones,
        proxies=zones,
        connections=0.0,
        controllers=1,
        by_zone=False,
        subscribe=False,
        ask_within_ns=SECOND,
        only_draining_binds=True,
        probes=False,
        level_kind="share",
        base_retry=1,
        ejects=0,
        report_ns=REPORT_INTERVAL_NS,
        fixed_weights=True,
        channel_rate=UNLIMITED,
        queue_cap=UNLIMITED,
        head=1.0,
        messages_most=0,
        messages_over_ns=SECOND,
        delay_most_ns=REPORT_INTERVAL_NS,
        cold_share=SLOW_START_SHARE,
        tip=1.0,
        cold_ns=slow_start_ns,
        slices=0,
        exclusive=False,
        lease_ns=0,
        in_flight_ns=0,
    )
