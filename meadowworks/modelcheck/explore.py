"""Breadth first over all states of a model, in one process or several.

A state is kept as a 64-bit fingerprint of its key, with the fingerprint and step that led to it; whole worlds
are kept only while they wait to be expanded. Two keys with one fingerprint would hide a state: with n states
the chance is about n * n / 2**65, 3e-8 for a million. Processes own states by fingerprint and go level by
level, so the first path found to a state is a shortest one, and the same one in every run.
"""

from __future__ import annotations

import marshal
import multiprocessing as mp
import pickle
import time
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from typing import Any

from xxhash import xxh3_64_intdigest

from meadowworks.modelcheck.live import PendingGraph, find_unanswered_run
from meadowworks.modelcheck.model import (
    NO_DEADLOCK,
    NO_EXCEPTION,
    Counterexample,
    Model,
    Property,
    Result,
    Step,
    World,
)

MARSHAL_VERSION = 2  # the last form without back references, which depend on more than the value
NO_PARENT = 0  # as the parent's fingerprint of a start
IMPLICIT_PROPERTIES = (
    Property(NO_EXCEPTION, "no step ends in an exception or a broken assertion", lambda world: True),
    Property(NO_DEADLOCK, "where nothing can happen any more, nothing is owed", lambda world: True),
)


def fingerprint(key: Any) -> int:
    return xxh3_64_intdigest(marshal.dumps(key, MARSHAL_VERSION)) or 1


@dataclass(slots=True)
class DiscoveredState:
    """A state reached: where from, by which step, and the world itself, frozen."""

    fingerprint: int
    parent: int
    step_number: int
    state: Any


@dataclass(slots=True)
class Violation:
    """A property broken by the step from a parent (or at a start, with the step's number being the
    start's)."""

    property_name: str
    parent: int
    step_number: int
    reason: str = ""


@dataclass(slots=True)
class Shard:
    """What one process owns: the states whose fingerprints fall to it."""

    model: Model
    visited: dict[int, tuple[int, int]] = field(default_factory=dict)  # fingerprint: parent and step
    frontier: list[tuple[int, Any]] = field(default_factory=list)
    step_numbers: dict[Step, int] = field(default_factory=dict)
    transitions: int = 0
    violations: list[Violation] = field(default_factory=list)
    pending_graph: PendingGraph = field(default_factory=PendingGraph)
    metrics: dict[str, float] = field(default_factory=dict)
    start_indices: tuple[int, ...] = ()  # starts by their places; none: all
    depth: int = 0  # steps from the starts to the front

    def step_number(self, step: Step) -> int:
        return self.step_numbers.setdefault(step, len(self.step_numbers))

    def check_state(self, world: World, fingerprint: int, parent: int, step_number: int) -> None:
        """What holds of a state, once when it is first reached."""
        for prop in self.model.properties:
            if prop.checked_on == "state" and not prop.holds(world):
                self.violations.append(Violation(prop.name, parent, step_number))
        if self.model.metrics:
            for name, value in self.model.metrics(world).items():
                self.metrics[name] = max(value, self.metrics.get(name, value))
        waits = [k for k, live in enumerate(self.model.liveness) if live.is_pending(world)]
        if waits:
            self.pending_graph.mark_pending(fingerprint, waits)

    def add_states(self, children: Sequence[DiscoveredState]) -> None:
        """States that fall to this shard. Who is known already is let go."""
        for child in children:
            if child.fingerprint in self.visited:
                continue
            self.visited[child.fingerprint] = child.parent, child.step_number
            self.frontier.append((child.fingerprint, child.state))

    def expand(self) -> list[DiscoveredState]:
        """All steps from the front; what they lead to, each once."""
        front, self.frontier = self.frontier, []
        found: dict[int, DiscoveredState] = {}
        step_props = [p for p in self.model.properties if p.checked_on == "step"]
        end_props = [p for p in self.model.properties if p.checked_on == "end"]
        thaw, lives = self.model.thaw, bool(self.model.liveness)
        last = 0 < self.model.max_depth <= self.depth  # looked at, and not gone on from
        self.depth += 1
        for mark, state in front:
            world = thaw(state)
            parent, by = self.visited[mark]
            self.check_state(world, mark, parent, by)
            if last:
                continue
            steps = list(world.enabled())
            if not steps:
                if not self.model.may_terminate(world):
                    self.violations.append(Violation(NO_DEADLOCK, parent, by))
                self.violations += [Violation(p.name, parent, by) for p in end_props if not p.holds(world)]
            for place, step in enumerate(steps, 1):
                number = self.step_number(step)
                if place > 1:  # the world that was asked for its steps takes the first of them
                    world = thaw(state)
                self.transitions += 1
                try:
                    world.take_step(step)
                    key = world.key()
                except Exception as trouble:
                    at = traceback.extract_tb(trouble.__traceback__)[-1]
                    why = f"{type(trouble).__name__}: {trouble} ({at.name}, line {at.lineno})"
                    self.violations.append(Violation(NO_EXCEPTION, mark, number, why))
                    continue
                for prop in step_props:
                    if not prop.holds(world):
                        self.violations.append(Violation(prop.name, mark, number))
                child = fingerprint(key)
                if lives:
                    self.pending_graph.add(mark, child, number)
                if child not in found and child not in self.visited:
                    found[child] = DiscoveredState(child, mark, number, world.freeze())
        return list(found.values())

    def initial_states(self) -> list[DiscoveredState]:
        found = []
        for place, world in enumerate(self.model.initial_worlds()):
            if self.start_indices and place not in self.start_indices:
                continue
            found.append(DiscoveredState(fingerprint(world.key()), NO_PARENT, place, world.freeze()))
        return found


