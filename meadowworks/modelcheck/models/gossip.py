"""News of backends between two signalboxes and a junction: `telegraph.news.News`, `telegraph.members`,
`roster.beats.Beats` and `roster.lives.Lives`, with answers that are late, lost or come twice, a cut between
the signalboxes and its end, and restarts under the same address.

One backend beats, drains and leaves at either signalbox, and an old beat of it may come late; another is
forgotten, so that a holder who is behind wants a snapshot. A drain is acknowledged as in the product, by
`roster.fences.Fences`: once it is on the own disk and another voter's receipt covers it. Disks are fast here;
the model `roster` is of slow ones.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.messages import decode_delta, encode_delta
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.registry.backends import SUSPECT, BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import (
    BACKEND_KEY_PREFIX,
    DRAINING,
    GONE,
    STATE_RANK,
    UP,
    HeartbeatRegistry,
)

BOXES, JUNCTION = (0, 1), 2
X, Y = "x", "y"  # the backend that goes, and the one that is forgotten
BEAT_MS = 1000
ORDER = {UP: 0, SUSPECT: 0, DRAINING: 1, GONE: 2}


@dataclass(frozen=True, slots=True)
class Scene:
    """How often each may happen."""

    name: str
    drains: int = 0
    leaves: int = 0
    late: int = 0  # beats of before
    silences: int = 0
    restarts: int = 0
    forgets: int = 0
    slow: int = 0  # answers to pulls that come later, or twice
    cuts: int = 0
    pulls: int = 5


class Node:
    """One process: what it holds, and whom it knows."""

    def __init__(self, host: int, life: int) -> None:
        self.host, self.life = host, life
        voting = host != JUNCTION
        self.me = f"{host}.{life}"
        self.news = UpdateStore(self.me, 0)
        self.lives = BackendDirectory(still, still)
        self.fences = DrainLog(self.me)
        self.news.update_listeners += [self.lives.on_update, self.heard]
        self.news.version_listeners.append(self.fences.on_version)
        self.beats = HeartbeatRegistry(self.news.publish, BEAT_MS, self.fences.state, self.known)
        self.asked: dict[int, str] = {}  # by host: the life that answered last
        self.members = PartialView(PeerRecord(self.me, f"h{host}", 1, "z", voting, self.me, 100 * life), 1)

    def heard(self, event: KeyUpdate) -> None:
        self.fences.on_update(0, event)

    def known(self, ident: str) -> bool:
        return self.lives.is_known(ident) or ident in self.fences.records

    def rank(self) -> int:
        """How far it takes the backend to be gone; -1 if it has not heard of it. One of which no address is
        known yet has a state all the same."""
        known = self.lives.instances.get(X)
        state = known.state if known else self.lives.merged_state(X) if X in self.lives.reports else ""
        return ORDER.get(state, -1)


def still(*_: Any) -> int:
    """No time goes by: no source falls silent."""
    return 0


class World:
    def __init__(self, scene: Scene) -> None:
        self.scene, self.left = scene, scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.nodes = [Node(host, 1) for host in (*BOXES, JUNCTION)]
        self.calls, self.state = 1, UP
        self.saved: list[dict[str, list[Any]]] = [{}, {}]
        self.disks: list[dict[str, Any]] = [{}, {}]  # fences
        self.owed: tuple[int, int] | None = None  # the box that heard a drain or leave, and its news' version
        self.acked: frozenset[int] = frozenset()  # boxes that must know of it since it was acknowledged
        self.cut = False
        self.answer: tuple[int, tuple[SourceDelta, ...], PeerRecord] | None = None  # on its way to a holder
        for name in (X, Y) if scene.forgets else (X,):
            self.nodes[0].beats.heartbeat(0, name, self.beat(UP, 1))
        self.keep(0)
        for node in (1, JUNCTION):
            self.pull(node, 0)

    def beat(self, state: str, calls: int) -> dict[str, Any]:
        details = {"svc": "s", "zone": "z", "capacity": 2, "ver": "v"}
        status = {"state": state, "calls": calls, "warmupMs": 0}
        return {"addr": "h:1", "details": details, "status": status}

    def keep(self, box: int) -> None:
        self.saved[box] = dict(self.nodes[box].beats.durable_values())

    # -- steps

    def enabled(self) -> Iterable[Step]:
        left, found = self.left, list[Step]()
        for box in BOXES:
            if left.drains and self.state == UP:
                found.append(("drain", box))
            if left.leaves and self.state != GONE:
                found.append(("leave", box))
            if left.late:
                found.append(("late", box))
            if left.silences and X in self.nodes[box].beats.registrations:
                found.append(("silence", box))
            if left.restarts:
                found.append(("restart", box))
        if left.forgets and Y in self.nodes[0].beats.registrations:
            found.append(("forget",))
        if left.pulls:
            for asker, holder in ((0, 1), (1, 0), (JUNCTION, 0), (JUNCTION, 1)):
                if not (self.cut and JUNCTION not in (asker, holder)):
                    found.append(("pull", asker, holder))
                    if left.slow and not self.answer:
                        found.append(("ask", asker, holder))
        if self.answer:
            found += [("come",), ("lost",)]
        if self.owed and not self.acked and self.known(*self.owed):
            found.append(("ack",))
        if left.cuts or self.cut:
            found.append(("cut",))
        return found

    def known(self, box: int, version: int) -> bool:
        """As `signalbox.resources.Backends` asks it."""
        return self.nodes[box].fences.is_replicated(version, [f"h{1 - box}"], 1, True)

    def spend(self, what: str) -> None:
        self.left = replace(self.left, **{what: getattr(self.left, what) - 1})

    def take_step(self, step: Step) -> None:
        kind, *what = step
        before = [(n.me, n.rank(), self.cards(n)) for n in self.nodes]
        getattr(self, "do_" + kind)(*what)
        for box in BOXES:
            if batch := self.nodes[box].fences.next_batch():
                self.disks[box] = {**self.disks[box], **batch.rows}
                self.nodes[box].fences.on_written()
        self.outcomes = []
        for node, (me, rank, cards) in zip(self.nodes, before, strict=True):
            if node.me == me:
                self.outcomes.append(("rank", rank, node.rank()))
                now = self.cards(node)
                self.outcomes += [("card", beat, now.get(host, -1)) for host, beat in cards.items()]

    def cards(self, node: Node) -> dict[str, int]:
        return {host: known.record.heartbeat for host, known in node.members.peers.items()}

    def do_drain(self, box: int) -> None:
        self.spend("drains")
        self.calls, self.state = self.calls + 1, DRAINING
        taken = self.nodes[box].beats.heartbeat(0, X, self.beat(DRAINING, self.calls))
        self.owed = box, getattr(taken, "version", 0)

    def do_leave(self, box: int) -> None:
        self.spend("leaves")
        self.state = GONE
        taken, self.acked = self.nodes[box].beats.leave(0, X), frozenset()
        version = getattr(taken, "version", 0)
        self.owed = (box, version) if version else None  # no stranger's: that wants a majority's news

    def do_late(self, box: int) -> None:
        """A beat from before comes now."""
        self.spend("late")
        self.nodes[box].beats.heartbeat(0, X, self.beat(UP, 1))

    def do_silence(self, box: int) -> None:
        self.spend("silences")
        beats = self.nodes[box].beats
        beats.registrations[X].last_heartbeat_ns -= beats.suspect_after_ns + 1
        beats.tick(0)

    def do_restart(self, box: int) -> None:
        """Power is lost: what it said is its last life's, what is on its disk is said again."""
        self.spend("restarts")
        node = self.nodes[box] = Node(box, self.nodes[box].life + 1)
        node.fences.restore(0, self.disks[box])
        node.beats.restore(0, {**{i: list(v) for i, v in self.disks[box].items()}, **self.saved[box]})
        if self.owed and self.owed[0] == box:
            self.owed = None

    def do_forget(self) -> None:
        self.spend("forgets")
        del self.nodes[0].beats.registrations[Y]
        self.nodes[0].news.publish(BACKEND_KEY_PREFIX + Y, None)

    def pieces(self, asker: int, holder: int) -> tuple[tuple[SourceDelta, ...], PeerRecord]:
        one, other = self.nodes[asker], self.nodes[holder]
        other.members.merge(0, [one.members.local])
        if asker != JUNCTION and holder in one.asked:
            other.fences.on_acknowledgement(f"h{asker}", *one.fences.acknowledgement(one.asked[holder]))
        return tuple(other.news.deltas_since(one.news.remote_version_vector(), one.me)), other.members.local

    def take(self, asker: int, pieces: tuple[SourceDelta, ...], card: PeerRecord) -> None:
        node = self.nodes[asker]
        node.members.merge(0, [card])
        node.asked[int(card.host[1:])] = card.incarnation
        for piece in pieces:
            node.news.apply(0, decode_delta(encode_delta(piece)))
        if node.beats.unknown_departures:
            node.beats.tick(0)

    def pull(self, asker: int, holder: int) -> None:
        self.take(asker, *self.pieces(asker, holder))

    def do_pull(self, asker: int, holder: int) -> None:
        self.spend("pulls")
        for node in self.nodes:
            node.members.advance_heartbeat()
        self.pull(asker, holder)

    def do_ask(self, asker: int, holder: int) -> None:
        self.spend("slow")
        self.answer = asker, *self.pieces(asker, holder)

    def do_come(self) -> None:
        """It comes, and may come once more: a peer that asked twice."""
        assert self.answer is not None
        self.take(*self.answer)
        if not self.left.slow:
            self.answer = None
        else:
            self.spend("slow")

    def do_lost(self) -> None:
        self.answer = None

    def do_ack(self) -> None:
        self.acked = frozenset(BOXES)

    def do_cut(self) -> None:
        if not self.cut:
            self.spend("cuts")
        self.cut = not self.cut

    # -- states

    def freeze(self) -> bytes:
        did, self.outcomes = self.outcomes, []
        try:
            return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        finally:
            self.outcomes = did

    def key(self) -> Any:
        return (
            repr(self.left),
            self.calls,
            self.state,
            self.owed,
            tuple(sorted(self.acked)),
            self.cut,
            repr(self.answer),
            repr(self.saved),
            repr(self.disks),
            tuple([self.facts(node) for node in self.nodes]),
        )

    def facts(self, node: Node) -> Any:
        return (
            node.me,
            tuple(
                [
                    (name, s.latest_version, s.compacted_version, repr(sorted(s.entries.items())))
                    for name, s in sorted(node.news.sources.items())
                ]
            ),
            repr(sorted(node.fences.records.items())),
            repr(
                (
                    sorted(node.fences.durable_versions.items()),
                    sorted(node.fences.acknowledged_versions.items()),
                )
            ),
            repr((sorted(node.asked.items()), sorted(node.beats.unknown_departures))),
            repr(sorted((k, v.state) for k, v in node.lives.instances.items())),
            repr(sorted(node.beats.registrations.items())),
            tuple(sorted(self.cards(node).items())),
        )


