"""A client for calls to other nodes, with pooled connections and replies matched to calls.

Each call contains an id that the reply must repeat, and each reply contains the incarnation of the process
that sent it. This prevents a late reply to an earlier call, or the reply of another process that has taken
over the address, from being accepted as the reply to the current call.
"""

from __future__ import annotations

import asyncio
from secrets import token_hex

from meadowworks.runtime.errors import RequestError, UnexpectedStatusError
from meadowworks.runtime.http_connection import ClientConnection, Response, connect
from meadowworks.runtime.server_connection import CALL_ID_HEADER, INCARNATION_HEADER

CONNECT_TIMEOUT_S = 0.25  # short, so that another node is tried soon if this one is down
MAX_REPLY_BYTES = 64 << 20  # the size of the largest configuration
MAX_IDLE_CONNECTIONS = 2  # one for long polls, one for concurrent requests
CALL_ID_BYTES = 8  # random, so that ids do not repeat on a connection
HTTP_OK = 200


class PeerClient:
    """A client for one address.

    :param host: the IP address of the peer.
    :param port: the peer port.
    :param max_idle_connections: the number of connections to keep between calls.
    """

    def __init__(self, host: str, port: int, max_idle_connections: int = MAX_IDLE_CONNECTIONS) -> None:
        self.host, self.port = host, port
        self._max_idle_connections = max_idle_connections
        self.incarnation: bytes | None = None  # of the process that accepted the newest connection
        self.idle_connections: list[ClientConnection] = []

    async def call(self, path: bytes, body: bytes, timeout_s: float) -> bytes:
        """Send one request and return the body of its reply.

        :raises RequestError: if there is no reply in time, the reply belongs to another call, or its status
            is not 200. The call may have been handled, so the caller decides whether it may be retried.
        """
        connection, call_id = self._take_idle_connection(), token_hex(CALL_ID_BYTES).encode()
        is_new = connection is None
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None:
                    connection = await connect(self.host, self.port, CONNECT_TIMEOUT_S)
                reply = await self._send(connection, path, body, call_id)
        except BaseException as error:
            # Prevents a late reply from being read by the next call.
            if connection is not None:
                connection.close()
            if isinstance(error, TimeoutError):
                raise RequestError(
                    f"no reply from {self.host}:{self.port} within {timeout_s:g} s",
                    may_have_run=connection is not None,
                ) from None
            raise
        if reply.header(CALL_ID_HEADER) != call_id:
            connection.close()
            raise RequestError(f"{self.host}:{self.port} replied to another call", True)
        self._release(connection, reply.header(INCARNATION_HEADER), is_new)
        if reply.status != HTTP_OK:
            raise UnexpectedStatusError(
                f"{self.host}:{self.port} replied with status {reply.status}", reply.status
            )
        return reply.body

    def close(self) -> None:
        """Close the idle connections. The client remains usable."""
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
        """Keep the connection for the next call if it leads to the current process at the address."""
        if is_new and incarnation != self.incarnation:
            self.close()  # the idle connections lead to the previous process at the address
            self.incarnation = incarnation
        has_room = len(self.idle_connections) < self._max_idle_connections
        if incarnation == self.incarnation and connection.is_usable() and has_room:
            self.idle_connections.append(connection)
        else:
            connection.close()


class PeerClientPool:
    """A pool with one `PeerClient` per address.

    :param max_idle_connections: the number of connections to keep per address.
    """

    def __init__(self, max_idle_connections: int = MAX_IDLE_CONNECTIONS) -> None:
        self._max_idle_connections = max_idle_connections
        self._clients: dict[tuple[str, int], PeerClient] = {}

    def client(self, host: str, port: int) -> PeerClient:
        """Return the client for an address, creating it at first use."""
        client = self._clients.get((host, port))
        if client is None:
            client = self._clients[host, port] = PeerClient(host, port, self._max_idle_connections)
        return client

    def close(self) -> None:
        """Close the idle connections of all clients."""
        for client in self._clients.values():
            client.close()
