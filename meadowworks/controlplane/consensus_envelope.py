"""The wire format of consensus messages between nodes: an envelope around a compressed body.

A request is encoded as `[request id, body]`, a reply as `[request id, member id, body]`.
"""

from __future__ import annotations

import asyncio
import zlib
from typing import Any, NamedTuple

from meadowworks.consensus import codec
from meadowworks.consensus.messages import Reply, Request
from meadowworks.gossip import messages

INLINE_COMPRESSION_MAX_BYTES = 4096  # larger bodies are compressed in a thread; smaller ones are not worth it
COMPRESSION_LEVEL = 6
LARGE_BODY_BYTES = 64 * 1024
LARGE_BODY_COMPRESSION_LEVEL = 1  # large bodies, such as pieces of a log, would take much longer otherwise


class RequestEnvelope(NamedTuple):
    """A request, and the id by which its sender matches the reply."""

    request_id: int
    request: Request


class ReplyEnvelope(NamedTuple):
    """A reply, the id of its request, and the member that sent it."""

    request_id: int
    member_id: str
    reply: Reply


async def compress_message(message: Request | Reply) -> bytes:
    """Encode and compress a message; a large one is compressed in a thread."""
    body = messages.encode(codec.encode(message))
    if len(body) <= INLINE_COMPRESSION_MAX_BYTES:
        return zlib.compress(body, COMPRESSION_LEVEL)
    level = COMPRESSION_LEVEL if len(body) <= LARGE_BODY_BYTES else LARGE_BODY_COMPRESSION_LEVEL
    return await asyncio.get_running_loop().run_in_executor(None, zlib.compress, body, level)


def encode_request(request_id: int, compressed: bytes) -> bytes:
    """Encode a request whose body was compressed by `compress_message`."""
    return messages.encode([request_id, compressed])


def encode_reply(request_id: int, member_id: str, compressed: bytes) -> bytes:
    """Encode a reply whose body was compressed by `compress_message`."""
    return messages.encode([request_id, member_id, compressed])


def decode_request(body: bytes) -> RequestEnvelope:
    """Decode a request.

    :raises MalformedMessageError: the body can't be decoded; or another of `gossip.messages.DECODE_ERRORS`.
    """
    request_id, compressed = messages.decode(body)
    return RequestEnvelope(int(request_id), _decompress_message(compressed))


def decode_reply(body: bytes) -> ReplyEnvelope:
    """Decode a reply.

    :raises MalformedMessageError: the body can't be decoded; or another of `gossip.messages.DECODE_ERRORS`.
    """
    request_id, member_id, compressed = messages.decode(body)
    return ReplyEnvelope(int(request_id), str(member_id), _decompress_message(compressed))


def _decompress_message(compressed: bytes) -> Any:
    try:
        return codec.decode(messages.decode(zlib.decompress(compressed)))
    except zlib.error as error:
        raise messages.MalformedMessageError(f"not a consensus message: {error}") from None
