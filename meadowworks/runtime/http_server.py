"""The server side of HTTP/1.1: an address that is listened on, and its connections."""

from __future__ import annotations

import asyncio
import logging
import socket

from uvicorn.config import Config
from uvicorn.server import ServerState

from meadowworks.runtime.asgi import ASGIApplication
from meadowworks.runtime.connection_limit import ConnectionLimit
from meadowworks.runtime.server_connection import RequestLimits, ServerConnection, SharedState

# Connections that wait to be accepted: what a proxy's clients open at once after a fail-over.
LISTEN_BACKLOG = 1024
# That a connection is not evicted, so that what its client has sent has time to arrive: some round trips.
CONNECTION_GRACE_NS = 1_000_000_000


class HttpServer:
    """Serves one ASGI application at one address.

    :param max_connections: above which idle connections are evicted; 0 for no limit.
    :param incarnation: the serving process's, for servers that other programs call: each response then names
        the call that it answers.
    """

    def __init__(
        self,
        app: ASGIApplication,
        limits: RequestLimits | None = None,
        max_connections: int = 0,
        incarnation: str = "",
    ) -> None:
        connection_limit: ConnectionLimit[ServerConnection] | None = None
        if max_connections:
            connection_limit = ConnectionLimit(max_connections, CONNECTION_GRACE_NS)
        self._shared = SharedState(
            limits or RequestLimits(), connection_limit=connection_limit, incarnation=incarnation.encode()
        )
        self._config = _uvicorn_config(app)
        self._server_state = ServerState()
        self._server: asyncio.Server | None = None

    @property
    def limits(self) -> RequestLimits:
        """What clients may send. They may be changed while connections are open."""
        return self._shared.limits

    @property
    def server(self) -> asyncio.Server | None:
        """What listens, once `listen` has been called."""
        return self._server

    @property
    def server_state(self) -> ServerState:
        """The state of uvicorn: open connections, and the tasks of requests that are being served."""
        return self._server_state

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections.

        :param port: 0 for any free one.
        :returns: the port that is listened on.
        :raises OSError: if the address is not free.
        """
        sock = _bound_socket(host, port)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._create_connection, sock=sock, backlog=LISTEN_BACKLOG)
        return int(sock.getsockname()[1])

    def pending_count(self) -> int:
        """How many requests are not answered yet, and responses not sent completely."""
        unsent = sum(bool(c.transport.get_write_buffer_size()) for c in self._server_state.connections)
        return len(self._server_state.tasks) + unsent

    def drain(self) -> None:
        """Make each response from now on the last of its connection; connections are still accepted."""
        self._shared.draining = True
        for connection in self._connections():
            if connection.cycle and not connection.cycle.response_complete:
                connection.cycle.keep_alive = False

    def shutdown(self) -> None:
        """Accept no more; close idle connections at once, the others after their response."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections():
            if not connection.reading_headers:
                connection.shutdown()

    def close(self) -> None:
        """Close all connections, also those that wait for a response. What is written is still sent."""
        for connection in self._connections():
            connection.transport.close()

    def _connections(self) -> list[ServerConnection]:
        return [c for c in self._server_state.connections if isinstance(c, ServerConnection)]

    def _create_connection(self) -> ServerConnection:
        return ServerConnection(
            self._shared, config=self._config, server_state=self._server_state, app_state={}
        )


def _uvicorn_config(app: ASGIApplication) -> Config:
    """Configure uvicorn without what is done here, or not needed."""
    config = Config(
        app=app,
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        interface="asgi3",
    )
    config.load()
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)  # clients' bad input must not flood the log
    return config


def _bound_socket(host: str, port: int) -> socket.socket:
    # With its protocol stated: else asyncio sets no TCP_NODELAY, and each response waits for 40 ms.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
