"""Takes a path through a model again, step by step, and checks the properties at its end."""

from __future__ import annotations

from collections.abc import Sequence

from meadowworks.modelcheck.model import NO_DEADLOCK, NO_EXCEPTION, Model, Step, World


def replay(model: Model, start_index: int, path: Sequence[Step], cycle: Sequence[Step] = ()) -> list[str]:
    """Take a path again and name the properties that are broken by its last step.

    :param cycle: the steps that a liveness counterexample repeats after the path.
    :raises ValueError: where the path does not fit the model: a step that can't be taken, an unknown start.
    """
    worlds = model.initial_worlds()
    if not 0 <= start_index < len(worlds):
        raise ValueError(f"no start {start_index} in {model.name}: it has {len(worlds)}")
    world, broken = worlds[start_index], list[str]()
    for number, step in enumerate(path, 1):
        if step not in world.enabled():
            raise ValueError(f"step {number}, {model.describe_step(step)!r}: cannot be taken there")
        world = model.thaw(world.freeze())
        try:
            world.take_step(step)
        except Exception:  # whatever a step raises breaks the property that none does
            return [NO_EXCEPTION] if number == len(path) else []
        broken = [prop.name for prop in model.properties_on("step") if not prop.holds(world)]
    broken += _broken_in(model, world)
    if cycle:
        broken += violated_on_cycle(model, world, cycle)
    return broken


def _broken_in(model: Model, world: World) -> list[str]:
    """Name what is broken in a state, with what stays pending for ever if a run rests there."""
    broken = [prop.name for prop in model.properties_on("state") if not prop.holds(world)]
    steps = list(world.enabled())
    if not steps:
        broken += [prop.name for prop in model.properties_on("end") if not prop.holds(world)]
        if not model.may_terminate(world):
            broken.append(NO_DEADLOCK)
    for live in model.liveness:
        can_rest = not any(is_fair(step) for is_fair in live.fair_steps for step in steps)
        if live.is_pending(world) and can_rest:
            broken.append(live.name)
    return broken


def violated_on_cycle(model: Model, start: World, cycle: Sequence[Step]) -> list[str]:
    """Name what is pending all the way round a cycle that comes back to where it began.

    Worlds with one key are one state, so a step may go by another name in the world at hand: one with the
    same first word is taken then.

    :raises ValueError: for a step that can't be taken.
    """
    world, start_key, pending = start, start.key(), list(model.liveness)
    for step in cycle:
        enabled = list(world.enabled())
        same = [one for one in enabled if one == step] or [one for one in enabled if one[0] == step[0]]
        if not same:
            raise ValueError(f"{model.describe_step(step)!r}: cannot be taken there")
        world = model.thaw(world.freeze())
        world.take_step(same[0])
        pending = [live for live in pending if live.is_pending(world)]
    return [live.name for live in pending] if world.key() == start_key else []
