"""Detection of an unreachable peer while a large body is sent.

`TCP_USER_TIMEOUT` (tcp(7)) ends a connection to an unreachable peer, but also to a reachable peer with a
closed receive window, such as one that reads the body later. It is therefore disabled while a large body is
sent, and the state of the connection is polled instead.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from meadowworks.runtime.tcp_info import TcpInfo, read_tcp_info

CHECK_INTERVAL_S = 0.25
NO_USER_TIMEOUT = 0


class PeerWatch:
    """A monitor of the peer of one connection, active from its creation until `stop`.

    :param user_timeout_ms: the time without an acknowledgement after which the peer counts as unreachable;
        `stop` sets it as `TCP_USER_TIMEOUT`.
    :param on_lost: called once if the peer is unreachable.
    """

    def __init__(self, sock: socket.socket, user_timeout_ms: int, on_lost: Callable[[], None]) -> None:
        self._socket = sock
        self._user_timeout_ms = user_timeout_ms
        self._on_lost = on_lost
        self._set_user_timeout(NO_USER_TIMEOUT)
        self._timer: asyncio.TimerHandle | None = None
        self._schedule()

    def stop(self) -> TcpInfo | None:
        """Stop monitoring.

        :returns: the state of the connection; None if it is not available or the connection has ended.
        """
        if self._timer is not None:
            self._timer.cancel()
        if self._socket.fileno() < 0:
            return None
        self._set_user_timeout(self._user_timeout_ms)
        return read_tcp_info(self._socket)

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        info = read_tcp_info(self._socket) if self._socket.fileno() >= 0 else None
        if info is None:
            return  # connection ended, or its state is unavailable: then only the caller's deadline applies
        if info.is_peer_lost(self._user_timeout_ms):
            self._on_lost()
            return
        self._schedule()

    def _set_user_timeout(self, timeout_ms: int) -> None:
        with contextlib.suppress(OSError):  # the connection has just ended, which the reader detects
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
