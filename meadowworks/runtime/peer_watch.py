"""Tells a peer that is lost from one that does not read, while much is on its way to it.

`TCP_USER_TIMEOUT` ends a connection whose peer is unreachable, but also one whose peer has closed its window,
for instance while it works and reads on later (tcp(7)). While a large body is sent it is switched off, and
the connection's state is looked at instead.
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
    """Watches the peer of one connection from its creation until `stop`.

    :param user_timeout_ms: how long the peer may be silent; in force again after `stop`
    :param on_lost: called once if the peer is lost
    """

    def __init__(self, sock: socket.socket, user_timeout_ms: int, on_lost: Callable[[], None]) -> None:
        self._socket = sock
        self._user_timeout_ms = user_timeout_ms
        self._on_lost = on_lost
        self._set_user_timeout(NO_USER_TIMEOUT)
        self._timer: asyncio.TimerHandle | None = None
        self._schedule()

    def stop(self) -> TcpInfo | None:
        """End the watch.

        :returns: the state of the connection; None where the system does not tell it, or it has ended.
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
            return  # the connection has ended, or only the caller's own deadline bounds it
        if info.is_peer_lost(self._user_timeout_ms):
            self._on_lost()
            return
        self._schedule()

    def _set_user_timeout(self, timeout_ms: int) -> None:
        with contextlib.suppress(OSError):  # of a connection that has just ended: its reader is told
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
