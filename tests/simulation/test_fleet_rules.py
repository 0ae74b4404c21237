"""Safety rules of a fleet of the product's controllers in simulated time, under failures and releases.

Each scenario keeps the rules, and breaks one when a guard is removed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from loguru import logger

from meadowworks.modelcheck.seeded_fault import SeededFault, injected_fault
from meadowworks.simulation.fleet import SimulatedFleet
from tests.policy.harness import SECOND, SETTINGS

CONTROLLER = "meadowworks.policy:Controller."
ZONES, ROUTES = ("east", "west"), ("look", "book")
FLEET = replace(
    SETTINGS,
    proxy_count=60,
    controller_count=3,
    initial_retry_policy=0,
    queue_limit=4000.0,
    slow_start_ns=12 * SECOND,
    slow_start_share=0.15,
    routes=SETTINGS.routes[:2],
)


def fleet(load: float, rate_factor: float = 1.0, **changes: Any) -> SimulatedFleet:
    simulated = SimulatedFleet(
        replace(FLEET, **changes),
        ZONES,
        ROUTES,
        controllers=3,
        servers=20,
        load=load,
        rate_factor=rate_factor,
    )
    simulated.run(8)
    return simulated


def rolling_replacement() -> SimulatedFleet:
    """Replace half of the servers in steps while the controllers restart one by one."""
    simulated = fleet(0.6, rate_factor=0.5)
    for k, server in enumerate(list(simulated.servers.values())[:10]):
        simulated.schedule(k * SECOND, simulated.replace, server, 4 * SECOND, 2 * SECOND)
    for k, controller in enumerate(simulated.controllers):
        simulated.schedule((2 + 4 * k) * SECOND, simulated.stop_controller, controller)
    simulated.run(26)
    return simulated


def reconnect_storm() -> SimulatedFleet:
    """Replace servers while 70 % of the proxies restart at once, three times."""
    simulated = fleet(0.6, rate_factor=0.5, queue_limit=1400.0)
    for k, server in enumerate(list(simulated.servers.values())[:6]):
        simulated.schedule(k * SECOND // 2, simulated.replace, server, 4 * SECOND, 2 * SECOND)
    for wave in (1, 3, 5):
        for proxy in simulated.proxies[:42]:
            simulated.schedule(
                wave * SECOND, simulated.restart_proxy, proxy, SECOND // 2 + proxy.number * SECOND // 100
            )
    simulated.run(20)
    return simulated


def zone_loss() -> SimulatedFleet:
    """Lose a zone for 5 s, after which its servers are cold."""
    simulated = fleet(0.8, slow_start_share=0.06)

    def lose_zone() -> None:
        for server in simulated.servers_in("east"):
            server.is_up = False

    def recover() -> None:
        for server in simulated.servers_in("east"):
            server.is_up, server.since_ns = True, simulated.now
            server.recent_calls.clear()
        simulated.publish_list(*simulated.servers_in("east"))

    simulated.schedule(SECOND, lose_zone)
    simulated.schedule(6 * SECOND, recover)
    simulated.run(30)
    return simulated


def discovery_partition() -> SimulatedFleet:
    """Cut one zone's controllers off from discovery for 6 s while servers drain and end."""
    simulated = fleet(0.5)
    simulated.schedule(SECOND, setattr, simulated, "is_cut_off", lambda controller: controller.zone == "east")
    for k, server in enumerate(list(simulated.servers.values())[:8]):
        simulated.schedule((2 + k // 4) * SECOND, simulated.replace, server, 2 * SECOND, SECOND)
    simulated.schedule(7 * SECOND, setattr, simulated, "is_cut_off", lambda controller: False)
    simulated.run(25)
    return simulated


def replacement_under_load() -> SimulatedFleet:
    """Replace 60 % of the servers within 7 s, under load."""
    simulated = fleet(0.75)
    for k, server in enumerate(list(simulated.servers.values())[:12]):
        simulated.schedule(k * SECOND * 7 // 12, simulated.replace, server, 3 * SECOND, 2 * SECOND)
    simulated.run(28)
    return simulated


def discovery_outage() -> SimulatedFleet:
    """Make discovery unreachable, then limit its calls, while a server drains."""
    simulated = fleet(0.5)
    simulated.list_call_rate = 3
    simulated.schedule(SECOND, setattr, simulated, "is_cut_off", lambda controller: True)
    simulated.schedule(2 * SECOND, simulated.replace, simulated.servers["s-0"], 3 * SECOND, SECOND)
    simulated.schedule(8 * SECOND, setattr, simulated, "is_cut_off", lambda controller: False)
    simulated.run(24)
    return simulated


def broken_rules(simulated: SimulatedFleet) -> list[str]:
    """Return the broken rules, with `list` for an outdated list and `calls` for too many list calls."""
    rules = {rule for rule, _ in simulated.violations}
    if len(simulated.up_to_date_controllers()) < len(simulated.controllers):
        rules.add("list")
    if simulated.counts["list calls"] > 60:
        rules.add("calls")
    return sorted(rules)


SCENARIOS = (
    rolling_replacement,
    reconnect_storm,
    zone_loss,
    discovery_partition,
    replacement_under_load,
    discovery_outage,
)


@pytest.fixture(autouse=True)
def disabled_logging() -> Any:
    logger.disable("meadowworks")
    yield
    logger.enable("meadowworks")


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario_keeps_the_rules(scenario: Callable[[], SimulatedFleet]) -> None:
    simulated = scenario()
    assert broken_rules(simulated) == [], simulated.violations[:4]
    assert simulated.counts["answered"] > 0.5 * simulated.counts["calls"]


GUARDS = (
    (
        rolling_replacement,
        "queue",
        "the channel has no reserve for urgent changes",
        "reserve",
        "int((settings.queue_limit * (1 - k) - q - overhead) / len(users)) for k",
        "1 << 20 for k",
    ),
    (
        reconnect_storm,
        "drain",
        "removals of draining servers are not prioritized",
        "weight_changes",
        "(1 if not b.ready or at_risk else 2",
        "(2",
    ),
    (
        zone_loss,
        "cold",
        "a restart under the same name is ignored",
        "on_endpoints",
        "if entry.started_ns > backend.started_ns:",
        "if False:",
    ),
    (
        discovery_partition,
        "drain",
        "servers that a snapshot lacks are kept",
        "on_endpoints",
        "if index not in listed]",
        "if False]",
    ),
    (
        replacement_under_load,
        "cold",
        "a new server starts at its full weight",
        "weight_factor",
        "ramp = 1.0 if step == RAMP_STEPS[-1] else RAMP_MARGIN * min_capacity if step else ENTRY_SHARE",
        "ramp = 1.0",
    ),
    (
        discovery_outage,
        "calls",
        "a failed list call is retried without delay",
        "on_endpoints",
        "wait = min(MAX_RETRY, FIRST_RETRY * 2**self.failed_list_calls) * self.settings.list_refresh_ns",
        "wait = 0",
    ),
    (
        discovery_outage,
        "list",
        "a failed list call is not retried",
        "on_endpoints",
        "self.timers.schedule(retry_ns, partial(self.host.watch_list, True))",
        "None",
    ),
)


@pytest.mark.parametrize(
    "scenario, breaks, name, function, original, replacement", GUARDS, ids=[guard[2] for guard in GUARDS]
)
def test_scenario_breaks_a_rule_without_its_guard(
    scenario: Callable[[], SimulatedFleet],
    breaks: str,
    name: str,
    function: str,
    original: str,
    replacement: str,
) -> None:
    with injected_fault(SeededFault(name, "fleet", CONTROLLER + function, original, replacement, (breaks,))):
        assert breaks in broken_rules(scenario())
