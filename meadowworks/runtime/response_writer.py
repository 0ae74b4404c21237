"""Sending of complete responses."""

from __future__ import annotations

import asyncio

from meadowworks.runtime.asgi import Send

# The size of a chunk of a large response, which limits the data buffered for a slow client.
RESPONSE_CHUNK_BYTES = 128 << 10
JSON_HEADERS = [(b"content-type", b"application/json")]


async def send_response(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
    chunk_timeout_s: float | None = None,
) -> None:
    """Send a complete response.

    :param headers: the headers in addition to `content-length`; None for a JSON content type.
    :param chunk_timeout_s: if given, a large response is sent in chunks, with this time limit for each chunk.
    :raises TimeoutError: if the client does not read fast enough for a chunk to be sent in time.
    """
    headers = JSON_HEADERS if headers is None else headers
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
    if chunk_timeout_s is None or len(body) <= RESPONSE_CHUNK_BYTES:
        await send({"type": "http.response.body", "body": body})
        return
    for start in range(0, len(body), RESPONSE_CHUNK_BYTES):
        end = start + RESPONSE_CHUNK_BYTES
        async with asyncio.timeout(chunk_timeout_s):
            await send({"type": "http.response.body", "body": body[start:end], "more_body": end < len(body)})
