"""A stand-in for a backend, as the users' page on the protocol describes one: it beats, answers, leaves."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from meadowworks.runtime.errors import NoAnswer
from meadowworks.runtime.http_connection import connect
from meadowworks.runtime.http_server import Door, answer, whole_body

ACK_MOST = 4096  # bytes of an answer: a larger one acknowledges nothing


class Backend:
    """One life. `ran` lists the ids of the requests that it has run, each as often as it ran."""

    def __init__(
        self,
        ident: str,
        svc: str,
        zone: str,
        host: str,
        capacity: int = 2,
        work: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.ident, self.svc, self.zone, self.host, self.capacity = ident, svc, zone, host, capacity
        self.work = work
        self.state, self.calls, self.running = "up", 0, 0
        self.named: tuple[str, int] | None = None  # where it was asked to call (`beatUrl`), until that fails
        self.ran: list[str] = []
        self.door = Door(self.app)
        self.port = 0

    async def open(self) -> None:
        self.port = await self.door.open(self.host, 0)

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        body = await whole_body(receive, 1 << 20)
        headers = dict(scope["headers"])
        if scope["path"] == "/healthz":
            return await answer(
                send, 200 if self.state == "up" else 503, b"", [(b"x-backend-id", self.ident.encode())]
            )
        ident = headers.get(b"x-request-id", b"")
        if headers.get(b"x-want-backend", self.ident.encode()) != self.ident.encode():
            return await answer(
                send, 421, b"", [(b"x-backend-id", self.ident.encode()), (b"x-request-id", ident)]
            )
        self.running += 1
        self.ran.append(ident.decode())
        try:
            if self.work:
                await self.work()
        finally:
            self.running -= 1
        told = [
            (b"x-request-id", ident),
            (b"x-backend-seal", f"{self.ident}.{len(body) if isinstance(body, bytes) else 0}".encode()),
            (b"x-backend-load", f"{self.running},0,{self.capacity}".encode()),
        ]
        await answer(send, 200, f"{self.ident} has answered {scope['target'].decode()}\n".encode(), told)

    async def beat(self, ctl: tuple[str, int], leave: bool = False) -> int:
        """One call to a signalbox; the status, 0 without an answer."""
        self.calls += 1
        document = {
            "addr": f"{self.host}:{self.port}",
            "details": {"svc": self.svc, "ver": "v1", "zone": self.zone, "capacity": self.capacity},
            "status": {"state": self.state, "calls": self.calls, "warmupMs": 0},
        }
        body = b"" if leave else json.dumps(document).encode()
        path = f"/api/Backends.{'Leave' if leave else 'Heartbeat'}/{self.ident}".encode()
        try:
            line = await connect(*ctl, 1.0)
            try:
                async with asyncio.timeout(1.0):
                    headers = [(b"host", b"ctl"), (b"content-length", str(len(body)).encode())]
                    reply = await line.ask(b"POST", path, headers, body, ACK_MOST)
                    if reply.status == 200 and not leave and (at := json.loads(reply.body).get("beatUrl")):
                        self.named = at.rpartition(":")[0], int(at.rpartition(":")[2])
                    return reply.status
            finally:
                line.close()
        except (NoAnswer, TimeoutError):
            return 0

    async def beats(self, ctls: list[tuple[str, int]], every_s: float) -> None:
        """Beats for ever: where it was asked to, else at the next signalbox after one that fails."""
        place = sum(self.ident.encode()) % len(ctls)
        while True:
            if await self.beat(self.named or ctls[place]) != 200:
                if self.named is None:
                    place = (place + 1) % len(ctls)
                self.named = None
            await asyncio.sleep(every_s)

    def end(self) -> None:
        with suppress(Exception):
            self.door.shut()
