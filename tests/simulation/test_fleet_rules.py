"""What the days of the standing trial do, in simulated time with the product's own controllers: the rules are
held to what the stand-in proxies then have, and each script fails with a guard taken out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from loguru import logger

from meadowworks.modelcheck.seeded_fault import SeededFault, injected_fault
from meadowworks.simulation.fleet import SimulatedFleet
from tests.policy.harness import SECOND, SETTINGS

RULES = "meadowworks.policy:Controller."
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


def fleet(load: float, speed: float = 1.0, **changes: Any) -> SimulatedFleet:
    made = SimulatedFleet(
        replace(FLEET, **changes), ZONES, ROUTES, controllers=3, servers=20, load=load, speed=speed
    )
    made.run(8)
    return made


def roll() -> SimulatedFleet:
    """Half of the servers are replaced in steps while the controllers are restarted one by one."""
    made = fleet(0.6, speed=0.5)
    for k, server in enumerate(list(made.servers.values())[:10]):
        made.schedule(k * SECOND, made.replace, server, 4 * SECOND, 2 * SECOND)
    for k, seat in enumerate(made.controllers):
        made.schedule((2 + 4 * k) * SECOND, made.end, seat)
    made.run(26)
    return made


def herd() -> SimulatedFleet:
    """A release, and seven in ten proxies are gone at once and come back."""
    made = fleet(0.6, speed=0.5, queue_limit=1400.0)
    for k, server in enumerate(list(made.servers.values())[:6]):
        made.schedule(k * SECOND // 2, made.replace, server, 4 * SECOND, 2 * SECOND)
    for wave in (1, 3, 5):
        for proxy in made.proxies[:42]:
            made.schedule(
                wave * SECOND, made.restart_proxy, proxy, SECOND // 2 + proxy.number * SECOND // 100
            )
    made.run(20)
    return made


def zone() -> SimulatedFleet:
    """A zone is lost for 5 s and comes back cold."""
    made = fleet(0.8, slow_start_share=0.06)

    def lose() -> None:
        for server in made.servers_in("east"):
            server.up = False

    def regain() -> None:
        for server in made.servers_in("east"):
            server.up, server.since_ns = True, made.now
            server.recent_calls.clear()
        made.publish_list(*made.servers_in("east"))

    made.schedule(SECOND, lose)
    made.schedule(6 * SECOND, regain)
    made.run(30)
    return made


def split() -> SimulatedFleet:
    """For 6 s one zone's controllers hear nothing of discovery while servers drain and go."""
    made = fleet(0.5)
    made.schedule(SECOND, setattr, made, "cut_off", lambda seat: seat.zone == "east")
    for k, server in enumerate(list(made.servers.values())[:8]):
        made.schedule((2 + k // 4) * SECOND, made.replace, server, 2 * SECOND, SECOND)
    made.schedule(7 * SECOND, setattr, made, "cut_off", lambda seat: False)
    made.run(25)
    return made


def join() -> SimulatedFleet:
    """Six in ten servers are replaced within 7 s, under load."""
    made = fleet(0.75)
    for k, server in enumerate(list(made.servers.values())[:12]):
        made.schedule(k * SECOND * 7 // 12, made.replace, server, 3 * SECOND, 2 * SECOND)
    made.run(28)
    return made


def crowd() -> SimulatedFleet:
    """Discovery answers nobody for a while, then few at a time; a server drains meanwhile."""
    made = fleet(0.5)
    made.list_calls = 3
    made.schedule(SECOND, setattr, made, "cut_off", lambda seat: True)
    made.schedule(2 * SECOND, made.replace, made.servers["s-0"], 3 * SECOND, SECOND)
    made.schedule(8 * SECOND, setattr, made, "cut_off", lambda seat: False)
    made.run(24)
    return made


def kept(made: SimulatedFleet) -> list[str]:
    """What is broken; a list that is not discovery's long after all is well counts too, and endless calls."""
    found = {what for what, _ in made.violations}
    if len(made.up_to_date()) < len(made.controllers):
        found.add("list")
    if made.counts["list calls"] > 60:
        found.add("calls")
    return sorted(found)


DAYS = (roll, herd, zone, split, join, crowd)


@pytest.fixture(autouse=True)
def quiet() -> Any:
    logger.disable("meadowworks")
    yield
    logger.enable("meadowworks")


@pytest.mark.parametrize("day", DAYS)
def test_a_day_of_the_trial_keeps_the_rules(day: Callable[[], SimulatedFleet]) -> None:
    made = day()
    assert kept(made) == [], made.violations[:4]
    assert made.counts["answered"] > 0.5 * made.counts["calls"]


GUARDS = (
    (
        roll,
        "queue",
        "what cannot be put off finds the channel full",
        "reserve",
        "int((settings.queue_limit * (1 - k) - q - overhead) / len(users)) for k",
        "1 << 20 for k",
    ),
    (
        herd,
        "drain",
        "what drains waits with the rest",
        "weight_changes",
        "(1 if not b.ready or at_risk else 2",
        "(2",
    ),
    (
        zone,
        "cold",
        "a start under an old name is passed over",
        "on_endpoints",
        "if entry.started_ns > backend.started_ns:",
        "if False:",
    ),
    (
        split,
        "drain",
        "who is absent from a whole list stays",
        "on_endpoints",
        "if index not in listed]",
        "if False]",
    ),
    (
        join,
        "cold",
        "a new server enters at its whole weight",
        "weight_factor",
        "ramp = 1.0 if step == RAMP_STEPS[-1] else RAMP_MARGIN * min_capacity if step else ENTRY_SHARE",
        "ramp = 1.0",
    ),
    (
        crowd,
        "calls",
        "a list call that failed is made again at once",
        "on_endpoints",
        "wait = min(MAX_RETRY, FIRST_RETRY * 2**self.failed_list_calls) * self.settings.list_refresh_ns",
        "wait = 0",
    ),
    (
        crowd,
        "list",
        "a list call that failed is not made again",
        "on_endpoints",
        "self.timers.schedule(retry_ns, partial(self.host.watch_list, True))",
        "None",
    ),
)


@pytest.mark.parametrize("day, breaks, name, at, was, now", GUARDS, ids=[guard[2] for guard in GUARDS])
def test_without_its_guard_a_day_breaks_a_rule(
    day: Callable[[], SimulatedFleet],
    breaks: str,
    name: str,
    at: str,
    was: str,
    now: str,
) -> None:
    with injected_fault(SeededFault(name, "fleet", RULES + at, was, now, (breaks,))):
        assert breaks in kept(day())
