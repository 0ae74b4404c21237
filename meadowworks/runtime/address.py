"""An address and port that a program listens on or calls."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read `ip:port`.

        :raises ValueError: if the text is none.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"{text!r} is no address with a port")
        return cls(host, int(port))