def thaw(state: bytes) -> World:
    world: World = pickle.loads(state)
    return world


def never_back(world: World) -> bool:
    return all(after >= before for kind, before, after in world.outcomes if kind == "rank" and before >= 1)


def cards_rise(world: World) -> bool:
    return all(after >= before for kind, before, after in world.outcomes if kind == "card")


def ack_kept(world: World) -> bool:
    """Whatever power was lost since: it is on both disks."""
    return all(world.nodes[box].rank() >= 1 for box in world.acked)


def copies_whole(world: World) -> bool:
    """Who is at a source's newest version holds what it says, no more and no less."""
    for holder in world.nodes:
        for source in world.nodes:
            mine = source.news.sources[source.me]
            its = holder.news.sources.get(source.me)
            if its is not None and its.latest_version == mine.latest_version and said(its) != said(mine):
                return False
    return True


def said(source: Any) -> dict[str, Any]:
    return {key: value for key, (_, value) in source.entries.items() if value is not None}


def same_list(world: World) -> bool:
    """Two that hold the same versions fold the same list."""
    folds: dict[str, set[int]] = {}
    for node in world.nodes:
        vector = {name: top for name, top in node.news.version_vector().items() if top}
        folds.setdefault(repr(sorted(vector.items())), set()).add(node.rank())
    return all(len(ranks) == 1 for ranks in folds.values())


