"""Drains between two signalboxes with slow disks: `roster.fences.Fences`, with `roster.beats.Beats`,
`roster.lives.Lives` and `telegraph.news.News`; one of the two may be lost (`tolerate` is 1).

Two backends drain at the first box; writes begin and end in steps of their own, pulls carry receipts as in
`signalbox.program`, replies come late or never, and either box may lose its power at any moment.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import DRAINING, STATE_RANK, UP, CallAccepted, HeartbeatRegistry

LIVES = ("i", "j")
DETAILS = {"svc": "s", "zone": "z", "capacity": 2, "ver": "v"}


@dataclass(frozen=True, slots=True)
class Scene:
    """How often each may happen. `words`: the first box says something else, so that its news go on."""

    name: str
    drains: int = 1
    losses: int = 1  # of power
    pulls: int = 3
    late: int = 0  # replies that come later, or never
    words: int = 0
    refusals: int = 0  # of a disk


class Box:
    def __init__(self, host: int, life: int) -> None:
        self.host, self.life = host, life
        self.news = UpdateStore(f"{host}.{life}")
        self.lives, self.fences = BackendDirectory(still, still), DrainLog(self.news.source_id)
        self.news.update_listeners += [self.lives.on_update, self.heard]
        self.news.version_listeners.append(self.fences.on_version)
        self.beats = HeartbeatRegistry(self.news.publish, 1000, self.fences.state, self.lives.is_known)
        self.asked = ""  # the process of the other that answered last

    def heard(self, event: KeyUpdate) -> None:
        self.fences.on_update(0, event)


def still(*_: Any) -> int:
    return 0


def call(state: str, calls: int) -> dict[str, Any]:
    return {"addr": "h:1", "details": DETAILS, "status": {"state": state, "calls": calls}}


class World:
    def __init__(self, scene: Scene) -> None:
        self.left = scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.boxes = [Box(0, 1), Box(1, 1)]
        self.disks: list[dict[str, Any]] = [{}, {}]
        self.owed: dict[str, int] = {}  # drains of the first box's present life: the version of each
        self.acked: frozenset[str] = frozenset()
        self.reply: tuple[int, str, tuple[SourceDelta, ...]] | None = None  # to whom, of which process
        for ident in LIVES[: scene.drains]:
            self.boxes[0].beats.heartbeat(0, ident, call(UP, 1))
        self.do_pull(1)
        self.do_pull(0)
        self.left = scene

    def enabled(self) -> Iterable[Step]:
        left, found = self.left, list[Step]()
        if left.drains:
            found.append(("drain", LIVES[left.drains - 1]))
        if left.words:
            found.append(("word",))
        for host, box in enumerate(self.boxes):
            if box.fences.write_in_flight is not None:
                found.append(("written", host))
                if left.refusals:
                    found.append(("refused", host))
            elif box.fences.unsynced:
                found.append(("write", host))
            if left.pulls:
                found.append(("pull", host))
                if left.late and self.reply is None:
                    found.append(("ask", host))
            if left.losses:
                found.append(("loss", host))
        if self.reply is not None:
            found += [("come",), ("lost",)]
        kept = self.boxes[0].fences.is_replicated
        found += [("ack", i) for i, v in sorted(self.owed.items()) if kept(v, ["h1"], 1, True)]
        return found

    def take_step(self, step: Step) -> None:
        kind, *what = step
        getattr(self, "do_" + kind)(*what)

    def spend(self, what: str) -> None:
        self.left = replace(self.left, **{what: getattr(self.left, what) - 1})

    def do_drain(self, ident: str) -> None:
        self.spend("drains")
        found = self.boxes[0].beats.heartbeat(0, ident, call(DRAINING, 2))
        assert isinstance(found, CallAccepted)
        self.owed[ident] = found.version

    def do_word(self) -> None:
        self.spend("words")
        self.boxes[0].news.publish("pulse", self.left.words)

    def ask(self, host: int) -> tuple[int, str, tuple[SourceDelta, ...]]:
        one, other = self.boxes[host], self.boxes[1 - host]
        other.fences.on_acknowledgement(f"h{host}", *one.fences.acknowledgement(one.asked))
        return (
            host,
            other.news.source_id,
            tuple(other.news.deltas_since(one.news.remote_version_vector(), one.news.source_id)),
        )

    def take(self, host: int, source: str, pieces: tuple[SourceDelta, ...]) -> None:
        box = self.boxes[host]
        box.asked = source
        for piece in pieces:
            box.news.apply(0, piece)

    def do_pull(self, host: int) -> None:
        self.spend("pulls")
        self.take(*self.ask(host))

    def do_ask(self, host: int) -> None:
        self.spend("late")
        self.reply = self.ask(host)

    def do_come(self) -> None:
        assert self.reply is not None
        self.take(*self.reply)
        self.reply = None

    def do_lost(self) -> None:
        self.reply = None

    def do_write(self, host: int) -> None:
        self.boxes[host].fences.next_batch()

    def do_written(self, host: int) -> None:
        fences = self.boxes[host].fences
        assert fences.write_in_flight is not None
        self.disks[host] = {**self.disks[host], **fences.write_in_flight.rows}
        fences.on_written()

    def do_refused(self, host: int) -> None:
        self.spend("refusals")
        self.boxes[host].fences.on_write_failed()

    def do_loss(self, host: int) -> None:
        """All that is not on its disk is gone; a write under way was for nothing. A backend beats on."""
        self.spend("losses")
        box = self.boxes[host] = Box(host, self.boxes[host].life + 1)
        box.fences.restore(0, self.disks[host])
        hints = {ident: [*value[:4], UP, *value[5:]] for ident, value in self.disks[host].items()}
        box.beats.restore(0, hints)  # as they were when they first called
        for ident in LIVES if host == 0 else ():
            box.beats.heartbeat(0, ident, call(UP, 1))  # late, from before
            self.owed.pop(ident, None)
        if self.reply is not None and self.reply[0] == host:
            self.reply = None

    def do_ack(self, ident: str) -> None:
        del self.owed[ident]
        self.acked |= {ident}

    def freeze(self) -> bytes:
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    def key(self) -> Any:
        boxes = tuple([self.facts(box) for box in self.boxes])
        rest = repr((self.left, sorted(self.owed.items()), sorted(self.acked), self.reply))
        return rest, tuple([repr(sorted(disk.items())) for disk in self.disks]), boxes

    def facts(self, box: Box) -> Any:
        f = box.fences
        return repr(
            (
                box.news.source_id,
                box.asked,
                sorted(
                    (name, s.latest_version, sorted(s.entries.items()))
                    for name, s in box.news.sources.items()
                ),
                sorted(f.records.items()),
                sorted(f.unsynced),
                sorted(f.pending_versions.items()),
                sorted(f.durable_versions.items()),
                f.write_in_flight
                and (sorted(f.write_in_flight.rows.items()), sorted(f.write_in_flight.versions.items())),
                sorted(f.acknowledged_versions.items()),
            )
        )


def thaw(state: bytes) -> World:
    world: World = pickle.loads(state)
    return world


def on_both(world: World) -> bool:
    return all(ident in disk for ident in world.acked for disk in world.disks)


def known_by_both(world: World) -> bool:
    return all(STATE_RANK.get(b.lives.merged_state(i), 0) for i in world.acked for b in world.boxes)


def said_again(world: World) -> bool:
    return all(STATE_RANK.get(b.lives.merged_state(i), 0) for b in world.boxes for i in world.disks[b.host])


PROPERTIES = (
    Property("on both disks", "a drain that was acknowledged is on both disks", on_both),
    Property("known by both", "no box that has lost its power takes it back", known_by_both),
    Property("said again", "what is on a box's disk is draining in its list", said_again),
)


def say(step: Step) -> str:
    kind, *rest = step
    return {
        "drain": "backend {0} drains, and says so at box 0",
        "word": "box 0 says something else",
        "write": "box {0} begins to write what it has learnt",
        "written": "box {0}'s disk has it",
        "refused": "box {0}'s disk refuses it",
        "pull": "box {0} pulls",
        "ask": "box {0} asks, and the reply is on its way",
        "come": "that reply comes",
        "lost": "that reply is lost",
        "loss": "box {0} loses its power and starts again; late beats come",
        "ack": "backend {0}'s drain is acknowledged",
    }[kind].format(*rest)


def starts(large: bool) -> list[World]:
    scenes = [
        Scene("a drain, a loss"),
        Scene("two drains", drains=2, pulls=3),
        Scene("a drain, a word, a loss", words=1, pulls=3),
        Scene("late replies", late=1, words=1, pulls=1),
        Scene("a disk that refuses", refusals=1, words=1, pulls=2),
    ]
    if large:
        scenes.append(Scene("all of it", 2, 2, 4, 1, 1, 1))
    return [World(scene) for scene in scenes]


def model(large: bool) -> Model:
    return Model("roster", "drains on disks", lambda: starts(large), thaw, say, PROPERTIES)
