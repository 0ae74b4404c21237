"""Parsing of `ip:port` addresses."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `ip:port`.

        :raises ValueError: if the text is not a host and a port from 1 to 65535.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"{text!r} is no address with a port")
        return cls(host, int(port))