def explore(
    model: Model,
    workers: int = 1,
    max_states: int = 0,
    stop_on: frozenset[str] = frozenset(),
    on_level: Callable[[int, int], None] | None = None,
    start_indices: tuple[int, ...] = (),
) -> Result:
    """Visits every state, or says what it left out. `most` bounds the states (0: no bound); a property named
    in `until` that breaks ends it; `only` names starts by their places; `told` hears
    depth and states after each level. Raises ValueError for a bound under 0 or fewer workers than one."""
    if workers < 1 or max_states < 0:
        raise ValueError("workers are at least 1, and a bound is at least 0")
    began = time.monotonic()
    run = (
        MultiProcessExplorer(model, workers, start_indices)
        if workers > 1
        else SingleProcessExplorer(model, start_indices)
    )
    try:
        depth = states = 0
        left_out = ""
        while found := run.explore_level():
            states += found
            depth += 1
            if on_level:
                on_level(depth, states)
            if max_states and states >= max_states:
                left_out = f"all beyond {states} states, at {depth} steps: the bound was {max_states}"
                break
            if stop_on & run.violated():
                left_out = f"all beyond {depth} steps: a property broke"
                break
        whole = run.merged()
    finally:
        run.close()
    if model.max_depth and depth > model.max_depth:
        left_out = left_out or f"what takes more than {model.max_depth} steps"
    result = Result(
        model.name,
        len(whole.visited),
        whole.transitions,
        depth - 1 if depth else 0,
        left_out=left_out,
        metrics=whole.metrics or None,
    )
    result.counterexamples = tuple(shortest_counterexamples(model, whole))
    if not left_out:
        result.counterexamples += tuple(liveness_counterexamples(model, whole))
    result.seconds = time.monotonic() - began
    return result


class SingleProcessExplorer:
    """The whole in this process."""

    def __init__(self, model: Model, start_indices: tuple[int, ...]) -> None:
        self.shard = Shard(model, start_indices=start_indices)
        self.discovered = self.shard.initial_states()

    def explore_level(self) -> int:
        """Takes in what was found, expands it; how many states were new."""
        self.shard.add_states(self.discovered)
        found = len(self.shard.frontier)
        self.discovered = self.shard.expand() if found else []
        return found

    def violated(self) -> set[str]:
        return {b.property_name for b in self.shard.violations}

    def merged(self) -> Shard:
        return self.shard

    def close(self) -> None:
        pass


