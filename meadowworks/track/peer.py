"""Calls to one other controller: lines that are kept between calls."""

from __future__ import annotations

import asyncio

from meadowworks.track.errors import NoAnswer
from meadowworks.track.line import Line, connect

CONNECT_S = 0.25  # a machine without power is silent: the next one is asked
ANSWER_MOST = 64 << 20
KEEP = 2  # idle lines


class Peer:
    """Raises NoAnswer from `call`."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[Line] = []

    async def call(self, path: bytes, body: bytes, wait_s: float) -> bytes:
        """The body of a 200; anything else is no answer."""
        line = None
        while self.idle and line is None:
            line = self.idle.pop()
            if not line.usable():
                line.close()
                line = None
        try:
            async with asyncio.timeout(wait_s):
                if line is None:
                    line = await connect(self.host, self.port, CONNECT_S)
                headers = [(b"host", self.host.encode()), (b"content-length", str(len(body)).encode())]
                reply = await line.ask(b"POST", path, headers, body, ANSWER_MOST)
        except TimeoutError:
            raise NoAnswer(f"silence from {self.host}:{self.port}", True) from None
        if line.usable() and len(self.idle) < KEEP:
            self.idle.append(line)
        else:
            line.close()
        if reply.status != 200:
            raise NoAnswer(f"{self.host}:{self.port} says {reply.status}", True)
        return reply.body

    def close(self) -> None:
        for line in self.idle:
            line.close()
        self.idle.clear()
