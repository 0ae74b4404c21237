"""Single HTTP calls to nodes, each on a connection of its own."""

from __future__ import annotations

import asyncio
from contextlib import closing

from meadowworks.local.soak.wire_calls import WireRequest
from meadowworks.runtime.address import Address
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import Response, connect

MAX_BODY_BYTES = 16 << 20  # of a response


async def call_once(address: Address, request: WireRequest, timeout_s: float) -> Response | None:
    """Return the response of a node; None if there is none in time."""
    headers = [(b"host", b"ctl"), (b"content-length", str(len(request.body)).encode())]
    try:
        async with asyncio.timeout(timeout_s):
            with closing(await connect(*address, timeout_s)) as connection:
                return await connection.request(
                    request.method, request.target, headers, request.body, MAX_BODY_BYTES
                )
    except (RequestError, TimeoutError):
        return None
