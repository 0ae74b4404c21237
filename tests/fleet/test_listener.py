"""Tests connections on fake transports and on loopback sockets."""

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
from tests.fleet.program import FakePeer


class UnreadTransport:
    """A transport whose peer reads nothing."""

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


def make_listener(**options: float) -> tuple[listener.Listener, Mailbox[ControllerEvent]]:
    events: Mailbox[ControllerEvent] = Mailbox(99)
    return listener.Listener(events, {"a"}, 4, int(options.get("sockets", 64))), events


def identified_connection(
    first: bytes,
) -> tuple[listener.PeerConnection, UnreadTransport, Mailbox[ControllerEvent]]:
    """Return a connection that has received the line `first`, its transport and the controller's mailbox."""
    own_listener, events = make_listener()
    connection, transport = (
        listener.PeerConnection(asyncio.get_running_loop(), own_listener),
        UnreadTransport(),
    )
    connection.connection_made(cast(asyncio.Transport, transport))
    connection.data_received(first)
    return connection, transport, events


def test_unread_stream_is_aborted_and_its_proxy_leaves(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "CONNECTION_LIMITS", ConnectionLimits(max_unsent_bytes=20))

    async def scenario() -> None:
        connection, transport, events = identified_connection(b"attach id=2 site=a rps=1 new=1\r\n")
        connection.data_received(b"hb\r\nhb\r\nhb\r\nhb\r\n")
        await asyncio.sleep(0)
        assert transport.aborted
        connection.connection_lost(None)
        for _ in range(3):
            await asyncio.sleep(0)
        assert events.drain() == [
            ProxyJoined(ProxyHello(2, "a", 1.0, True), connection.mailbox),
            ProxyLeft(2, connection.mailbox),
        ]

    asyncio.run(scenario())


def test_peers_only_publish_messages_that_they_may_send() -> None:
    async def scenario() -> None:
        own_zone, other_zone = (
            BackendReport("a", "s", 1, 0, 1, 1, {}),
            BackendReport("b", "s", 1, 0, 1, 1, {}),
        )
        own_demand, other_demand = DemandReport(2, "look", 1, 0, 1), DemandReport(3, "look", 1, 0, 1)
        items: list[ConnectionItem] = [
            own_demand,
            other_demand,
            UpdateApplied(2, 9),
            UpdateApplied(3, 9),
            own_zone,
            other_zone,
            ConnectionEnd("over"),
        ]
        for first, published in (
            (b"attach id=2 site=a rps=1 new=1\r\n", [own_demand, items[2]]),
            (b"telemetry site=a\r\n", [own_demand, other_demand, own_zone]),
        ):
            connection, _, events = identified_connection(first)
            for item in items:
                connection.mailbox.put(item)
            for _ in range(2):
                await asyncio.sleep(0)
            assert [
                item for item in events.drain() if not isinstance(item, ProxyJoined | ProxyLeft)
            ] == published

    asyncio.run(scenario())


@pytest.mark.parametrize("first", [b"", b"telemetry site=a\r\n"])
def test_peer_that_sends_heartbeats_but_does_not_read_is_aborted(
    monkeypatch: pytest.MonkeyPatch, first: bytes
) -> None:
    monkeypatch.setattr(listener, "CONNECTION_LIMITS", ConnectionLimits(max_unsent_bytes=20))

    async def scenario() -> None:
        own_listener, transport = (
            listener.Listener(Mailbox[ControllerEvent](9), {"a"}, 4, 64),
            UnreadTransport(),
        )
        connection = listener.PeerConnection(asyncio.get_running_loop(), own_listener)
        connection.connection_made(cast(asyncio.Transport, transport))
        connection.data_received(first + b"hb\r\n")
        assert not transport.aborted
        for _ in range(9):
            await asyncio.sleep(0)  # lets a collector's actor run
            connection.data_received(b"hb\r\n")
        assert transport.aborted
        connection.connection_lost(None)

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["", "hb\r\n", "telem"])
def test_connection_without_hello_in_time_is_closed(monkeypatch: pytest.MonkeyPatch, first: str) -> None:
    monkeypatch.setattr(listener, "HANDSHAKE_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        own_listener, _ = make_listener()
        with await own_listener.open_socket("127.0.0.1", 0) as listening:
            serving = asyncio.create_task(own_listener.run(listening))
            port = listening.getsockname()[1]
            idle, identified = (
                await FakePeer().connect(port),
                await FakePeer().connect(port, "attach id=0 site=a rps=1 new=1"),
            )
            idle.writer.write(first.encode())
            if first.startswith("hb"):
                await idle.receive_until(lambda peer: peer.heartbeat_replies == 1)
            await idle.wait_closed()
            identified.send("hb")
            await identified.receive_until(lambda peer: peer.heartbeat_replies == 1)
            serving.cancel()

    asyncio.run(scenario())


def test_acknowledgements_are_dropped_beyond_mailbox_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "MAX_QUEUED_REPORTS", 3)

    async def scenario() -> None:
        connection = listener.PeerConnection(asyncio.get_running_loop(), make_listener()[0])
        connection.connection_made(cast(asyncio.Transport, UnreadTransport()))
        connection.data_received(b"attach id=2 site=a rps=1 new=1\r\n" + b"done id=2 seq=7 ms=1\r\n" * 9)
        assert len(connection.mailbox.items) == 3
        connection.connection_lost(None)

    asyncio.run(scenario())


def test_peer_is_aborted_for_unreadable_input_but_not_for_malformed_messages() -> None:
    async def scenario() -> None:
        own_listener, events = make_listener()
        limits = listener.CONNECTION_LIMITS
        for unreadable in (
            b"\x00\xff what\r\n" * limits.max_unreadable_lines,
            b"\x00\xff" * limits.max_unrecognized_bytes,
        ):
            connection, transport = (
                listener.PeerConnection(asyncio.get_running_loop(), own_listener),
                UnreadTransport(),
            )
            connection.connection_made(cast(asyncio.Transport, transport))
            connection.data_received(b"attach id=2 site=a rps=1 new=1\r\n")
            for _ in range(2 * listener.CONNECTION_LIMITS.max_unreadable_lines):
                connection.data_received(b"client_stats id=2 lane=a count=x fail=0 over=1000\r\n\x00\r\n")
                connection.data_received(b"client_stats id=2 lane=a count=1 fail=0 over=1000\r\n")
            assert not transport.aborted and not transport.unread
            connection.data_received(unreadable)
            assert transport.aborted
            connection.connection_lost(None)

    asyncio.run(scenario())
