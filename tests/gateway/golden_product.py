"""The one place where the golden tests name the product.

A rename or a move of the product's code is followed here and nowhere else in the golden tests. The data under
`golden/` is what running and stopped installations hold and send: it does not change with the code.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest.mock import patch

from meadowworks.cli import main as commands
from meadowworks.config.route_table import load as load_configuration
from meadowworks.consensus import register
from meadowworks.consensus.replica import (
    Ask,
    Replica,
    Rows,
    Tell,
    Write,
    acceptor_for,
    pack_members,
    unpack_members,
)
from meadowworks.controlplane import config_service as office
from meadowworks.controlplane import drain_service as fencing
from meadowworks.controlplane.server import Signalbox
from meadowworks.fleet import messages
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import Card
from meadowworks.gossip.updates import Piece, Told
from meadowworks.load_balancing.load_reports import PREFIX as FIGURES_PREFIX
from meadowworks.load_balancing.load_reports import Sums
from meadowworks.proxy.server import Junction
from meadowworks.registry.backends import Lives
from meadowworks.registry.drain_log import Fences
from meadowworks.registry.heartbeats import PREFIX as BACKENDS_PREFIX
from meadowworks.registry.heartbeats import Beats
from meadowworks.runtime import node_settings as boot
from meadowworks.runtime.http_server import Door, answer, whole_body
from meadowworks.runtime.peer_client import Peer
from meadowworks.storage.sqlite_store import Disk

__all__ = ["BACKENDS_PREFIX", "FIGURES_PREFIX", "Card", "Piece", "load_configuration"]

# -- typed values of the agreement on versions and members

Ballot = register.Ballot
Epoch = register.Epoch
Held = register.Held
Slot = register.Slot
State = register.State
NO_BALLOT = register.NONE
NO_EPOCH = register.UNKNOWN

Prepare = register.Prepare
Accept = register.Accept
Seal = register.Seal
Install = register.Install
Look = register.Look
Fetch = register.Fetch
Teach = register.Teach
Seen = register.Seen
Promised = register.Promised
Accepted = register.Accepted
Refused = register.Refused
Past = register.Past
Newer = register.Newer
Sealed = register.Sealed
Installed = register.Installed
Outside = register.Outside
Whole = register.Whole

# What stands where in a message, by its name in the code: a message is told and read by place.
FIELDS: dict[Any, tuple[str, ...]] = {
    Ballot: ("epoch", "number", "who"),
    Epoch: ("number", "members"),
    Held: ("version", "content"),
    Slot: ("promised", "accepted", "content"),
    State: ("held", "history", "slots"),
    Prepare: ("epoch", "version", "ballot"),
    Accept: ("epoch", "version", "ballot", "content"),
    Seal: ("epoch", "after"),
    Install: ("epoch", "after", "state"),
    Look: ("epoch",),
    Fetch: ("epoch",),
    Teach: ("epoch", "held", "history"),
    Seen: ("epoch", "votes", "needs", "version", "disk", "address", "wants"),
    Promised: ("ballot", "accepted", "content"),
    Accepted: ("ballot",),
    Refused: ("ballot",),
    Past: ("held", "history"),
    Newer: ("epoch",),
    Sealed: ("after", "state"),
    Installed: ("epoch",),
    Outside: ("epoch",),
    Whole: ("held", "history"),
    Card: ("name", "host", "port", "zone", "voting", "life", "beat"),
    Piece: ("source", "whole", "top", "changes"),
    post.Pull: ("me", "cards", "vector", "table", "wait_ms", "figures", "epoch", "kept"),
    post.News: ("me", "cards", "pieces", "sure", "table", "seen", "epoch", "history"),
}
LETTER_KINDS = frozenset(register.READERS)
content_digest = register.digest
encode_members = pack_members  # the content of the version that says who votes next
decode_members = unpack_members

# -- messages between controllers

Pull = post.Pull
News = post.News
Unreadable = post.SHAPE  # what the readers of messages raise


def pack(value: Any) -> bytes:
    return post.pack(value)


def unpack(body: bytes) -> Any:
    return post.unpack(body)


def encode_letter(letter: Any) -> bytes:
    """A request or reply of the agreement, as it lies compressed in the body of a call."""
    return post.pack(register.pack(letter))


def decode_letter(body: bytes) -> Any:
    return register.unpack(post.unpack(body))


def compressed_letter(letter: Any) -> bytes:
    return asyncio.run(office.squeezed(letter))


def decode_request(body: bytes) -> tuple[int, Any]:
    return office.read_request(body)


def decode_reply(body: bytes) -> tuple[int, str, Any]:
    return office.read_reply(body)


def encode_pull(pull: Any) -> bytes:
    return pull.pack()  # type: ignore[no-any-return]


def encode_news(news: Any) -> bytes:
    return news.pack()  # type: ignore[no-any-return]


decode_pull = post.read_pull
decode_news = post.read_news


def encode_card(card: Any) -> bytes:
    return post.pack(card.pack())


def decode_card(body: bytes) -> Any:
    return Card.unpack(post.unpack(body))


def encode_piece(piece: Any) -> bytes:
    return post.pack(piece.pack())


def decode_piece(body: bytes) -> Any:
    return Piece.unpack(post.unpack(body))


# -- figures and lives, as values within pulls and news


def encode_figures(
    tries: list[tuple[str, bool, float]], loads: list[tuple[str, int, int]], calls: list[str]
) -> bytes:
    """What a junction tells that met these answers."""
    sums = Sums()
    for ident, good, spent_ms in tries:
        sums.tried(ident, good, spent_ms)
    for ident, running, waiting in loads:
        sums.loaded(ident, running, waiting)
    for service in calls:
        sums.came(service)
    return post.pack(sums.pack())


def decode_figures(body: bytes) -> tuple[dict[str, list[float]], dict[str, int]]:
    sums = Sums()
    sums.add(post.unpack(body))
    return sums.met, sums.asked


def said_of_backend(*steps: Mapping[str, Any] | str) -> dict[str, Any]:
    """What a signalbox says of a backend `b` after these heartbeats; the text `leave` is its end, `silence`
    that nothing is heard for long."""
    said: dict[str, Any] = {}

    def say(key: str, value: Any) -> int:
        said[key] = value
        return len(said)

    beats = Beats(say, 1000)
    for now, step in enumerate(steps, 1):
        if step == "leave":
            beats.leave(now, "b")
        elif step == "silence":
            beats.tick(now + 5_000_000_000)
        else:
            beats.beat(now, "b", step)
    return said


def known_backend(key: str, value: Any) -> tuple[Any, ...]:
    """A backend as a reader of the news knows it."""
    lives = Lives(lambda source: 0, lambda: 0)
    lives.told(Told("source", key, value))
    (found,) = lives.known.values()
    place = (found.host, found.port, found.zone)
    return (found.ident, found.svc, *place, found.capacity, found.state, found.warm_ns)


# -- lines between the controller of routing tables and its proxies


def encode_orders(*parts: tuple[Any, ...]) -> bytes:
    """Each part: routes, whether it is full, lines, grant, mark."""
    return messages.encode([messages.Part(*part) for part in parts])


def decode_line(line: bytes) -> tuple[Any, ...]:
    """What a proxy or collector says: its kind, and its fields."""
    found = messages.decode(line)
    return type(found), *(getattr(found, name) for name in LINE_FIELDS[type(found)])


LINE_FIELDS: dict[Any, tuple[str, ...]] = {
    messages.Beat: (),
    messages.Collector: ("zone",),
    messages.Attach: ("proxy", "zone", "usual", "new"),
    messages.Done: ("proxy", "mark"),
    messages.Met: ("zone", "backend", "tries", "bad", "latency_ns", "covers_ns", "load"),
    messages.Asked: ("proxy", "route", "calls", "dropped", "covers_ns"),
}
LINE_KINDS = {
    "beat": messages.Beat,
    "collector": messages.Collector,
    "attach": messages.Attach,
    "done": messages.Done,
    "met": messages.Met,
    "asked": messages.Asked,
}
BEAT_ANSWER = messages.BEAT_OK
rejection = messages.reject

# -- disks

STORE_FILE = "timetable.db"


class Store:
    """A stopped signalbox's disk, opened by the product."""

    def __init__(self, folder: Path) -> None:
        self.disk = Disk(folder)

    def meta(self) -> Any:
        return self.disk.load().meta

    def held(self) -> Any:
        return self.disk.load().held

    def history(self) -> dict[int, bytes]:
        return dict(self.disk.load().history)

    def slots(self) -> dict[int, Any]:
        return dict(self.disk.load().slots)

    def lives(self) -> dict[str, Any]:
        return fencing.read(self.disk.lives())

    def fences(self) -> dict[str, Any]:
        return fencing.read(self.disk.fences())

    def write(
        self,
        meta: Mapping[str, Any] | None,
        held: Any,
        history: Mapping[int, bytes],
        slots: Mapping[int, Any],
    ) -> None:
        self.disk.save(Rows(meta, held, history, 0, slots))

    def keep(self, lives: Mapping[str, Any], fences: Mapping[str, Any]) -> None:
        """Through the machines that hand rows to the disk."""
        beats = Beats(lambda key, value: 1, 1000)
        beats.restore(0, dict(lives))
        self.disk.keep_lives({ident: post.pack(value) for ident, value in beats.kept().items()})
        held = Fences("source")
        for ident, value in fences.items():
            held.told(0, Told("other", BACKENDS_PREFIX + ident, value))
        batch = held.batch()
        assert batch is not None or not fences
        if batch is not None:
            rows = {ident: post.pack(list(value)) for ident, value in batch.rows.items()}
            self.disk.keep_fences(rows, batch.gone)

    def start(self, address: str) -> Any:
        """The machine of a signalbox that starts from this disk, its first write made. Its acceptor."""
        stored = self.disk.load()
        acceptor = acceptor_for(
            stored.meta,
            disk="unused",
            address=address,
            seeds=(),
            bootstrap=False,
            voting=True,
            held=stored.held,
            history=stored.history,
            slots=stored.slots,
        )
        self.replica = Replica(acceptor, 1, lambda: 0.5)
        self.replica.start(0)
        self.settle()
        return acceptor

    def request(self, letter: Any) -> Any:
        """The reply to another's request, once its write is made."""
        self.replica.asked(0, "ticket", letter)
        return self.settle()

    def settle(self) -> Any:
        reply = None
        while effects := self.replica.take():
            for effect in effects:
                if isinstance(effect, Write):
                    self.disk.save(effect.rows)
                    self.replica.written(0, effect.mark)
                elif isinstance(effect, Tell):
                    reply = effect.reply
        return reply

    def close(self) -> None:
        self.disk.close()


