"""A lingering close for server connections, so that clients receive all responses (RFC 9112, section 9.6).

Closing a TCP connection with unread input sends a reset, and a reset discards the responses that the client
has not read yet.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

# The time between the last response and the end of the connection: several round trips.
LINGER_S = 1.0


class InputReader(Protocol):
    """The protocol that reads from the transport."""

    def may_have_unread_input(self) -> bool:
        """Whether the client may have sent data that was not read."""

    def discard_input(self) -> None:
        """Read and drop all further input."""


class LingeringTransport:
    """An asyncio transport whose `close` continues to read for `LINGER_S` if there may be unread input."""

    def __init__(self, transport: asyncio.Transport, reader: InputReader) -> None:
        self._transport = transport
        self._reader = reader
        self._closing = False
        self.write = transport.write  # bound here to avoid __getattr__ on each write
        self.abort = transport.abort

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Whether `close` has been called, or the connection is lost."""
        return self._closing or self._transport.is_closing()

    def close(self) -> None:
        """Close after sending the written data; with unread input, only after `LINGER_S`."""
        if self._closing or self._transport.is_closing() or not self._reader.may_have_unread_input():
            self._transport.close()
            return
        self._closing = True
        self._transport.write_eof()
        self._reader.discard_input()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)
