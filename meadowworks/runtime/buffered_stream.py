"""An httpcore network stream on an asyncio transport, with a receive buffer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from meadowworks.runtime.lightweight_httpcore import httpcore

# Of one write to the transport, which copies what the kernel does not accept at once.
WRITE_BYTES = 64 * 1024


class BufferedStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One TCP connection. Timeouts passed by httpcore are ignored: callers limit the time of each call.

    Bytes that the peer has not read yet are kept as views of what was written, so that several connections
    may send one large body without a copy each.
    """

    def __init__(self) -> None:
        self._transport: Any = None
        self._buffer = bytearray()
        self._unsent: deque[memoryview] = deque()  # not passed to the transport yet
        self._is_paused = False  # the transport accepts no more bytes at present
        self._at_eof = False
        self._error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None

    @property
    def buffer(self) -> bytearray:
        """Bytes that were received but not read yet."""
        return self._buffer

    @property
    def at_eof(self) -> bool:
        """Whether the peer has closed its sending side, or the connection is lost."""
        return self._at_eof

    @property
    def read_waiter(self) -> asyncio.Future[None] | None:
        """The future of a pending read, or None."""
        return self._read_waiter

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Append bytes to the receive buffer."""
        self._buffer += data
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record the end of the input.

        :returns: False, so that asyncio closes the transport.
        """
        self._at_eof = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection, and its error unless one is recorded already."""
        self._at_eof = True
        self._error = self._error or exc
        self._unsent.clear()
        self._wake_reader()

    def pause_writing(self) -> None:
        """Keep further bytes, because the transport holds enough that the kernel has not accepted."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Pass the kept bytes to the transport."""
        self._is_paused = False
        self._send()

    # -- httpcore.AsyncNetworkStream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ARG002
        """Wait until bytes are available, and return them.

        :returns: at most `max_bytes`; empty once the peer has closed the connection cleanly.
        :raises httpcore.ReadError: if the connection was reset or aborted, so that data may be missing.
        """
        while not self._buffer and not self._at_eof:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if not self._buffer and self._error is not None:
            # Prevents a truncated response without a length from being taken as complete after a reset.
            raise httpcore.ReadError(str(self._error))
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ARG002
        """Send bytes as the peer reads them, without waiting for that; the peer may respond before.

        :raises httpcore.WriteError: if the connection is closed.
        """
        if self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        if len(buffer) <= WRITE_BYTES and not self._unsent:
            self._transport.write(buffer)
        elif buffer:
            self._unsent.append(memoryview(buffer))
            self._send()

    async def aclose(self) -> None:
        """Close the connection immediately, and drop unsent data."""
        self.close()

    def close(self) -> None:
        """Close the connection immediately, and drop unsent data."""
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def abort(self, error: Exception) -> None:
        """Close the connection immediately; pending and later reads fail with this error."""
        self._error = error
        self.close()

    def has_unsent_data(self) -> bool:
        """Whether there are still bytes that the kernel has not accepted."""
        return bool(self._unsent or self._transport.get_write_buffer_size())

    def get_extra_info(self, info: str) -> Any:
        """Return transport information, or for `is_readable` whether an idle connection has expired."""
        if info == "is_readable":  # an idle connection is readable after its end or after unsolicited bytes
            return self._at_eof or bool(self._buffer) or self._transport.is_closing()
        return self._transport.get_extra_info(info)

    # -- internal

    def _send(self) -> None:
        while self._unsent and not self._is_paused and not self._transport.is_closing():
            part = self._unsent.popleft()
            if len(part) > WRITE_BYTES:
                self._unsent.appendleft(part[WRITE_BYTES:])
                part = part[:WRITE_BYTES]
            self._transport.write(part)

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
