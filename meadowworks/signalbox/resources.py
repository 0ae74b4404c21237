"""What backends and the operator call: one handler object a resource, each call an answer as a value."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.roster.beats import Bad, Beats, Full, Nearby, Taken
from meadowworks.signalbox.fencing import Fencing
from meadowworks.signalbox.office import Office
from meadowworks.timetable.check import Invalid, check
from meadowworks.timetable.register import Chosen, Overtaken
from meadowworks.track import logs
from meadowworks.track.program import now_ns

HELD_S = 0.7  # that a drain's acknowledgement waits for disks to hold it: a caller gives a beat a second
ACK_MOST = 4096  # bytes of an acknowledgement: a larger one is none
CUT_OFF_S = 0.5  # after which a caller may come back to a box that is cut off
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
    """Beats and leaves. `near` names addresses of signalboxes in a backend's own zone, if it is not this
    one's: beats between zones cost bytes. `kept` tells whether a version of the own news is on so many disks
    that the loss of those which may be lost leaves one; only then is a drain or a leave acknowledged. `sure`:
    this box has its lease."""

    def __init__(
        self,
        beats: Beats,
        fencing: Fencing,
        kept: Callable[[int], bool],
        near: Callable[[str], list[str]],
        sure: Callable[[], bool],
    ) -> None:
        self.beats, self.fencing, self.kept, self.near, self.sure = beats, fencing, kept, near, sure
        self.nearby = Nearby()
        self.acked: set[str] = set()  # lives whose drain was acknowledged here

    async def heartbeat(self, ident: str, body: bytes) -> Answer:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            return error(400, "no JSON")
        now = now_ns()
        found = self.beats.beat(now, ident, document)
        if (refused := await self.settled(found)) is not None:
            return refused
        if isinstance(found, Taken) and found.version and ident not in self.acked:
            self.acked = {one for one in self.acked if one in self.beats.lives} | {ident}
            log.info("{} drains, and it is on enough disks", ident)
        self.nearby.came(now, ident)
        # Guards against one that is cut off: where it sends callers may be as cut off as it is.
        at = self.nearby.choose(now, ident, self.near(ident)) if self.sure() else None
        answer = json.dumps({"beatUrl": at}).encode() if at else b"{}"
        return Answer(200, answer if len(answer) <= ACK_MOST else b"{}")

    async def leave(self, ident: str, body: bytes) -> Answer:
        found = self.beats.leave(now_ns(), ident)
        if found == Taken(0) and not self.sure():
            return error(503, "cut off: what others know of it is not heard here", CUT_OFF_S)
        return await self.settled(found) or Answer(200)

    async def settled(self, found: Taken | Bad | Full) -> Answer | None:
        """Why a call is not acknowledged; nothing if it may be."""
        match found:
            case Bad(why):
                return error(400, why[:200])
            case Full():
                return error(503, "too many backends call here", 1.0)
            case Taken(version) if version and not self.kept(version):
                self.fencing.wake()
                if not self.sure():
                    return error(503, "cut off from a majority: call another", CUT_OFF_S)
                if not await self.fencing.until(lambda: self.kept(version), HELD_S):
                    return error(503, "it is on too few disks yet", 0.2)
        return None


class Config:
    """The configuration: replaced by a higher version, read back as it was sent."""

    def __init__(self, office: Office) -> None:
        self.office = office

    async def replace(self, ident: str, body: bytes) -> Answer:
        found = check(body)
        if isinstance(found, Invalid):
            log.info("configuration refused: {}", found.why)
            return error(400, found.why)
        if not self.office.box.sound:
            return error(503, "this disk does not know yet what is in force", 0.3)
        held = self.office.box.held
        if found.version > held.version:
            outcome = await self.office.propose(found.version, body, now_ns() + PROPOSE_NS)
            match outcome:
                case Chosen(content=content):
                    return Answer(200) if content == body else self.another(found.version)
                case Overtaken(held=held):
                    pass
                case _:
                    return error(503, "too few disks answer", 0.2)
        if found.version == held.version and held.content != body:
            return self.another(found.version)
        return Answer(200)

    def another(self, version: int) -> Answer:
        return error(409, f"version {version:08x} has another content")

    async def read(self, ident: str, body: bytes) -> Answer:
        held = await self.office.newest(now_ns() + READ_NS)
        if held is None:
            return error(503, "too few disks answer", 0.2)
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
