"""One register a version: `meadowworks.timetable.register.Box`es on disks that are wiped or replaced, and
`Proposal`s that race, are given up, begun anew, or finish what another began.

A letter and its reply are one step, or the reply is lost: what a proposal has heard only tells when its next
letters go, and those are steps of their own. A box's answer is on its disk when it leaves; a loss of power
therefore is a proposal's end, and a wiped disk, or an empty one in its place, is a box that must enter anew.
Voters are told apart by disk, as if each empty one stood at another address.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from meadowworks.check.model import Model, Property, Step
from meadowworks.timetable.register import (
    NONE,
    Again,
    Ballot,
    Box,
    Chosen,
    Entering,
    Held,
    Overtaken,
    Promised,
    Proposal,
    Slot,
    Whole,
    need,
)


@dataclass(frozen=True, slots=True)
class Scene:
    """`wants`: for each proposer its home box, version and content (none: it finishes what others began)."""

    name: str
    tolerate: int = 1
    wants: tuple[tuple[int, int, bytes | None], ...] = ((0, 1, b"a"), (1, 1, b"b"))
    tries: tuple[int, ...] = (1, 1)
    wipes: int = 1
    wiped: tuple[int, ...] = (0, 1, 2)  # disks that may be
    losses: int = 0  # replies lost
    spread: bool = False  # boxes tell each other what they know to be chosen

    @property
    def boxes(self) -> int:
        return 2 * self.tolerate + 1


class World:
    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.did: list[tuple[Any, ...]] = []
        self.boxes = [Box(sound=True) for _ in range(scene.boxes)]
        self.disks = [0] * scene.boxes
        self.need = need(scene.tolerate, scene.boxes)
        self.entering: list[Entering | None] = [None] * scene.boxes
        self.proposals: list[Proposal | None] = [None] * len(scene.wants)
        self.asked: list[frozenset[int]] = [frozenset()] * len(scene.wants)
        self.tries = list(scene.tries)
        self.wipes, self.losses = scene.wipes, scene.losses
        self.chosen: frozenset[tuple[int, bytes]] = frozenset()  # what may have been acknowledged

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = []
        for p, (home, _, _) in enumerate(self.scene.wants):
            proposal = self.proposals[p]
            if (
                self.tries[p]
                and self.boxes[home].sound
                and (proposal is None or proposal.outcome is None or not isinstance(proposal.outcome, Chosen))
            ):
                found.append(("begin", p))
            if proposal is not None and proposal.outcome is None:
                for k in range(len(self.boxes)):
                    if k not in self.asked[p]:
                        found.append(("ask", p, k))
                        if self.losses and self.boxes[k].sound:
                            found.append(("lost", p, k))
        unsound = sum(not box.sound for box in self.boxes)
        for k, box in enumerate(self.boxes):
            if box.sound:
                if self.wipes and k in self.scene.wiped and unsound < self.scene.tolerate:
                    found.append(("wipe", k))
                if self.scene.spread:
                    found += [
                        ("tell", k, j)
                        for j, other in enumerate(self.boxes)
                        if other.sound and other.held.version < box.held.version
                    ]
            else:
                entering = self.entering[k]
                heard = entering.replies if entering else {}
                found += [
                    ("enter", k, j)
                    for j, other in enumerate(self.boxes)
                    if other.sound and self.who(j) not in heard
                ]
        return found

    def who(self, k: int) -> str:
        return f"{k}.{self.disks[k]}"

    def do(self, step: Step) -> None:
        self.did = []
        kind, *what = step
        before = [(box.held, disk) for box, disk in zip(self.boxes, self.disks, strict=True)]
        getattr(self, "do_" + kind)(*what)
        for box in self.boxes:  # on its disk before its answer leaves
            box.changed, box.dirty = set(), False
        for k, (held, disk) in enumerate(before):
            if disk == self.disks[k] and self.boxes[k].sound:
                self.did.append(
                    (
                        "held",
                        held.version,
                        held.content,
                        self.boxes[k].held.version,
                        self.boxes[k].held.content,
                    )
                )

    def do_begin(self, p: int) -> None:
        self.tries[p] -= 1
        home, version, content = self.scene.wants[p]
        number = self.scene.tries[p] - self.tries[p]
        slot = self.boxes[home].slots.get(version)
        if slot:
            number = max(number, slot.promised.number + 1)
        self.proposals[p] = Proposal(
            self.boxes[home].era, version, Ballot(number, f"p{p}"), content, self.need
        )
        self.asked[p] = frozenset()

    def do_ask(self, p: int, k: int, heard: bool = True) -> None:
        proposal = self.proposals[p]
        assert proposal is not None
        accepting = proposal.accepting
        self.asked[p] |= {k}
        reply = self.boxes[k].answer(proposal.letter())
        if not heard:
            self.losses -= 1
            return
        proposal.heard(self.who(k), reply)
        if proposal.accepting != accepting:
            self.asked[p] = frozenset()
        if isinstance(proposal.outcome, Chosen):
            self.chosen |= {(proposal.outcome.version, proposal.outcome.content)}
            self.boxes[self.scene.wants[p][0]].learn(proposal.outcome.version, proposal.outcome.content)
        elif isinstance(proposal.outcome, Overtaken):
            self.boxes[self.scene.wants[p][0]].learn(
                proposal.outcome.held.version, proposal.outcome.held.content
            )

    def do_lost(self, p: int, k: int) -> None:
        self.do_ask(p, k, heard=False)

    def do_wipe(self, k: int) -> None:
        """What its process was at goes with it."""
        self.wipes -= 1
        self.boxes[k] = Box(sound=False)
        self.disks[k] += 1
        for p, (home, _, _) in enumerate(self.scene.wants):
            if home == k:
                self.proposals[p], self.asked[p] = None, frozenset()

    def do_enter(self, k: int, j: int) -> None:
        entering = self.entering[k] or Entering(self.need)
        self.entering[k] = entering
        if entering.heard(self.who(j), self.boxes[j].answer(entering.letter())) and entering.next_round():
            self.boxes[k], self.entering[k] = entering.box(), None

    def do_tell(self, k: int, j: int) -> None:
        self.boxes[j].learn(self.boxes[k].held.version, self.boxes[k].held.content)

    # -- kept and told apart: plain values alone, so that what is kept is what tells worlds apart

    def freeze(self) -> Any:
        return self.scene, self.key()

    def key(self) -> Any:
        return (
            self.scene.name,
            tuple(self.disks),
            tuple(self.tries),
            self.wipes,
            self.losses,
            tuple(sorted(self.chosen)),
            tuple(
                [
                    (
                        b.sound,
                        b.era,
                        b.held.version,
                        b.held.content,
                        tuple([(v, *s.promised, *s.accepted, s.content) for v, s in sorted(b.slots.items())]),
                    )
                    for b in self.boxes
                ]
            ),
            tuple(
                [
                    None
                    if e is None
                    else (e.era, tuple([(w, plain(r)) for w, r in sorted(e.replies.items())]))
                    for e in self.entering
                ]
            ),
            tuple(
                [
                    None
                    if p is None
                    else (
                        p.era,
                        p.version,
                        *p.ballot,
                        p.content,
                        p.accepting,
                        plain(p.outcome),
                        tuple(sorted(p.accepts)),
                        tuple([(w, plain(r)) for w, r in sorted(p.promises.items())]),
                    )
                    for p in self.proposals
                ]
            ),
            tuple([tuple(sorted(a)) for a in self.asked]),
        )


def plain(what: Any) -> Any:
    match what:
        case Promised(ballot, accepted, content):
            return (*ballot, *accepted, content)
        case Whole(era, held, slots):
            return era, held.version, held.content, tuple([(v, *p, *a, c) for v, p, a, c in slots])
        case Chosen(version, content):
            return "chosen", version, content
        case Overtaken(held):
            return "overtaken", held.version, held.content
        case Again(era, ballot):
            return "again", era, *ballot
    return ()


def outcome(kept: Any) -> Any:
    match kept:
        case "chosen", version, content:
            return Chosen(version, content)
        case "overtaken", version, content:
            return Overtaken(Held(version, content))
        case "again", era, number, who:
            return Again(era, Ballot(number, who))
    return None


def slots(kept: Any) -> list[tuple[int, Ballot, Ballot, bytes]]:
    return [(v, Ballot(pn, pw), Ballot(an, aw), c) for v, pn, pw, an, aw, c in kept]


def thaw(state: Any) -> World:
    scene, (_, disks, tries, wipes, losses, chosen, boxes, entering, proposals, asked) = state
    world = World(scene)
    world.disks, world.tries, world.wipes, world.losses = list(disks), list(tries), wipes, losses
    world.chosen, world.asked = frozenset(chosen), [frozenset(a) for a in asked]
    world.boxes = [
        Box(sound, era, Held(version, content), {v: Slot(p, a, c) for v, p, a, c in slots(rest)})
        for sound, era, version, content, rest in boxes
    ]
    for k, kept in enumerate(entering):
        if kept is not None:
            one = world.entering[k] = Entering(world.need)
            one.era = kept[0]
            one.replies = {w: Whole(e, Held(v, c), tuple(slots(rest))) for w, (e, v, c, rest) in kept[1]}
    for p, kept in enumerate(proposals):
        if kept is not None:
            era, version, number, who, content, accepting, end, accepts, promises = kept
            made = world.proposals[p] = Proposal(era, version, Ballot(number, who), content, world.need)
            made.accepting, made.outcome, made.accepts = accepting, outcome(end), set(accepts)
            made.promises = {w: Promised(Ballot(a, b), Ballot(c, d), e) for w, (a, b, c, d, e) in promises}
    return world


def one_content(world: World) -> bool:
    versions = [version for version, _ in world.chosen]
    return len(versions) == len(set(versions))


def lasts(world: World) -> bool:
    """Whoever asks enough sound boxes finds the newest that may have been acknowledged, or one above it."""
    if not world.chosen:
        return True
    version, content = max(world.chosen)
    sound = [box for box in world.boxes if box.sound]
    return all(
        any(
            box.held.version > version
            or box.held == Held(version, content)
            or (slot := box.slots.get(version)) is not None
            and slot.accepted > NONE
            and slot.content == content
            for box in group
        )
        for group in combinations(sound, world.need)
    )


def never_back(world: World) -> bool:
    return all(
        after > before or after == before and content == was
        for kind, before, was, after, content in world.did
        if kind == "held"
    )


PROPERTIES = (
    Property(
        "one content", "of the contents sent under one number, one at most is ever acknowledged", one_content
    ),
    Property("lasts", "what was acknowledged is found by whoever asks a majority of the sound disks", lasts),
    Property(
        "never back",
        "a disk holds no version older than one it held, nor another content of it",
        never_back,
        "step",
    ),
)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "begin", [p]:
            return f"proposer {p} begins"
        case "ask", [p, k]:
            return f"proposer {p} asks disk {k} and hears it"
        case "lost", [p, k]:
            return f"proposer {p} asks disk {k}, whose reply is lost"
        case "wipe", [k]:
            return f"disk {k} is replaced by an empty one"
        case "enter", [k, j]:
            return f"empty disk {k} asks disk {j}"
        case "tell", [k, j]:
            return f"disk {k} tells disk {j} what is in force"
    raise ValueError(f"no such step: {step!r}")


def starts(large: bool) -> list[World]:
    scenes = [
        Scene("a bystander's disk is replaced", wiped=(2,)),
        Scene("begun anew", wipes=0, tries=(2, 1)),
        Scene("two versions", wants=((0, 1, b"a"), (1, 2, b"b")), spread=True, wipes=0),
        Scene("finished by another", wants=((0, 1, b"a"), (1, 1, None)), wiped=(0,), losses=1),
        Scene("five disks", tolerate=2, wiped=(4,), wants=((0, 1, b"a"),), tries=(1,)),
    ]
    if large:
        scenes += [
            Scene("any disk is replaced"),
            Scene("two are, one after the other", wipes=2, wiped=(0, 2)),
            Scene("begun anew, both", wipes=0, tries=(2, 2), losses=1),
            Scene("five disks, a race", tolerate=2, wiped=(4,)),
        ]
    return [World(scene) for scene in scenes]


def model(large: bool) -> Model:
    return Model(
        "timetable",
        "versions of the configuration on a majority of disks",
        lambda: starts(large),
        thaw,
        say,
        PROPERTIES,
        finished=lambda world: True,
    )