def quiet_by_all(world: World) -> bool:
    """Quiet only where nobody who knows the life says otherwise."""
    for node in world.nodes:
        if (known := node.lives.instances.get(X)) and known.state == SUSPECT:
            told = [
                s.entries[BACKEND_KEY_PREFIX + X][1]
                for s in node.news.sources.values()
                if BACKEND_KEY_PREFIX + X in s.entries
            ]
            if not all(value[7] for value in told if value is not None):
                return False
    return True


def none_buried(world: World) -> bool:
    """Gone is only who left; silence and a signalbox's end are no leave."""
    return world.state == GONE or all(node.rank() < STATE_RANK[GONE] for node in world.nodes)


def rank_of_beats(world: World) -> bool:
    """A signalbox knows of a life that called it the furthest that it was told. One that left where nothing
    was known of it has no address there yet."""
    return all(
        world.nodes[box].beats.registrations[X].state in STATE_RANK
        and world.nodes[box].rank() >= STATE_RANK[life.state]
        for box in BOXES
        if (life := world.nodes[box].beats.registrations.get(X)) is not None
        and X in world.nodes[box].lives.instances
    )


PROPERTIES = (
    Property(
        "never back", "in no process does a life go from draining or gone back to up", never_back, "step"
    ),
    Property("cards rise", "a card is never replaced by an older one", cards_rise, "step"),
    Property(
        "acknowledged", "a drain that was acknowledged is known at each signalbox, on its disk", ack_kept
    ),
    Property("copies whole", "who is at a source's newest version holds just what it says", copies_whole),
    Property("same list", "who holds the same news folds the same list", same_list),
    Property("quiet by all", "a life is quiet only where all that know it say so", quiet_by_all),
    Property("none buried alive", "a backend is gone for a process only once it has left", none_buried),
    Property("own words", "a signalbox's list is never behind what it was told itself", rank_of_beats),
)