class MultiProcessExplorer:
    """The same in processes that share the fingerprints out among them."""

    def __init__(self, model: Model, workers: int, start_indices: tuple[int, ...]) -> None:
        context = mp.get_context("fork")  # models hold functions, which no other way would carry
        self.model, self.pipes, self.processes = model, [], []
        self.violated_names: set[str] = set()
        for place in range(workers):
            here, there = context.Pipe()
            process = context.Process(
                target=run_worker, args=(model, place, workers, start_indices, there), daemon=True
            )
            process.start()
            there.close()
            self.pipes.append(here)
            self.processes.append(process)

    def explore_level(self) -> int:
        bundles = [[pipe.recv_bytes() for _ in self.pipes] for pipe in self.pipes]
        for place, pipe in enumerate(self.pipes):
            for each in bundles:
                pipe.send_bytes(each[place])
        counts = [pipe.recv() for pipe in self.pipes]
        self.violated_names.update(*(names for _, names in counts))
        return sum(found for found, _ in counts)

    def violated(self) -> set[str]:
        return self.violated_names

    def merged(self) -> Shard:
        for pipe in self.pipes:
            for _ in self.pipes:
                pipe.recv_bytes()
            for _ in self.pipes:
                pipe.send_bytes(b"")
        whole = Shard(self.model)
        names: list[dict[int, int]] = []
        parts: list[Shard] = []
        for pipe in self.pipes:
            part = Shard(self.model, *pickle.loads(pipe.recv_bytes()))
            parts.append(part)
            names.append({old: whole.step_number(step) for step, old in part.step_numbers.items()})
        for part, name in zip(parts, names, strict=True):
            # A state's step is numbered by the shard that owns its parent.
            for mark, (parent, step) in part.visited.items():
                whole.visited[mark] = (
                    parent,
                    step if parent == NO_PARENT else names[parent % len(parts)][step],
                )
            for b in part.violations:
                b.step_number = (
                    b.step_number if b.parent == NO_PARENT else names[b.parent % len(parts)][b.step_number]
                )
            whole.violations += part.violations
            whole.transitions += part.transitions
            whole.pending_graph.merge(part.pending_graph, name)
            for figure, value in part.metrics.items():
                whole.metrics[figure] = max(value, whole.metrics.get(figure, value))
        return whole

    def close(self) -> None:
        for pipe in self.pipes:
            pipe.close()
        for process in self.processes:
            process.join(1)
            if process.is_alive():
                process.terminate()


def run_worker(
    model: Model, shard_index: int, workers: int, start_indices: tuple[int, ...], pipe: Connection
) -> None:
    """One process: hands out what it found by owner, takes in what is its own, expands that."""
    shard = Shard(model, start_indices=start_indices)
    children = shard.initial_states() if shard_index == 0 else []
    sent: set[int] = set()  # of others' states: told once is enough
    try:
        while True:
            shares: list[list[tuple[int, int, int, Any]]] = [[] for _ in range(workers)]
            for child in children:
                if child.fingerprint not in sent:
                    shares[child.fingerprint % workers].append(
                        (child.fingerprint, child.parent, child.step_number, child.state)
                    )
            for owner, share in enumerate(shares):
                sent.update(mark for mark, *_ in share if owner != shard_index)
                pipe.send_bytes(pickle.dumps(share, pickle.HIGHEST_PROTOCOL))
            got = [pipe.recv_bytes() for _ in range(workers)]
            if not got[0]:  # the end: all that this shard knows
                pipe.send_bytes(
                    pickle.dumps(
                        (
                            shard.visited,
                            [],
                            shard.step_numbers,
                            shard.transitions,
                            shard.violations,
                            shard.pending_graph,
                            shard.metrics,
                        ),
                        pickle.HIGHEST_PROTOCOL,
                    )
                )
                return
            for bundle in got:
                shard.add_states([DiscoveredState(*child) for child in pickle.loads(bundle)])
            found = len(shard.frontier)
            children = shard.expand()
            pipe.send((found, {b.property_name for b in shard.violations}))
    except (EOFError, BrokenPipeError):
        return  # the parent has ended early


# -- paths


def path_to(shard: Shard, fingerprint: int, steps: Sequence[Step]) -> tuple[int, tuple[Step, ...]]:
    """The start's place, and the steps from it to a state."""
    taken: list[Step] = []
    while True:
        parent, step = shard.visited[fingerprint]
        if parent == NO_PARENT:
            return step, tuple(reversed(taken))
        taken.append(steps[step])
        fingerprint = parent


