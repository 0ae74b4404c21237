"""What backends and the operator call: one handler object a resource, each call an answer as a value."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.config.validation import InvalidConfiguration, validation_steps
from meadowworks.consensus.replica import Another, Late
from meadowworks.controlplane.config_service import Office
from meadowworks.controlplane.drain_service import Fencing
from meadowworks.registry.heartbeats import (
    CallAccepted,
    HeartbeatRegistry,
    InvalidCall,
    RegistryFull,
    ZoneRedirects,
)
from meadowworks.runtime import logging as logs
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.process import now_ns

HELD_S = 0.7  # that a drain's acknowledgement waits for disks to hold it: a caller gives a beat a second
ACK_MOST = 4096  # bytes of an acknowledgement: a larger one is none
CUT_OFF_S = 0.5  # after which a caller may come back to a box that is cut off
PROPOSE_NS, BYTE_NS = 800_000_000, 100  # and so much more a byte: it is compressed, sent, and twice on a disk
READ_NS = 800_000_000
LARGE = 1 << 18  # bytes of a configuration from which on one is checked at a time
log = logs.get_logger("ctl")


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
        beats: HeartbeatRegistry,
        fencing: Fencing,
        kept: Callable[[int], bool],
        near: Callable[[str], list[str]],
        sure: Callable[[], bool],
    ) -> None:
        self.beats, self.fencing, self.kept, self.near, self.sure = beats, fencing, kept, near, sure
        self.nearby = ZoneRedirects()
        self.acked: set[str] = set()  # lives whose drain was acknowledged here

    async def heartbeat(self, ident: str, body: bytes) -> Answer:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            return error(400, "no JSON")
        now = now_ns()
        found = self.beats.heartbeat(now, ident, document)
        if (refused := await self.settled(found)) is not None:
            return refused
        if isinstance(found, CallAccepted) and found.version and ident not in self.acked:
            self.acked = {one for one in self.acked if one in self.beats.registrations} | {ident}
            log.info("{} drains, and it is on enough disks", ident)
        self.nearby.on_heartbeat(now, ident)
        # Guards against one that is cut off: where it sends callers may be as cut off as it is.
        at = self.nearby.choose(now, ident, self.near(ident)) if self.sure() else None
        answer = json.dumps({"beatUrl": at}).encode() if at else b"{}"
        return Answer(200, answer if len(answer) <= ACK_MOST else b"{}")

    async def leave(self, ident: str, body: bytes) -> Answer:
        found = self.beats.leave(now_ns(), ident)
        if found == CallAccepted(0) and not self.sure():
            return error(503, "cut off: what others know of it is not heard here", CUT_OFF_S)
        return await self.settled(found) or Answer(200)

    async def settled(self, found: CallAccepted | InvalidCall | RegistryFull) -> Answer | None:
        """Why a call is not acknowledged; nothing if it may be."""
        match found:
            case InvalidCall(why):
                return error(400, why[:200])
            case RegistryFull():
                return error(503, "too many backends call here", 1.0)
            case CallAccepted(version) if version and not self.kept(version):
                self.fencing.wake()
                if not self.sure():
                    return error(503, "cut off from a majority: call another", CUT_OFF_S)
                if not await self.fencing.until(lambda: self.kept(version), HELD_S):
                    return error(503, "it is on too few disks yet", 0.2)
        return None


class Config:
    """The configuration: replaced by a higher version, read back as it was sent. Without a majority in touch
    it ends no call of an operator: 503 at once, with a time."""

    def __init__(self, office: Office) -> None:
        self.office = office
        self.one = asyncio.Lock()  # of large ones one is checked at a time

    async def replace(self, ident: str, body: bytes) -> Answer:
        if not self.office.replica.sure(now_ns()):
            return error(503, "no majority of disks is in touch", 1.0)
        found = await run_cooperatively(validation_steps(body), self.one if len(body) > LARGE else None)
        if isinstance(found, InvalidConfiguration):
            log.info("configuration refused: {}", found.reason)
            return error(400, found.reason)
        match await self.office.order(found.version, body, PROPOSE_NS + BYTE_NS * len(body)):
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
