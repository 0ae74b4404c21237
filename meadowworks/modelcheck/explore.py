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

from meadowworks.modelcheck.live import Edges, never_answered
from meadowworks.modelcheck.model import DEADLOCK, FAULT, Broken, Model, Property, Result, Step, World

MARSHAL = 2  # the last form without back references, which depend on more than the value
ROOT = 0  # as the parent's fingerprint of a start
IMPLIED = (
    Property(FAULT, "no step ends in an exception or a broken assertion", lambda world: True),
    Property(DEADLOCK, "where nothing can happen any more, nothing is owed", lambda world: True),
)


def fingerprint(key: Any) -> int:
    return xxh3_64_intdigest(marshal.dumps(key, MARSHAL)) or 1


@dataclass(slots=True)
class Child:
    """A state reached: where from, by which step, and the world itself, frozen."""

    mark: int
    parent: int
    step: int
    state: Any


@dataclass(slots=True)
class Broke:
    """A property broken by the step from a parent (or at a start, with the step's number being the
    start's)."""

    name: str
    parent: int
    step: int
    why: str = ""


@dataclass(slots=True)
class Shard:
    """What one process owns: the states whose fingerprints fall to it."""

    model: Model
    seen: dict[int, tuple[int, int]] = field(default_factory=dict)  # fingerprint: parent and step
    front: list[tuple[int, Any]] = field(default_factory=list)
    steps: dict[Step, int] = field(default_factory=dict)
    transitions: int = 0
    broke: list[Broke] = field(default_factory=list)
    edges: Edges = field(default_factory=Edges)
    figures: dict[str, float] = field(default_factory=dict)
    only: tuple[int, ...] = ()  # starts by their places; none: all
    deep: int = 0  # steps from the starts to the front

    def number(self, step: Step) -> int:
        return self.steps.setdefault(step, len(self.steps))

    def look(self, world: World, mark: int, parent: int, step: int) -> None:
        """What holds of a state, once when it is first reached."""
        for prop in self.model.properties:
            if prop.on == "state" and not prop.holds(world):
                self.broke.append(Broke(prop.name, parent, step))
        if self.model.figures:
            for name, value in self.model.figures(world).items():
                self.figures[name] = max(value, self.figures.get(name, value))
        waits = [k for k, live in enumerate(self.model.lives) if live.waits(world)]
        if waits:
            self.edges.waiting(mark, waits)

    def take(self, children: Sequence[Child]) -> None:
        """States that fall to this shard. Who is known already is let go."""
        for child in children:
            if child.mark in self.seen:
                continue
            self.seen[child.mark] = child.parent, child.step
            self.front.append((child.mark, child.state))

    def expand(self) -> list[Child]:
        """All steps from the front; what they lead to, each once."""
        front, self.front = self.front, []
        found: dict[int, Child] = {}
        step_props = [p for p in self.model.properties if p.on == "step"]
        end_props = [p for p in self.model.properties if p.on == "end"]
        thaw, lives = self.model.thaw, bool(self.model.lives)
        last = 0 < self.model.depth <= self.deep  # looked at, and not gone on from
        self.deep += 1
        for mark, state in front:
            world = thaw(state)
            parent, by = self.seen[mark]
            self.look(world, mark, parent, by)
            if last:
                continue
            steps = list(world.enabled())
            if not steps:
                if not self.model.finished(world):
                    self.broke.append(Broke(DEADLOCK, parent, by))
                self.broke += [Broke(p.name, parent, by) for p in end_props if not p.holds(world)]
            for place, step in enumerate(steps, 1):
                number = self.number(step)
                if place > 1:  # the world that was asked for its steps takes the first of them
                    world = thaw(state)
                self.transitions += 1
                try:
                    world.do(step)
                    key = world.key()
                except Exception as trouble:
                    at = traceback.extract_tb(trouble.__traceback__)[-1]
                    why = f"{type(trouble).__name__}: {trouble} ({at.name}, line {at.lineno})"
                    self.broke.append(Broke(FAULT, mark, number, why))
                    continue
                for prop in step_props:
                    if not prop.holds(world):
                        self.broke.append(Broke(prop.name, mark, number))
                child = fingerprint(key)
                if lives:
                    self.edges.add(mark, child, number)
                if child not in found and child not in self.seen:
                    found[child] = Child(child, mark, number, world.freeze())
        return list(found.values())

    def begin(self) -> list[Child]:
        found = []
        for place, world in enumerate(self.model.starts()):
            if self.only and place not in self.only:
                continue
            found.append(Child(fingerprint(world.key()), ROOT, place, world.freeze()))
        return found


