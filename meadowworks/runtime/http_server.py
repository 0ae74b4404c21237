"""An HTTP/1.1 server: a listening address and its connections."""

from __future__ import annotations

import asyncio
import logging
import socket

from uvicorn.config import Config
from uvicorn.server import ServerState

from meadowworks.runtime.asgi import ASGIApplication
from meadowworks.runtime.connection_limit import ConnectionLimit
from meadowworks.runtime.server_connection import RequestLimits, ServerConnection, SharedState

# Large enough for the connections that a proxy's clients open simultaneously after a failover.
LISTEN_BACKLOG = 1024
# A new or idle connection is not evicted for this time, so that data in transit from its client can arrive.
CONNECTION_GRACE_NS = 1_000_000_000


class HttpServer:
    """A server of one ASGI application at one address.

    :param max_connections: the number of connections above which idle ones are evicted; 0 for no limit.
    :param incarnation: the incarnation of this process, for servers that other programs call. If set, each
        response contains it and the id of the call.
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
        """The limits on requests, which may be changed while connections are open."""
        return self._shared.limits

    @property
    def server(self) -> asyncio.Server | None:
        """The listening server; None before `listen`."""
        return self._server

    @property
    def server_state(self) -> ServerState:
        """The state of uvicorn: the open connections and the tasks of the requests being served."""
        return self._server_state

    async def listen(self, host: str, port: int) -> int:
        """Start accepting connections.

        :param port: 0 for any free port.
        :returns: the listening port.
        :raises OSError: if the address is not available.
        """
        sock = _bound_socket(host, port)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._create_connection, sock=sock, backlog=LISTEN_BACKLOG)
        return int(sock.getsockname()[1])

    def pending_count(self) -> int:
        """Return the number of unanswered requests plus connections with unsent response data."""
        unsent = sum(bool(c.transport.get_write_buffer_size()) for c in self._server_state.connections)
        return len(self._server_state.tasks) + unsent

    def drain(self) -> None:
        """Close each connection after its next response; new connections are still accepted."""
        self._shared.draining = True
        for connection in self._connections():
            if connection.cycle and not connection.cycle.response_complete:
                connection.cycle.keep_alive = False

    def shutdown(self) -> None:
        """Stop accepting; close idle connections immediately, the others after their response."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections():
            if not connection.reading_headers:
                connection.shutdown()

    def close(self) -> None:
        """Close all connections, including those that wait for a response. Written data is still sent."""
        for connection in self._connections():
            connection.transport.close()

    def _connections(self) -> list[ServerConnection]:
        return [c for c in self._server_state.connections if isinstance(c, ServerConnection)]

    def _create_connection(self) -> ServerConnection:
        return ServerConnection(
            self._shared, config=self._config, server_state=self._server_state, app_state={}
        )


def _uvicorn_config(app: ASGIApplication) -> Config:
    """Return a uvicorn configuration without the features that are unused or implemented here."""
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
    # Prevents invalid requests from flooding the log.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    return config


def _bound_socket(host: str, port: int) -> socket.socket:
    # asyncio sets TCP_NODELAY only if the protocol is explicit; without it responses are delayed by 40 ms.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
