"""Calls to one other controller: lines that are kept between calls, and replies that name their question.

A late reply to an earlier call, one of a process that has taken the address of another, or of one that knows
no questions, is never taken for the reply to this call.
"""

from __future__ import annotations

import asyncio
from secrets import token_hex

from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, connect
from meadowworks.runtime.http_server import CALL_ID_HEADER, INCARNATION_HEADER

CONNECT_S = 0.25  # a machine without power is silent: the next one is asked
ANSWER_MOST = 64 << 20
KEEP = 2  # idle lines


class Peer:
    """Raises NoAnswer from `call`. `life` is that of the process which took the newest line."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.life: bytes | None = None
        self.idle: list[ClientConnection] = []

    def kept(self) -> ClientConnection | None:
        while self.idle:
            line = self.idle.pop()
            if line.usable():
                return line
            line.close()
        return None

    async def call(self, path: bytes, body: bytes, wait_s: float) -> bytes:
        """The body of a 200 to this very question; anything else is no answer, and costs its line."""
        line, question = self.kept(), token_hex(8).encode()
        fresh = line is None
        try:
            async with asyncio.timeout(wait_s):
                if line is None:
                    line = await connect(self.host, self.port, CONNECT_S)
                headers = [
                    (b"host", self.host.encode()),
                    (CALL_ID_HEADER, question),
                    (b"content-length", str(len(body)).encode()),
                ]
                reply = await line.request(b"POST", path, headers, body, ANSWER_MOST)
        except BaseException as trouble:
            # Guards against a reply that comes after its caller has gone: the next call would meet it.
            if line is not None:
                line.close()
            if isinstance(trouble, TimeoutError):
                raise RequestError(f"silence from {self.host}:{self.port}", True) from None
            raise
        if reply.header(CALL_ID_HEADER) != question:
            line.close()
            raise RequestError(f"{self.host}:{self.port} answers another question", True)
        life = reply.header(INCARNATION_HEADER)
        if fresh and life != self.life:
            # Guards against lines that lead to the process which was there before.
            self.close()
            self.life = life
        if life == self.life and line.usable() and len(self.idle) < KEEP:
            self.idle.append(line)
        else:
            line.close()
        if reply.status != 200:
            raise RequestError(f"{self.host}:{self.port} says {reply.status}", True)
        return reply.body

    def close(self) -> None:
        for line in self.idle:
            line.close()
        self.idle.clear()
