"""What backends and the operator call: one handler object a resource, each call an answer as a value."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.roster.beats import Bad, Beats
from meadowworks.signalbox.office import Office
from meadowworks.telegraph.members import Members
from meadowworks.telegraph.news import News
from meadowworks.timetable.check import Invalid, checking
from meadowworks.timetable.replica import Another, Late
from meadowworks.track import logs
from meadowworks.track.aside import aside
from meadowworks.track.program import now_ns

HELD_S = 0.7  # that a drain's acknowledgement waits for others to hold it: a caller gives a beat a second
PROPOSE_NS = 800_000_000
READ_NS = 800_000_000
log = logs.part("ctl")


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes = b"{}"
    retry_s: float = 0.0


def error(status: int, why: str, retry_s: float = 0.0) -> Answer:
    return Answer(status, json.dumps({"err": why}).encode(), retry_s)


class Backends:
    """Beats and leaves. `near` names the address of a signalbox in a backend's own zone, if it is not this
    one: beats between zones cost bytes. A drain is acknowledged only once so many other disks' controllers
    know of it that the loss of those which may be lost leaves one that does."""

    def __init__(
        self, beats: Beats, news: News, members: Members, others: int, near: Callable[[str], str | None]
    ) -> None:
        self.beats, self.news, self.members, self.others = beats, news, members, others
        self.near = near
        self.moved: set[asyncio.Future[None]] = set()
        self.acked: set[str] = set()  # lives whose drain was acknowledged here

    def heard(self) -> None:
        """A peer has asked for news: what it holds may have risen."""
        for waiting in self.moved:
            if not waiting.done():
                waiting.set_result(None)

    def known(self, version: int) -> bool:
        hosts = {card.host for card in self.members.voters()}
        return len(self.news.holders(version) & hosts) >= self.others

    async def kept(self, version: int) -> bool:
        loop = asyncio.get_running_loop()
        end = loop.time() + HELD_S
        while not self.known(version):
            if (left := end - loop.time()) <= 0:
                return False
            waiting: asyncio.Future[None] = loop.create_future()
            self.moved.add(waiting)
            try:
                await asyncio.wait([waiting], timeout=left)
            finally:
                self.moved.discard(waiting)
        return True

    async def heartbeat(self, ident: str, body: bytes) -> Answer:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            return error(400, "no JSON")
        found = self.beats.beat(now_ns(), ident, document)
        if isinstance(found, Bad):
            return error(400, found.why)
        if found.version and not await self.kept(found.version):
            return error(503, "too few controllers know of it yet", 0.2)
        if found.version and ident not in self.acked:
            self.acked = {one for one in self.acked if one in self.beats.lives} | {ident}
            log.info("{} drains, and others know", ident)
        at = self.near(ident)
        return Answer(200, json.dumps({"beatUrl": at}).encode()) if at else Answer(200)

    async def leave(self, ident: str, body: bytes) -> Answer:
        found = self.beats.leave(now_ns(), ident)
        if not await self.kept(found.version):
            return error(503, "too few controllers know of it yet", 0.2)
        return Answer(200)


class Config:
    """The configuration: replaced by a higher version, read back as it was sent. Without a majority in touch
    it ends no call of an operator: 503 at once, with a time."""

    def __init__(self, office: Office) -> None:
        self.office = office
        self.one = asyncio.Lock()  # of large ones one is checked at a time

    async def replace(self, ident: str, body: bytes) -> Answer:
        if not self.office.replica.sure(now_ns()):
            return error(503, "no majority of disks is in touch", 1.0)
        found = await aside(checking(body), self.one)
        if isinstance(found, Invalid):
            log.info("configuration refused: {}", found.why)
            return error(400, found.why)
        match await self.office.order(found.version, body, PROPOSE_NS):
            case Another():
                return error(409, f"version {found.version:08x} has another content")
            case Late(back_ns):
                return error(503, "too few disks answer", back_ns / 1e9)
        return Answer(200)

    async def read(self, ident: str, body: bytes) -> Answer:
        held = await self.office.read(READ_NS)
        if isinstance(held, Late):
            return error(503, "too few disks answer", held.back_ns / 1e9)
        if not held.version:
            return error(404, "no configuration has been taken yet")
        return Answer(200, held.content)


def routes(backends: Backends, config: Config) -> dict[tuple[str, str], Callable]:  # type: ignore[type-arg]
    return {
        ("POST", "Backends.Heartbeat"): backends.heartbeat,
        ("POST", "Backends.Leave"): backends.leave,
        ("POST", "Config.Replace"): config.replace,
        ("GET", "Config.Read"): config.read,
    }
