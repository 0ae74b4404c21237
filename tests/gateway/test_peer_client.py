"""A call between nodes: its own reply, or none."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response
from tests.gateway.helpers import RawServer, wait_until

# What a controller that is called says to the first question, piece by piece; None ends the connection.
REPLY = b"HTTP/1.1 200 OK\r\nx-question: %s\r\nx-life: one\r\ncontent-length: 5\r\n\r\nfirst"


CHANGED: dict[str, list[bytes | None]] = {
    "as it should": [REPLY],
    "to another question": [REPLY.replace(b"%s", b"0123456789abcdef")],
    "to no question": [REPLY.replace(b"x-question: %s\r\n", b"")],
    "a refusal to another question": [REPLY.replace(b"200 OK", b"404 No").replace(b"%s", b"0123456789")],
    "a refusal": [REPLY.replace(b"200 OK", b"503 No")],
    "silence": [],
    "a reset before the head": [None],
    "a reset in the head": [REPLY[:30], None],
    "a reset at the end of the head": [REPLY[:-5], None],
    "a reset in the body": [REPLY[:-2], None],
    "a reset after it": [REPLY, None],
    "silence in the head": [REPLY[:30]],
    "silence in the body": [REPLY[:-2]],
    "twice": [REPLY + REPLY],
    "an end said, and then more": [REPLY.replace(b"x-life", b"connection: close\r\nx-life") + REPLY],
}


TAKEN = ("as it should", "a reset after it", "twice", "an end said, and then more")


class Node:
    """Answers its first question as told, and all others as it should: which it names in the body. A silent
    one answers late, if it is asked to and its caller has left the line open."""

    def __init__(self, how: str) -> None:
        self.pieces = CHANGED[how]
        self.late: list[tuple[asyncio.StreamWriter, bytes]] = []
        self.ended = self.asked = self.lines = 0
        self.server = RawServer(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.lines += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                question = head.split(b"x-question: ")[1].split(b"\r\n")[0]
                self.asked += 1
                if self.asked > 1:
                    writer.write(REPLY.replace(b"first", b"later") % question)
                    continue
                self.late.append((writer, REPLY % question))
                for piece in self.pieces:
                    if piece is None:
                        writer.transport.abort()
                        return
                    writer.write(piece.replace(b"%s", question))
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1


async def call_node(peer: PeerClient, wait_s: float) -> bytes | str:
    try:
        return await peer.call(b"/pull", b"", wait_s)
    except RequestError as error:
        return str(error)


@pytest.mark.parametrize("how", CHANGED)
def test_a_node_takes_the_reply_to_its_own_request_alone(how: str) -> None:
    async def main() -> None:
        node = Node(how)
        host, port = await node.server.open()
        peer = PeerClient(host, port)
        first = await call_node(peer, 0.1 if "silence" in how else 5.0)
        assert (first == b"first") == (how in TAKEN)
        assert isinstance(first, bytes) == (how in TAKEN)
        assert len(peer.idle_connections) <= 1
        if how not in ("as it should", "a refusal", "a reset after it"):
            assert not peer.idle_connections  # whatever else it was, its line is ended
            await wait_until(
                lambda: node.ended + (None in node.pieces) > 0, "the line is ended at both sides"
            )
            for writer, reply in node.late:
                writer.write(reply)  # it comes too late for anybody
        # A kept line may be found to be reset by now; then a call has no answer, and the one after it has.
        found = [await call_node(peer, 5.0) for _ in range(2)]
        assert found[1] == b"later"
        assert found[0] == b"later" or how == "a reset after it"
        peer.close()
        node.server.close()

    asyncio.run(main())


def test_a_cancelled_call_leaves_no_connection_behind() -> None:
    async def main() -> None:
        node = Node("silence")
        peer = PeerClient(*await node.server.open())
        call = asyncio.create_task(peer.call(b"/pull", b"", 5.0))
        await wait_until(lambda: node.asked == 1, "it is asked")
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await wait_until(lambda: node.ended == 1, "the line is ended")
        assert not peer.idle_connections
        assert await peer.call(b"/pull", b"", 5.0) == b"later"
        peer.close()
        node.server.close()

    asyncio.run(main())


def test_no_connection_to_a_process_that_was_at_the_address_before_is_kept() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def app(scope: Any, receive: Any, send: Any) -> None:
            body = await read_body(receive, 100)
            if body == b"held":
                await gate.wait()
            await send_response(send, 200, body if isinstance(body, bytes) else b"")

        before, after = HttpServer(app, incarnation="before"), HttpServer(app, incarnation="after")
        port = await before.listen("127.0.0.1", 0)
        peer = PeerClient("127.0.0.1", port)
        assert await peer.call(b"/pull", b"x", 5.0) == b"x"
        assert peer.incarnation == b"before"
        held = asyncio.create_task(peer.call(b"/pull", b"held", 5.0))  # on the line that was kept
        await wait_until(lambda: before.pending_count() == 1, "it is at work")
        assert before.server is not None
        before.server.close()
        await after.listen("127.0.0.1", port)
        assert await peer.call(b"/pull", b"y", 5.0) == b"y"
        assert peer.incarnation == b"after"
        gate.set()
        assert await held == b"held"  # it is that call's, whoever says it
        assert peer.incarnation == b"after"
        assert len(peer.idle_connections) == 1
        assert await peer.call(b"/pull", b"z", 5.0) == b"z"
        assert peer.incarnation == b"after"
        peer.close()
        after.shutdown()

    asyncio.run(main())
