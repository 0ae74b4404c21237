"""Calls to another node of the system: pooled connections, and replies matched to their call.

Each call carries an id which the reply must repeat, and each reply names the incarnation of the process that
answers. So neither a late reply to an earlier call, nor one of a process that has taken over the address, is
ever taken for the reply to this call.
"""

from __future__ import annotations

import asyncio
from secrets import token_hex

from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, Response, connect
from meadowworks.runtime.server_connection import CALL_ID_HEADER, INCARNATION_HEADER

CONNECT_TIMEOUT_S = 0.25  # a machine without power answers nothing: fail early, so that another is tried
MAX_REPLY_BYTES = 64 << 20  # as large as the largest configuration
MAX_IDLE_CONNECTIONS = 2  # one for long polls, one for requests beside them
CALL_ID_BYTES = 8  # random: no two calls of a connection's life share one
HTTP_OK = 200


class PeerClient:
    """Calls to one address.

    :param host: address of the peer.
    :param port: its peer port.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.incarnation: bytes | None = None  # of the process that accepted the newest connection
        self.idle_connections: list[ClientConnection] = []

    async def call(self, path: bytes, body: bytes, timeout_s: float) -> bytes:
        """Send one request and return the body of its reply.

        :raises RequestError: no reply in time, a reply to another call, or a status other than 200. The call
            may have been handled; whether it may be retried is for the caller to know.
        """
        connection, call_id = self._take_idle_connection(), token_hex(CALL_ID_BYTES).encode()
        is_new = connection is None
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None:
                    connection = await connect(self.host, self.port, CONNECT_TIMEOUT_S)
                reply = await self._send(connection, path, body, call_id)
        except BaseException as error:
            # A reply that arrives after its caller has gone must not meet the next call.
            if connection is not None:
                connection.close()
            if isinstance(error, TimeoutError):
                raise RequestError(
                    f"no reply from {self.host}:{self.port} within {timeout_s:g} s", True
                ) from None
            raise
        if reply.header(CALL_ID_HEADER) != call_id:
            connection.close()
            raise RequestError(f"{self.host}:{self.port} replied to another call", True)
        self._release(connection, reply.header(INCARNATION_HEADER), is_new)
        if reply.status != HTTP_OK:
            raise RequestError(f"{self.host}:{self.port} replied with status {reply.status}", True)
        return reply.body

    def close(self) -> None:
        """Close the idle connections; the client may be used again."""
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()

    async def _send(self, connection: ClientConnection, path: bytes, body: bytes, call_id: bytes) -> Response:
        headers = [
            (b"host", self.host.encode()),
            (CALL_ID_HEADER, call_id),
            (b"content-length", str(len(body)).encode()),
        ]
        return await connection.request(b"POST", path, headers, body, MAX_REPLY_BYTES)

    def _take_idle_connection(self) -> ClientConnection | None:
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return None

    def _release(self, connection: ClientConnection, incarnation: bytes | None, is_new: bool) -> None:
        """Keep the connection for the next call if it leads to the process that is there now."""
        if is_new and incarnation != self.incarnation:
            self.close()  # these lead to the process that had the address before
            self.incarnation = incarnation
        has_room = len(self.idle_connections) < MAX_IDLE_CONNECTIONS
        if incarnation == self.incarnation and connection.is_usable() and has_room:
            self.idle_connections.append(connection)
        else:
            connection.close()


class PeerClientPool:
    """One `PeerClient` an address."""

    def __init__(self) -> None:
        self._clients: dict[tuple[str, int], PeerClient] = {}

    def client(self, host: str, port: int) -> PeerClient:
        """Return the client for an address, made at its first use."""
        return self._clients.setdefault((host, port), PeerClient(host, port))

    def close(self) -> None:
        """Close the idle connections of all clients."""
        for client in self._clients.values():
            client.close()
