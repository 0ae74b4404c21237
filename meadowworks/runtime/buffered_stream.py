"""httpcore's network stream over an asyncio transport; received bytes are buffered until they are read."""

from __future__ import annotations

import asyncio
from typing import Any

from meadowworks.runtime.lightweight_httpcore import httpcore


class BufferedStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One TCP connection. The time-outs of httpcore are not used: callers bound each call by themselves."""

    def __init__(self) -> None:
        self._transport: Any = None
        self._buffer = bytearray()
        self._at_eof = False
        self._error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None

    @property
    def buffer(self) -> bytearray:
        """Bytes that have come and are not read yet."""
        return self._buffer

    @property
    def at_eof(self) -> bool:
        """Whether the peer has closed its side, or the connection is lost."""
        return self._at_eof

    @property
    def read_waiter(self) -> asyncio.Future[None] | None:
        """What a reader waits for, if one waits for bytes."""
        return self._read_waiter

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport that the loop has connected."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer bytes for the next read."""
        self._buffer += data
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note that the peer sends no more.

        :returns: False, so that asyncio closes the transport.
        """
        self._at_eof = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection, and whether it was an orderly one."""
        self._at_eof = True
        self._error = self._error or exc
        self._wake_reader()

    # -- httpcore.AsyncNetworkStream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ARG002
        """Wait for bytes.

        :returns: at most `max_bytes`; none once the peer has ended the connection in order.
        :raises httpcore.ReadError: if the connection was reset, or given up: more bytes may have been due.
        """
        while not self._buffer and not self._at_eof:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if not self._buffer and self._error is not None:
            # Guards against a response without a length that looks complete where it was cut off.
            raise httpcore.ReadError(str(self._error))
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ARG002
        """Hand bytes to the transport, without waiting until they have left.

        :raises httpcore.WriteError: if the connection is closed.
        """
        if self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        self._transport.write(buffer)

    async def aclose(self) -> None:
        """Close at once, without waiting."""
        self.close()

    def close(self) -> None:
        """Close at once; what is not sent yet is dropped."""
        if self._transport is not None:
            self._transport.abort()

    def abort(self, error: Exception) -> None:
        """Close at once, and let the reader know why."""
        self._error = error
        self.close()

    def has_unsent_data(self) -> bool:
        """Whether bytes have not been handed to the system yet, because the peer does not read."""
        return bool(self._transport.get_write_buffer_size())

    def get_extra_info(self, info: str) -> Any:
        """Return whether an idle connection has ended, which httpcore asks, or a fact of the transport."""
        if info == "is_readable":  # while idle: an end, or bytes that belong to no request
            return self._at_eof or bool(self._buffer) or self._transport.is_closing()
        return self._transport.get_extra_info(info)

    # -- inside

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