def explore(
    model: Model,
    workers: int = 1,
    most: int = 0,
    until: frozenset[str] = frozenset(),
    told: Callable[[int, int], None] | None = None,
    only: tuple[int, ...] = (),
) -> Result:
    """Visits every state, or says what it left out. `most` bounds the states (0: no bound); a property named
    in `until` that breaks ends it; `only` names starts by their places; `told` hears
    depth and states after each level. Raises ValueError for a bound under 0 or fewer workers than one."""
    if workers < 1 or most < 0:
        raise ValueError("workers are at least 1, and a bound is at least 0")
    began = time.monotonic()
    run = Several(model, workers, only) if workers > 1 else One(model, only)
    try:
        depth = states = 0
        left_out = ""
        while found := run.level():
            states += found
            depth += 1
            if told:
                told(depth, states)
            if most and states >= most:
                left_out = f"all beyond {states} states, at {depth} steps: the bound was {most}"
                break
            if until & run.broken():
                left_out = f"all beyond {depth} steps: a property broke"
                break
        whole = run.whole()
    finally:
        run.end()
    if model.depth and depth > model.depth:
        left_out = left_out or f"what takes more than {model.depth} steps"
    result = Result(
        model.name,
        len(whole.seen),
        whole.transitions,
        depth - 1 if depth else 0,
        left_out=left_out,
        figures=whole.figures or None,
    )
    result.broken = tuple(tell(model, whole))
    if not left_out:
        result.broken += tuple(never(model, whole))
    result.seconds = time.monotonic() - began
    return result


class One:
    """The whole in this process."""

    def __init__(self, model: Model, only: tuple[int, ...]) -> None:
        self.shard = Shard(model, only=only)
        self.children = self.shard.begin()

    def level(self) -> int:
        """Takes in what was found, expands it; how many states were new."""
        self.shard.take(self.children)
        found = len(self.shard.front)
        self.children = self.shard.expand() if found else []
        return found

    def broken(self) -> set[str]:
        return {b.name for b in self.shard.broke}

    def whole(self) -> Shard:
        return self.shard

    def end(self) -> None:
        pass


class Several:
    """The same in processes that share the fingerprints out among them."""

    def __init__(self, model: Model, workers: int, only: tuple[int, ...]) -> None:
        context = mp.get_context("fork")  # models hold functions, which no other way would carry
        self.model, self.pipes, self.processes = model, [], []
        self.names: set[str] = set()
        for place in range(workers):
            here, there = context.Pipe()
            process = context.Process(target=work, args=(model, place, workers, only, there), daemon=True)
            process.start()
            there.close()
            self.pipes.append(here)
            self.processes.append(process)

    def level(self) -> int:
        bundles = [[pipe.recv_bytes() for _ in self.pipes] for pipe in self.pipes]
        for place, pipe in enumerate(self.pipes):
            for each in bundles:
                pipe.send_bytes(each[place])
        counts = [pipe.recv() for pipe in self.pipes]
        self.names.update(*(names for _, names in counts))
        return sum(found for found, _ in counts)

    def broken(self) -> set[str]:
        return self.names

    def whole(self) -> Shard:
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
            names.append({old: whole.number(step) for step, old in part.steps.items()})
        for part, name in zip(parts, names, strict=True):
            # A state's step is numbered by the shard that owns its parent.
            for mark, (parent, step) in part.seen.items():
                whole.seen[mark] = parent, step if parent == ROOT else names[parent % len(parts)][step]
            for b in part.broke:
                b.step = b.step if b.parent == ROOT else names[b.parent % len(parts)][b.step]
            whole.broke += part.broke
            whole.transitions += part.transitions
            whole.edges.join(part.edges, name)
            for figure, value in part.figures.items():
                whole.figures[figure] = max(value, whole.figures.get(figure, value))
        return whole

    def end(self) -> None:
        for pipe in self.pipes:
            pipe.close()
        for process in self.processes:
            process.join(1)
            if process.is_alive():
                process.terminate()


def work(model: Model, place: int, workers: int, only: tuple[int, ...], pipe: Connection) -> None:
    """One process: hands out what it found by owner, takes in what is its own, expands that."""
    shard = Shard(model, only=only)
    children = shard.begin() if place == 0 else []
    sent: set[int] = set()  # of others' states: told once is enough
    try:
        while True:
            shares: list[list[tuple[int, int, int, Any]]] = [[] for _ in range(workers)]
            for child in children:
                if child.mark not in sent:
                    shares[child.mark % workers].append((child.mark, child.parent, child.step, child.state))
            for owner, share in enumerate(shares):
                sent.update(mark for mark, *_ in share if owner != place)
                pipe.send_bytes(pickle.dumps(share, pickle.HIGHEST_PROTOCOL))
            got = [pipe.recv_bytes() for _ in range(workers)]
            if not got[0]:  # the end: all that this shard knows
                pipe.send_bytes(
                    pickle.dumps(
                        (
                            shard.seen,
                            [],
                            shard.steps,
                            shard.transitions,
                            shard.broke,
                            shard.edges,
                            shard.figures,
                        ),
                        pickle.HIGHEST_PROTOCOL,
                    )
                )
                return
            for bundle in got:
                shard.take([Child(*child) for child in pickle.loads(bundle)])
            found = len(shard.front)
            children = shard.expand()
            pipe.send((found, {b.name for b in shard.broke}))
    except (EOFError, BrokenPipeError):
        return  # the parent has ended early