def shortest_counterexamples(model: Model, shard: Shard) -> list[Counterexample]:
    """The shortest path to each broken property; of equally short ones the first in the order of its
    words."""
    steps = list(shard.step_numbers)
    best: dict[str, Counterexample] = {}
    words = {p.name: p.description for p in (*model.properties, *IMPLICIT_PROPERTIES)}
    for b in shard.violations:
        if b.parent == NO_PARENT:
            start, taken = b.step_number, tuple[Step, ...]()
        else:
            start, taken = path_to(shard, b.parent, steps)
            taken = (*taken, steps[b.step_number])
        old = best.get(b.property_name)
        if old is None or (len(taken), start, repr(taken)) < (
            len(old.steps),
            old.start_index,
            repr(old.steps),
        ):
            best[b.property_name] = Counterexample(
                b.property_name, words[b.property_name], start, taken, (), b.reason
            )
    return [best[name] for name in sorted(best)]


def liveness_counterexamples(model: Model, shard: Shard) -> list[Counterexample]:
    """What is owed for ever, with the cycle in which it is."""
    steps, found = list(shard.step_numbers), []
    depths: dict[int, int] = {NO_PARENT: -1}

    def far(mark: int) -> int:
        way = []
        while mark not in depths:
            way.append(mark)
            mark = shard.visited[mark][0]
        for place, back in enumerate(reversed(way), depths[mark] + 1):
            depths[back] = place
        return depths[way[0]] if way else depths[mark]

    for place, live in enumerate(model.liveness):
        fair = [frozenset(n for n, step in enumerate(steps) if fits(step)) for fits in live.fair_steps]
        cycle = find_unanswered_run(shard.pending_graph, place, fair, far)
        if cycle is None:
            continue
        mark, taken = cycle
        start, way = path_to(shard, mark, steps)
        why = "then for ever" if taken else "then nothing more need happen"
        found.append(
            Counterexample(live.name, live.description, start, way, tuple(steps[n] for n in taken), why)
        )
    return found


def replay(model: Model, start_index: int, path: Sequence[Step], cycle: Sequence[Step] = ()) -> list[str]:
    """Plays a path again and names the properties that are broken by its last step. Raises ValueError where
    the path does not fit the model: a step that cannot be taken there, a start that is not."""
    worlds = model.initial_worlds()
    if not 0 <= start_index < len(worlds):
        raise ValueError(f"no start {start_index} in {model.name}: it has {len(worlds)}")
    world, broken = worlds[start_index], list[str]()
    for place, step in enumerate(path, 1):
        if step not in world.enabled():
            raise ValueError(f"step {place}, {model.describe_step(step)!r}: cannot be taken there")
        world = model.thaw(world.freeze())
        try:
            world.take_step(step)
        except Exception:
            return [NO_EXCEPTION] if place == len(path) else []
        broken = [p.name for p in model.properties if p.checked_on == "step" and not p.holds(world)]
    broken += [p.name for p in model.properties if p.checked_on == "state" and not p.holds(world)]
    steps = list(world.enabled())
    if not steps:
        broken += [p.name for p in model.properties if p.checked_on == "end" and not p.holds(world)]
        broken += [] if model.may_terminate(world) else [NO_DEADLOCK]
    for live in model.liveness:  # it may rest here
        if live.is_pending(world) and not any(fits(step) for fits in live.fair_steps for step in steps):
            broken.append(live.name)
    if cycle:
        broken += unanswered_on_cycle(model, world, cycle)
    return broken


def unanswered_on_cycle(model: Model, start: World, cycle: Sequence[Step]) -> list[str]:
    """What is owed all the way round a cycle that comes back to where it began. Worlds that are alike are one
    state, so a step is known by where it leads if it is not by its name."""
    first, owed = start.key(), [live for live in model.liveness]
    for step in cycle:
        names = [s for s in start.enabled() if s == step] or [s for s in start.enabled() if s[0] == step[0]]
        if not names:
            raise ValueError(f"{model.describe_step(step)!r}: cannot be taken there")
        start = model.thaw(start.freeze())
        start.take_step(names[0])
        owed = [live for live in owed if live.is_pending(start)]
    return [live.name for live in owed] if start.key() == first else []
