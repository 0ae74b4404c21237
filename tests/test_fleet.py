"""What the days of the standing trial do, in simulated time with the product's own controllers: the rules are
held to what the stand-in proxies then have, and each script fails with a guard taken out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from loguru import logger

from meadowworks.modelcheck.seeded_fault import SeededFault, injected_fault
from meadowworks.simulation.fleet import Fleet
from tests.helpers import SECOND, SETTINGS

RULES = "meadowworks.policy:Controller."
ZONES, ROUTES = ("east", "west"), ("look", "book")
FLEET = replace(
    SETTINGS,
    proxies=60,
    controllers=3,
    base_retry=0,
    queue_cap=4000.0,
    cold_ns=12 * SECOND,
    cold_share=0.15,
    routes=SETTINGS.routes[:2],
)


def fleet(load: float, speed: float = 1.0, **changes: Any) -> Fleet:
    made = Fleet(replace(FLEET, **changes), ZONES, ROUTES, controllers=3, servers=20, load=load, speed=speed)
    made.run(8)
    return made


def roll() -> Fleet:
    """Half of the servers are replaced in steps while the controllers are restarted one by one."""
    made = fleet(0.6, speed=0.5)
    for k, server in enumerate(list(made.servers.values())[:10]):
        made.at(k * SECOND, made.replace, server, 4 * SECOND, 2 * SECOND)
    for k, seat in enumerate(made.seats):
        made.at((2 + 4 * k) * SECOND, made.end, seat)
    made.run(26)
    return made


def herd() -> Fleet:
    """A release, and seven in ten proxies are gone at once and come back."""
    made = fleet(0.6, speed=0.5, queue_cap=1400.0)
    for k, server in enumerate(list(made.servers.values())[:6]):
        made.at(k * SECOND // 2, made.replace, server, 4 * SECOND, 2 * SECOND)
    for wave in (1, 3, 5):
        for proxy in made.proxies[:42]:
            made.at(wave * SECOND, made.die, proxy, SECOND // 2 + proxy.number * SECOND // 100)
    made.run(20)
    return made


def zone() -> Fleet:
    """A zone is lost for 5 s and comes back cold."""
    made = fleet(0.8, cold_share=0.06)

    def lose() -> None:
        for server in made.here("east"):
            server.up = False

    def regain() -> None:
        for server in made.here("east"):
            server.up, server.since_ns = True, made.now
            server.sent.clear()
        made.lists_now(*made.here("east"))

    made.at(SECOND, lose)
    made.at(6 * SECOND, regain)
    made.run(30)
    return made


def split() -> Fleet:
    """For 6 s one zone's controllers hear nothing of discovery while servers drain and go."""
    made = fleet(0.5)
    made.at(SECOND, setattr, made, "deaf", lambda seat: seat.zone == "east")
    for k, server in enumerate(list(made.servers.values())[:8]):
        made.at((2 + k // 4) * SECOND, made.replace, server, 2 * SECOND, SECOND)
    made.at(7 * SECOND, setattr, made, "deaf", lambda seat: False)
    made.run(25)
    return made


def join() -> Fleet:
    """Six in ten servers are replaced within 7 s, under load."""
    made = fleet(0.75)
    for k, server in enumerate(list(made.servers.values())[:12]):
        made.at(k * SECOND * 7 // 12, made.replace, server, 3 * SECOND, 2 * SECOND)
    made.run(28)
    return made


def crowd() -> Fleet:
    """Discovery answers nobody for a while, then few at a time; a server drains meanwhile."""
    made = fleet(0.5)
    made.list_calls = 3
    made.at(SECOND, setattr, made, "deaf", lambda seat: True)
    made.at(2 * SECOND, made.replace, made.servers["s-0"], 3 * SECOND, SECOND)
    made.at(8 * SECOND, setattr, made, "deaf", lambda seat: False)
    made.run(24)
    return made


def kept(made: Fleet) -> list[str]:
    """What is broken; a list that is not discovery's long after all is well counts too, and endless calls."""
    found = {what for what, _ in made.broken}
    if len(made.fresh()) < len(made.seats):
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
def test_a_day_of_the_trial_keeps_the_rules(day: Callable[[], Fleet]) -> None:
    made = day()
    assert kept(made) == [], made.broken[:4]
    assert made.counts["answered"] > 0.5 * made.counts["calls"]


GUARDS = (
    (
        roll,
        "queue",
        "what cannot be put off finds the channel full",
        "take",
        "int((self.set.queue_cap * (1 - k) - q - heads) / len(users)) for k",
        "1 << 20 for k",
    ),
    (
        herd,
        "drain",
        "what drains waits with the rest",
        "update_tables",
        "(1 if not b.ready or self.cold(now, b) and (shut or w > b.weight * self.part(now, b))",
        "(2 if False",
    ),
    (
        zone,
        "cold",
        "a start under an old name is passed over",
        "on_endpoints",
        "if entry.since_ns > known.since_ns:",
        "if False:",
    ),
    (
        split,
        "drain",
        "who is absent from a whole list stays",
        "on_endpoints",
        "if place not in named]",
        "if False]",
    ),
    (
        join,
        "cold",
        "a new server enters at its whole weight",
        "part",
        "RUNGS[backend.rung] * (1.0 if step == RAMP[-1] else RAMP_PART * least if step else ENTRY)",
        "RUNGS[backend.rung]",
    ),
    (
        crowd,
        "calls",
        "a list call that failed is made again at once",
        "on_endpoints",
        "wait = min(ASK_MOST, ASK_PART * 2**self.failures) * self.set.ask_within_ns",
        "wait = 0",
    ),
    (
        crowd,
        "list",
        "a list call that failed is not made again",
        "on_endpoints",
        "self.later(now + int(wait * (0.5 + self.chance())), partial(self.host.watch_list, True))",
        "None",
    ),
)


@pytest.mark.parametrize("day, breaks, name, at, was, now", GUARDS, ids=[guard[2] for guard in GUARDS])
def test_without_its_guard_a_day_breaks_a_rule(
    day: Callable[[], Fleet],
    breaks: str,
    name: str,
    at: str,
    was: str,
    now: str,
) -> None:
    with injected_fault(SeededFault(name, "fleet", RULES + at, was, now, (breaks,))):
        assert breaks in kept(day())
