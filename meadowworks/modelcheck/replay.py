"""Replay of a path through a model, with a check of the properties at its end."""

from __future__ import annotations

from collections.abc import Sequence

from meadowworks.modelcheck.model import NO_DEADLOCK, NO_EXCEPTION, Model, Step, World


def replay(model: Model, start_index: int, path: Sequence[Step], cycle: Sequence[Step] = ()) -> list[str]:
    """Replay a path and return the names of the properties violated by its last step.

    :param cycle: the steps that a liveness counterexample repeats after the path.
    :raises ValueError: if the initial world does not exist or a step is not enabled.
    """
    worlds = model.initial_worlds()
    if not 0 <= start_index < len(worlds):
        raise ValueError(f"no start {start_index} in {model.name}, which has {len(worlds)} starts")
    world, violated = worlds[start_index], list[str]()
    for number, step in enumerate(path, 1):
        if step not in world.enabled():
            raise ValueError(f"step {number}, {model.describe_step(step)!r}, is not enabled")
        world = model.thaw(world.freeze())
        try:
            world.take_step(step)
        except Exception:  # any exception of a step violates NO_EXCEPTION
            return [NO_EXCEPTION] if number == len(path) else []
        violated = [prop.name for prop in model.properties_on("step") if not prop.holds(world)]
    violated += _violated_in(model, world)
    if cycle:
        violated += violated_on_cycle(model, world, cycle)
    return violated


def _violated_in(model: Model, world: World) -> list[str]:
    """Return the properties violated in a state, with the obligations left pending if a run stops there."""
    violated = [prop.name for prop in model.properties_on("state") if not prop.holds(world)]
    steps = list(world.enabled())
    if not steps:
        violated += [prop.name for prop in model.properties_on("end") if not prop.holds(world)]
        if not model.may_terminate(world):
            violated.append(NO_DEADLOCK)
    for prop in model.liveness:
        can_stop = not any(is_fair(step) for is_fair in prop.fair_steps for step in steps)
        if prop.is_pending(world) and can_stop:
            violated.append(prop.name)
    return violated


def violated_on_cycle(model: Model, start: World, cycle: Sequence[Step]) -> list[str]:
    """Return the liveness properties that stay pending along a cycle; empty if the cycle does not close.

    Worlds with equal keys are the same state but may differ in the arguments of their steps. If a step is not
    enabled, the first enabled step of the same name is taken instead.

    :raises ValueError: if no enabled step has the name of a step of the cycle.
    """
    world, start_key, pending = start, start.key(), list(model.liveness)
    for step in cycle:
        enabled = list(world.enabled())
        matching = [s for s in enabled if s == step] or [s for s in enabled if s[0] == step[0]]
        if not matching:
            raise ValueError(f"step {model.describe_step(step)!r} of the cycle is not enabled")
        world = model.thaw(world.freeze())
        world.take_step(matching[0])
        pending = [prop for prop in pending if prop.is_pending(world)]
    return [prop.name for prop in pending] if world.key() == start_key else []
