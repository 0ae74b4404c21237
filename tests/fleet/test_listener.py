"""Connections on transports and on loopback sockets."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from meadowworks.fleet import listener
from meadowworks.fleet.connection_state import ConnectionLimits
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    BackendReport,
    ConnectionEnd,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    UpdateApplied,
)
from tests.fleet.program import Peer


class Transport:
    """A peer that reads nothing."""

    def __init__(self) -> None:
        self.unread = b""
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.unread += data

    def get_write_buffer_size(self) -> int:
        return len(self.unread)

    def abort(self) -> None:
        self.aborted = True

    def get_extra_info(self, _: str) -> None:
        return None


def door(**options: float) -> tuple[listener.Listener, Mailbox[ControllerEvent]]:
    module: Mailbox[ControllerEvent] = Mailbox(99)
    return listener.Listener(module, {"a"}, 4, int(options.get("sockets", 64))), module


def hired(first: bytes) -> tuple[listener.PeerConnection, Transport, Mailbox[ControllerEvent]]:
    """A connection that has said who it is, on a transport that reads nothing."""
    here, module = door()
    peer, line = listener.PeerConnection(asyncio.get_running_loop(), here), Transport()
    peer.connection_made(cast(asyncio.Transport, line))
    peer.data_received(first)
    return peer, line, module


def test_a_stream_that_is_not_read_is_ended_alone_and_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "CONNECTION_LIMITS", ConnectionLimits(max_unsent_bytes=20))

    async def act() -> None:
        peer, slow, module = hired(b"attach id=2 site=a rps=1 new=1\r\n")
        peer.data_received(b"hb\r\nhb\r\nhb\r\nhb\r\n")
        await asyncio.sleep(0)
        assert slow.aborted
        peer.connection_lost(None)
        for _ in range(3):
            await asyncio.sleep(0)
        assert module.drain() == [
            ProxyJoined(ProxyHello(2, "a", 1.0, True), peer.mailbox),
            ProxyLeft(2, peer.mailbox),
        ]

    asyncio.run(act())


def test_a_stream_passes_on_its_own_usage_and_marks_alone_and_a_collector_its_zones() -> None:
    async def act() -> None:
        here, there = BackendReport("a", "s", 1, 0, 1, 1, {}), BackendReport("b", "s", 1, 0, 1, 1, {})
        mine, other = DemandReport(2, "look", 1, 0, 1), DemandReport(3, "look", 1, 0, 1)
        said: list[ConnectionItem] = [
            mine,
            other,
            UpdateApplied(2, 9),
            UpdateApplied(3, 9),
            here,
            there,
            ConnectionEnd("over"),
        ]
        for first, passed in (
            (b"attach id=2 site=a rps=1 new=1\r\n", [mine, said[2]]),
            (b"telemetry site=a\r\n", [mine, other, here]),
        ):
            peer, _, module = hired(first)
            for item in said:
                peer.mailbox.put(item)
            for _ in range(2):
                await asyncio.sleep(0)
            assert [
                item for item in module.drain() if not isinstance(item, ProxyJoined | ProxyLeft)
            ] == passed

    asyncio.run(act())


@pytest.mark.parametrize("first", [b"", b"telemetry site=a\r\n"])
def test_who_asks_and_does_not_read_is_ended(monkeypatch: pytest.MonkeyPatch, first: bytes) -> None:
    monkeypatch.setattr(listener, "CONNECTION_LIMITS", ConnectionLimits(max_unsent_bytes=20))

    async def act() -> None:
        door, slow = listener.Listener(Mailbox[ControllerEvent](9), {"a"}, 4, 64), Transport()
        peer = listener.PeerConnection(asyncio.get_running_loop(), door)
        peer.connection_made(cast(asyncio.Transport, slow))
        peer.data_received(first + b"hb\r\n")
        assert not slow.aborted
        for _ in range(9):
            await asyncio.sleep(0)  # a collector's actor has its turn
            peer.data_received(b"hb\r\n")
        assert slow.aborted
        peer.connection_lost(None)

    asyncio.run(act())


@pytest.mark.parametrize("first", ["", "hb\r\n", "telem"])
def test_who_does_not_join_in_time_is_ended(monkeypatch: pytest.MonkeyPatch, first: str) -> None:
    monkeypatch.setattr(listener, "HANDSHAKE_TIMEOUT_S", 0.05)

    async def act() -> None:
        here, _ = door()
        with await here.open_socket("127.0.0.1", 0) as listening:
            serving = asyncio.create_task(here.run(listening))
            port = listening.getsockname()[1]
            idle, named = await Peer().dial(port), await Peer().dial(port, "attach id=0 site=a rps=1 new=1")
            idle.writer.write(first.encode())
            if first.startswith("hb"):
                await idle.until(lambda peer: peer.beats == 1)
            await idle.over()
            named.say("hb")
            await named.until(lambda peer: peer.beats == 1)
            serving.cancel()

    asyncio.run(act())


def test_answers_to_marks_beyond_a_connections_bound_give_way_as_reports_do(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "MAX_QUEUED_REPORTS", 3)

    async def act() -> None:
        peer = listener.PeerConnection(asyncio.get_running_loop(), door()[0])
        peer.connection_made(cast(asyncio.Transport, Transport()))
        peer.data_received(b"attach id=2 site=a rps=1 new=1\r\n" + b"done id=2 seq=7 ms=1\r\n" * 9)
        assert len(peer.mailbox.items) == 3
        peer.connection_lost(None)

    asyncio.run(act())


def test_a_peer_is_ended_for_what_goes_on_unread_and_not_for_lines_spoilt() -> None:
    async def act() -> None:
        here, module = door()
        bounds = listener.CONNECTION_LIMITS
        for rubbish in (
            b"\x00\xff what\r\n" * bounds.max_unreadable_lines,
            b"\x00\xff" * bounds.max_unrecognized_bytes,
        ):
            peer, line = listener.PeerConnection(asyncio.get_running_loop(), here), Transport()
            peer.connection_made(cast(asyncio.Transport, line))
            peer.data_received(b"attach id=2 site=a rps=1 new=1\r\n")
            for _ in range(2 * listener.CONNECTION_LIMITS.max_unreadable_lines):
                peer.data_received(b"client_stats id=2 lane=a count=x fail=0 over=1000\r\n\x00\r\n")
                peer.data_received(b"client_stats id=2 lane=a count=1 fail=0 over=1000\r\n")
            assert not line.aborted and not line.unread
            peer.data_received(rubbish)
            assert line.aborted
            peer.connection_lost(None)

    asyncio.run(act())
