"""A server's transport that does not lose responses when it closes on a client which had sent more.

The end of a TCP connection on which received bytes lie unread is a reset, and a reset takes responses with it
that the client has not read yet.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

# What a client that had sent more has to read its responses, once the last is written: several round trips.
LINGER_S = 1.0


class InputReader(Protocol):
    """The protocol that reads from the transport."""

    def may_have_unread_input(self) -> bool:
        """Whether the client may have sent more than was read."""

    def discard_input(self) -> None:
        """Read and drop whatever comes from now on."""


class LingeringTransport:
    """An asyncio transport whose `close` reads on for a while, if its client may have sent more."""

    def __init__(self, transport: asyncio.Transport, reader: InputReader) -> None:
        self._transport = transport
        self._reader = reader
        self._closing = False
        self.write = transport.write  # bound here: called for each part of each response
        self.abort = transport.abort

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Whether `close` has been called, or the connection is lost."""
        return self._closing or self._transport.is_closing()

    def close(self) -> None:
        """Send what is written, and close: at once, or when the client has had time to read its responses."""
        if self._closing or self._transport.is_closing() or not self._reader.may_have_unread_input():
            self._transport.close()
            return
        self._closing = True
        self._transport.write_eof()
        self._reader.discard_input()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)
