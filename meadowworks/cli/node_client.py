"""The client with which the command line calls a node."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from meadowworks.cli.errors import CommandError
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import Response, connect

CALL_TIMEOUT_S = 5.0
MAX_REPLY_BYTES = 64 << 20  # the size of the largest configuration
HTTP_OK = 200
Status = dict[str, Any]  # a node's status document


def call_node(address: str, method: bytes, path: bytes, body: bytes = b"") -> Response:
    """Send one request to a node.

    :param address: `host:port`.
    :raises CommandError: the address is invalid, or there is no reply.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit():
        raise CommandError(f"{address!r} is no address with a port")
    headers = [(b"host", address.encode()), (b"content-length", str(len(body)).encode())]

    async def exchange() -> Response:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            connection = await connect(host, int(port), CALL_TIMEOUT_S)
            try:
                return await connection.request(method, path, headers, body, MAX_REPLY_BYTES)
            finally:
                connection.close()

    try:
        return asyncio.run(exchange())
    except (RequestError, TimeoutError) as error:
        raise CommandError(f"{address} does not answer: {error or 'time-out'}") from None


def read_status(address: str) -> Status | None:
    """Return a node's status; None if the reply is not 200.

    :raises CommandError: the address is invalid, or there is no reply.
    """
    reply = call_node(address, b"GET", b"/status")
    return json.loads(reply.body) if reply.status == HTTP_OK else None


def find_status(address: str) -> Status | None:
    """Return a node's status; None if it cannot be read for any reason."""
    try:
        status = read_status(address)
    except (CommandError, ValueError):
        return None
    return status if isinstance(status, dict) else None
