"""Tests of `runtime.peer_watch` and `runtime.tcp_info`: slow peers are told apart from unreachable ones."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.errors import ConnectionBrokenError
from meadowworks.runtime.http_connection import connect
from meadowworks.runtime.peer_watch import PeerWatch
from meadowworks.runtime.tcp_info import TcpInfo, read_tcp_info
from tests.gateway.helpers import SECOND, wait_until

SO_ATTACH_FILTER = 26  # asm-generic/socket.h
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
USER_TIMEOUT_MS = 600  # keeps the tests short
LARGE_BODY = b"x" * 6_000_000  # exceeds the kernel's buffers
SMALL_BODY = b"x" * 100

Peer = Callable[[socket.socket], Awaitable[None]]


def cut_off(sock: socket.socket) -> None:
    """Drop all packets to a socket, which therefore acknowledges nothing, as if the cable were cut."""
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # BPF: return 0
    sock.setsockopt(
        socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HxxxxxxP", 1, ctypes.addressof(drop_all))
    )


async def request_to(peer: Peer, body: bytes) -> tuple[bool, ConnectionBrokenError | None, float]:
    """Send a request to a simulated peer.

    :returns: whether the connection is usable, the error if the request failed, and its duration in seconds.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        host, port = listener.getsockname()
        connection = await connect(host, port, 2.0, USER_TIMEOUT_MS)
        accepted, _ = await loop.sock_accept(listener)
        accepted.setblocking(False)
        served, began = asyncio.ensure_future(peer(accepted)), now_ns()
        headers = [(b"host", b"h"), (b"content-length", str(len(body)).encode())]
        error: ConnectionBrokenError | None = None
        try:
            await asyncio.sleep(0)  # starts the peer, so that it can cut the connection before the request
            async with asyncio.timeout(8):
                await connection.request(b"POST", b"/", headers, body, 100)
        except ConnectionBrokenError as broken:
            error = broken
        took_s = (now_ns() - began) / SECOND
        is_usable = connection.is_usable()
        served.cancel()
        accepted.close()
        connection.close()
        return is_usable, error, took_s


async def receive_bytes(sock: socket.socket, expected: int) -> int:
    loop, read = asyncio.get_running_loop(), 0
    while read < expected and (data := await loop.sock_recv(sock, 1 << 20)):
        read += len(data)
    return read


def test_a_peer_that_reads_a_large_body_late_is_not_lost() -> None:
    async def read_late(sock: socket.socket) -> None:
        await asyncio.sleep(3 * USER_TIMEOUT_MS / 1000)  # the receive window closes
        await receive_bytes(sock, len(LARGE_BODY))
        await asyncio.get_running_loop().sock_sendall(sock, OK)

    is_usable, error, _ = asyncio.run(request_to(read_late, LARGE_BODY))
    assert error is None
    assert is_usable


@pytest.mark.parametrize("body", [SMALL_BODY, LARGE_BODY], ids=["small", "large"])
def test_an_unreachable_peer_is_detected_within_the_timeout(body: bytes) -> None:
    async def cut_at_once(sock: socket.socket) -> None:
        cut_off(sock)

    is_usable, error, took_s = asyncio.run(request_to(cut_at_once, body))
    assert error is not None
    assert error.may_have_run
    assert USER_TIMEOUT_MS / 1000 <= took_s < 3 * USER_TIMEOUT_MS / 1000
    assert not is_usable


def test_an_unreachable_peer_with_a_closed_window_is_detected() -> None:
    async def cut_with_closed_window(sock: socket.socket) -> None:
        await asyncio.sleep(USER_TIMEOUT_MS / 2000)
        cut_off(sock)

    _, error, took_s = asyncio.run(request_to(cut_with_closed_window, LARGE_BODY))
    assert error is not None
    assert took_s < 5  # window probes are sent with exponential backoff


@pytest.mark.parametrize("body", [LARGE_BODY, b"x" * 200_000], ids=["in the process", "in the kernel"])
def test_a_connection_with_an_unread_request_body_is_not_reused(body: bytes) -> None:
    async def respond_early(sock: socket.socket) -> None:
        await asyncio.get_running_loop().sock_sendall(sock, OK)
        await asyncio.sleep(3)

    is_usable, error, _ = asyncio.run(request_to(respond_early, body))
    assert error is None
    assert not is_usable


def test_the_user_timeout_is_disabled_only_while_a_peer_is_watched() -> None:
    async def main() -> list[int]:
        with socket.socket() as sock:
            watch = PeerWatch(sock, USER_TIMEOUT_MS, lambda: None)
            during = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            watch.stop()
            return [during, sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)]

    assert asyncio.run(main()) == [0, USER_TIMEOUT_MS]


@pytest.mark.parametrize(
    ("info", "lost"),
    [
        (TcpInfo(0, 0, 9000, 0), False),  # idle
        (TcpInfo(0, 2, 1999, 0), False),
        (TcpInfo(0, 2, 2000, 0), True),
        (TcpInfo(0, 0, 9000, 5000), False),  # no window probe is due yet
        (TcpInfo(1, 0, 9000, 5000), False),  # the probe may have been answered
        (TcpInfo(2, 0, 1999, 5000), False),
        (TcpInfo(2, 0, 2000, 5000), True),
    ],
)
def test_a_peer_is_lost_only_if_an_acknowledgement_is_overdue(info: TcpInfo, lost: bool) -> None:
    assert info.is_peer_lost(2000) == lost


def test_the_state_of_a_connection_is_read_from_the_kernel() -> None:
    async def main() -> None:
        server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        with socket.create_connection(server.sockets[0].getsockname()) as sock:
            sock.sendall(b"x")
            await wait_until(lambda: bool((info := read_tcp_info(sock)) and info.all_acknowledged), "the ack")
        server.close()

    asyncio.run(main())


def test_a_socket_without_a_tcp_connection_has_no_state() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        assert read_tcp_info(sock) is None