# -- paths


def path_to(whole: Shard, mark: int, steps: Sequence[Step]) -> tuple[int, tuple[Step, ...]]:
    """The start's place, and the steps from it to a state."""
    taken: list[Step] = []
    while True:
        parent, step = whole.seen[mark]
        if parent == ROOT:
            return step, tuple(reversed(taken))
        taken.append(steps[step])
        mark = parent


def tell(model: Model, whole: Shard) -> list[Broken]:
    """The shortest path to each broken property; of equally short ones the first in the order of its
    words."""
    steps = list(whole.steps)
    best: dict[str, Broken] = {}
    words = {p.name: p.words for p in (*model.properties, *IMPLIED)}
    for b in whole.broke:
        if b.parent == ROOT:
            start, taken = b.step, tuple[Step, ...]()
        else:
            start, taken = path_to(whole, b.parent, steps)
            taken = (*taken, steps[b.step])
        old = best.get(b.name)
        if old is None or (len(taken), start, repr(taken)) < (len(old.steps), old.start, repr(old.steps)):
            best[b.name] = Broken(b.name, words[b.name], start, taken, (), b.why)
    return [best[name] for name in sorted(best)]


def never(model: Model, whole: Shard) -> list[Broken]:
    """What is owed for ever, with the cycle in which it is."""
    steps, found = list(whole.steps), []
    depths: dict[int, int] = {ROOT: -1}

    def far(mark: int) -> int:
        way = []
        while mark not in depths:
            way.append(mark)
            mark = whole.seen[mark][0]
        for place, back in enumerate(reversed(way), depths[mark] + 1):
            depths[back] = place
        return depths[way[0]] if way else depths[mark]

    for place, live in enumerate(model.lives):
        fair = [frozenset(n for n, step in enumerate(steps) if fits(step)) for fits in live.fair]
        cycle = never_answered(whole.edges, place, fair, far)
        if cycle is None:
            continue
        mark, taken = cycle
        start, way = path_to(whole, mark, steps)
        why = "then for ever" if taken else "then nothing more need happen"
        found.append(Broken(live.name, live.words, start, way, tuple(steps[n] for n in taken), why))
    return found


def replay(model: Model, start: int, taken: Sequence[Step], cycle: Sequence[Step] = ()) -> list[str]:
    """Plays a path again and names the properties that are broken by its last step. Raises ValueError where
    the path does not fit the model: a step that cannot be taken there, a start that is not."""
    worlds = model.starts()
    if not 0 <= start < len(worlds):
        raise ValueError(f"no start {start} in {model.name}: it has {len(worlds)}")
    world, broken = worlds[start], list[str]()
    for place, step in enumerate(taken, 1):
        if step not in world.enabled():
            raise ValueError(f"step {place}, {model.say(step)!r}: cannot be taken there")
        world = model.thaw(world.freeze())
        try:
            world.do(step)
        except Exception:
            return [FAULT] if place == len(taken) else []
        broken = [p.name for p in model.properties if p.on == "step" and not p.holds(world)]
    broken += [p.name for p in model.properties if p.on == "state" and not p.holds(world)]
    steps = list(world.enabled())
    if not steps:
        broken += [p.name for p in model.properties if p.on == "end" and not p.holds(world)]
        broken += [] if model.finished(world) else [DEADLOCK]
    for live in model.lives:  # it may rest here
        if live.waits(world) and not any(fits(step) for fits in live.fair for step in steps):
            broken.append(live.name)
    if cycle:
        broken += goes_round(model, world, cycle)
    return broken


def goes_round(model: Model, world: World, cycle: Sequence[Step]) -> list[str]:
    """What is owed all the way round a cycle that comes back to where it began. Worlds that are alike are one
    state, so a step is known by where it leads if it is not by its name."""
    first, owed = world.key(), [live for live in model.lives]
    for step in cycle:
        names = [s for s in world.enabled() if s == step] or [s for s in world.enabled() if s[0] == step[0]]
        if not names:
            raise ValueError(f"{model.say(step)!r}: cannot be taken there")
        world = model.thaw(world.freeze())
        world.do(names[0])
        owed = [live for live in owed if live.waits(world)]
    return [live.name for live in owed] if world.key() == first else []
