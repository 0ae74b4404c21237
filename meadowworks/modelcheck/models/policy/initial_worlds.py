"""The worlds from which an exploration starts."""

from __future__ import annotations

from collections.abc import Callable

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.policy.deployment import DRAINING, GONE, READY
from meadowworks.modelcheck.models.policy.world import (
    ALL_FAIL,
    FEW_CALLS,
    MANY_CALLS,
    NO_FAILURES,
    PolicyWorld,
)

QUIET_SECONDS, OVERLOAD_SECONDS = 9, 4
TICK: Step = ("tick",)
QUIET_SECOND: tuple[Step, ...] = (("report", NO_FAILURES), ("ask", FEW_CALLS), TICK, TICK)
OVERLOAD_SECOND: tuple[Step, ...] = (("ask", MANY_CALLS), ("report", ALL_FAIL), TICK, TICK)


def apply_steps(world: PolicyWorld, *steps: Step) -> None:
    """Apply the steps to a world, in order."""
    for step in steps:
        world.take_step(step)


def fresh() -> PolicyWorld:
    """Return a world whose controller has just read its endpoint list from disk."""
    return PolicyWorld()


def quiet() -> PolicyWorld:
    """Return a world with both proxies joined, after nine seconds without failures."""
    world = PolicyWorld()
    apply_steps(world, ("join", 0), ("join", 1), ("whole",), *QUIET_SECOND * QUIET_SECONDS)
    return world


def overloaded() -> PolicyWorld:
    """Return a world in which all attempts fail and requests are rejected by admission control."""
    world = quiet()
    apply_steps(world, *OVERLOAD_SECOND * OVERLOAD_SECONDS)
    return world


def one_backend_left() -> PolicyWorld:
    """Return a world in which one backend is left and another has just started."""
    world = quiet()
    apply_steps(world, ("list", 0, GONE), TICK, ("list", 1, GONE), TICK, ("start", 0), TICK)
    return world


def channel_stalled() -> PolicyWorld:
    """Return a world in which the channel stalls with messages in flight."""
    world = quiet()
    apply_steps(world, ("channel",), ("list", 0, DRAINING), TICK, ("leave", 0), ("join", 0), TICK)
    return world


def without_list() -> PolicyWorld:
    """Return a world with both proxies joined and no endpoint list yet."""
    world = PolicyWorld(listed=False)
    apply_steps(world, ("join", 0), ("join", 1), TICK)
    return world


def near_message_limit() -> PolicyWorld:
    """Return a world in which the message limit is almost reached."""
    world = quiet()
    apply_steps(world, *[TICK] * 8, ("list", 0, DRAINING), TICK, ("list", 0, READY), TICK)
    apply_steps(world, TICK, ("list", 0, DRAINING), TICK, ("list", 2, DRAINING), TICK)
    return world


# Seeded faults refer to these by index; append only.
INITIAL_WORLDS: tuple[Callable[[], PolicyWorld], ...] = (
    fresh,
    quiet,
    overloaded,
    one_backend_left,
    channel_stalled,
    without_list,
    near_message_limit,
)


def initial_worlds() -> list[PolicyWorld]:
    """Return a new instance of each initial world."""
    return [make_world() for make_world in INITIAL_WORLDS]
