"""The worlds that an exploration starts from."""

from __future__ import annotations

from collections.abc import Callable

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.policy.deployment import DRAINING, GONE, READY
from meadowworks.modelcheck.models.policy.world import ALL_FAIL, FEW_CALLS, MANY_CALLS, NO_FAILURES, World

QUIET_SECONDS, OVERLOAD_SECONDS = 9, 4
TICK: Step = ("tick",)
QUIET_SECOND: tuple[Step, ...] = (("report", NO_FAILURES), ("ask", FEW_CALLS), TICK, TICK)
OVERLOAD_SECOND: tuple[Step, ...] = (("ask", MANY_CALLS), ("report", ALL_FAIL), TICK, TICK)


def take_steps(world: World, *steps: Step) -> None:
    """Takes one step after the other."""
    for step in steps:
        world.take_step(step)


def fresh() -> World:
    """A controller that has just read its list from disk."""
    return World()


def quiet() -> World:
    """Both proxies joined, nine seconds into a quiet day."""
    world = World()
    take_steps(world, ("join", 0), ("join", 1), ("whole",), *QUIET_SECOND * QUIET_SECONDS)
    return world


def overloaded() -> World:
    """All attempts fail, calls are throttled."""
    world = quiet()
    take_steps(world, *OVERLOAD_SECOND * OVERLOAD_SECONDS)
    return world


def one_backend_left() -> World:
    """One backend left in all, one just started."""
    world = quiet()
    take_steps(world, ("list", 0, GONE), TICK, ("list", 1, GONE), TICK, ("start", 0), TICK)
    return world


def channel_stalled() -> World:
    """The channel stalls with messages in it."""
    world = quiet()
    take_steps(world, ("channel",), ("list", 0, DRAINING), TICK, ("leave", 0), ("join", 0), TICK)
    return world


def without_list() -> World:
    """Both proxies joined, and no list so far."""
    world = World(listed=False)
    take_steps(world, ("join", 0), ("join", 1), TICK)
    return world


def near_message_limit() -> World:
    """Nearly as many messages as the window allows have been sent."""
    world = quiet()
    take_steps(world, *[TICK] * 8, ("list", 0, DRAINING), TICK, ("list", 0, READY), TICK)
    take_steps(world, TICK, ("list", 0, DRAINING), TICK, ("list", 2, DRAINING), TICK)
    return world


# Seeded faults name them by their place.
INITIAL_WORLDS: tuple[Callable[[], World], ...] = (
    fresh,
    quiet,
    overloaded,
    one_backend_left,
    channel_stalled,
    without_list,
    near_message_limit,
)


def initial_worlds() -> list[World]:
    """The worlds, made anew."""
    return [make_world() for make_world in INITIAL_WORLDS]