# -- programs, without their sockets: must be made within a running loop


class Recorder:
    """Stands in for the way to another controller: keeps what is sent, and answers nothing."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, bytes]] = []
        self.first = asyncio.Event()

    async def call(self, path: bytes, body: bytes, wait_s: float) -> bytes:
        self.sent.append((path, body))
        self.first.set()
        return b""


def make_signalbox(settings: Any) -> Signalbox:
    return Signalbox(boot.read(json.dumps(settings)))


def make_junction(settings: Any) -> Junction:
    return Junction(boot.read(json.dumps(settings)))


async def started_signalbox(settings: Any) -> Signalbox:
    box = make_signalbox(settings)
    await box.office.begin()
    return box


def identity(program: Any) -> tuple[str, str]:
    """The names of its life, and of its disk, which are drawn anew at each start."""
    own_office = getattr(program, "office", None)
    return program.life, own_office.replica.acceptor.disk if own_office else "none"


def stop_signalbox(box: Signalbox) -> None:
    for task in box.tasks.running:
        task.cancel()
    box.office.close()


async def sent_letter(box: Signalbox, question: int, address: str, request: Any) -> tuple[bytes, bytes]:
    """The path and the body under which a signalbox sends a request."""
    recorder = Recorder()
    box.office.peers = lambda host, port: recorder  # type: ignore[assignment,return-value]
    await box.office.send(Ask(question, address, request))
    (found,) = recorder.sent
    return found


async def sent_pull_of_signalbox(box: Signalbox, host: str, port: int) -> tuple[bytes, bytes]:
    recorder = Recorder()
    box.peer = lambda host, port: recorder  # type: ignore[assignment,method-assign,return-value]
    pulls = box.tasks.start(box.pull(host, port))
    await recorder.first.wait()
    pulls.cancel()
    return recorder.sent[0]


async def sent_pull(junction: Junction) -> tuple[bytes, bytes]:
    """The path and the body under which a junction pulls."""
    recorder = Recorder()
    junction.peer = lambda host, port: recorder  # type: ignore[assignment,method-assign,return-value]
    await junction.pull()
    (found,) = recorder.sent
    return found


def turn(box: Signalbox, figures: Mapping[str, bytes]) -> dict[str, Any]:
    """What a signalbox says in its turn of a second, given what junctions of zones have told."""
    for zone, body in figures.items():
        box.sums.setdefault(zone, Sums()).add(post.unpack(body))
    box.turn()
    entries = box.news.sources[box.life].entries
    return {key: value for key, (_, value) in entries.items()}


def junction_learns(junction: Junction, configuration: bytes, said: Mapping[str, Any]) -> None:
    """Configuration and news, as if a signalbox had told them."""
    junction.take_table(load_configuration(configuration))
    for key, value in said.items():
        junction.news.tell(Told("source", key, value))
    junction.relist()


def signalbox_learns(box: Signalbox, cards: list[Any], configuration: bytes, said: Mapping[str, Any]) -> None:
    box.members.met(0, cards)
    box.office.replica.learn(0, Held(7, configuration))
    for key, value in said.items():
        box.news.tell(Told("source", key, value))


def inner_door(program: Any) -> Any:
    return program.inner if isinstance(program, Signalbox) else program.asked


def control_door(box: Signalbox) -> Any:
    return box.ctl


# -- calls between programs, as bytes on a socket


async def call_peer(host: str, port: int, path: bytes, body: bytes) -> bytes:
    return await Peer(host, port).call(path, body, 2.0)


async def open_echo(life: str) -> tuple[int, Callable[[], None]]:
    """A door between controllers that answers each call with its body: its port, and what closes it."""

    async def echo(scope: Any, receive: Any, send: Any) -> None:
        await answer(send, 200, await whole_body(receive, 1 << 20), [])  # type: ignore[arg-type]

    door = Door(echo, life=life)
    return await door.open("127.0.0.1", 0), door.end


# -- the command line

run_command = commands.main


@contextmanager
def days_not_played() -> Iterator[None]:
    """The laboratory's days are left out: its object has the same names without them."""
    from meadowworks.simulation import (
        campaign,  # with what else the laboratory needs: messages are tested without
    )
    from meadowworks.simulation.control import Counts

    nothing: tuple[Counts, list[str], bool] = (Counts(), [], True)
    with patch.object(campaign, "run", lambda *words: nothing):
        yield


PROGRAMS = ("meadowworks", "meadowworks.proxy", "meadowworks.controlplane")  # modules that start one
SETTINGS_VARIABLE = "MEADOWWORKS_NODE_FILE"
