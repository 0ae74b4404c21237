"""Calls to one other controller: lines that are kept between calls, and replies that name their question.

A late reply to an earlier call, one of a process that has taken the address of another, or of one that knows
no questions, is never taken for the reply to this call.
"""

from __future__ import annotations

import asyncio
from secrets import token_hex

from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, connect
from meadowworks.runtime.server_connection import CALL_ID_HEADER, INCARNATION_HEADER

CONNECT_TIMEOUT_S = 0.25  # a machine without power is silent: the next one is asked
MAX_REPLY_BYTES = 64 << 20
MAX_IDLE_CONNECTIONS = 2  # idle lines


class PeerClient:
    """Raises NoAnswer from `call`. `life` is that of the process which took the newest line."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.incarnation: bytes | None = None
        self.idle_connections: list[ClientConnection] = []

    def take_idle_connection(self) -> ClientConnection | None:
        while self.idle_connections:
            line = self.idle_connections.pop()
            if line.usable():
                return line
            line.close()
        return None

    async def call(self, path: bytes, body: bytes, timeout_s: float) -> bytes:
        """The body of a 200 to this very question; anything else is no answer, and costs its line."""
        line, question = self.take_idle_connection(), token_hex(8).encode()
        fresh = line is None
        try:
            async with asyncio.timeout(timeout_s):
                if line is None:
                    line = await connect(self.host, self.port, CONNECT_TIMEOUT_S)
                headers = [
                    (b"host", self.host.encode()),
                    (CALL_ID_HEADER, question),
                    (b"content-length", str(len(body)).encode()),
                ]
                reply = await line.request(b"POST", path, headers, body, MAX_REPLY_BYTES)
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
        if fresh and life != self.incarnation:
            # Guards against lines that lead to the process which was there before.
            self.close()
            self.incarnation = life
        if life == self.incarnation and line.usable() and len(self.idle_connections) < MAX_IDLE_CONNECTIONS:
            self.idle_connections.append(line)
        else:
            line.close()
        if reply.status != 200:
            raise RequestError(f"{self.host}:{self.port} says {reply.status}", True)
        return reply.body

    def close(self) -> None:
        for line in self.idle_connections:
            line.close()
        self.idle_connections.clear()