def say(step: Step) -> str:
    kind, *rest = step
    names = ("signalbox 0", "signalbox 1", "the junction")
    at = [names[k] for k in rest]
    return {
        "drain": "the backend drains, and says so at {0}",
        "leave": "the backend leaves, and says so at {0}",
        "late": "an old beat comes to {0}",
        "silence": "{0} has not heard the backend for long",
        "restart": "{0} loses its power and starts again",
        "forget": "signalbox 0 forgets the other backend",
        "pull": "{0} pulls from {1}",
        "ask": "{0} asks {1}, whose answer is on its way",
        "come": "that answer comes",
        "lost": "that answer is lost, or was the last of it",
        "ack": "the drain is acknowledged",
        "cut": "the signalboxes are cut off from each other, or joined again",
    }[kind].format(*at)


def starts(large: bool) -> list[World]:
    scenes = [
        Scene("a drain, a late beat, a cut", drains=1, late=1, cuts=1, pulls=3),
        Scene("a drain, a leave, a restart", drains=1, leaves=1, restarts=1, pulls=3),
        Scene("forgotten while answers are slow", forgets=1, slow=2, pulls=2),
        Scene("silent at one", silences=2, late=1, pulls=3),
        Scene("a restart, slow answers", drains=1, restarts=1, slow=1, pulls=2),
    ]
    if large:
        scenes += [
            Scene("all of it", 1, 1, 1, 1, 1, 1, 1, 1, 4),
            Scene("two restarts", drains=1, late=1, restarts=2, slow=2, pulls=4),
        ]
    return [World(scene) for scene in scenes]


def model(large: bool) -> Model:
    return Model(
        "telegraph", "news of backends between controllers", lambda: starts(large), thaw, say, PROPERTIES
    )
