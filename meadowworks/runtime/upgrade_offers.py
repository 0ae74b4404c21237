"""Parsing of requests that offer an upgrade to another protocol, which this server ignores.

Source: RFC 9110, section 7.8: a server may ignore an offer and handle the request as it was sent.

The parser of `httptools` ends a request with an offer after its headers, even if a body follows. The rest of
the input is therefore given to another parser, which gets the headers that frame the body but not the offer.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import httptools

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
CONNECTION_HEADER = b"connection"
UPGRADE_OPTION = b"upgrade"

Headers = Iterable[tuple[bytes, bytes]]


class ParserEvents(Protocol):
    """The callbacks of a parser."""

    def on_message_begin(self) -> None:
        """Handle the start of a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header."""

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class ResumedEvents:
    """Passes the events of a parser on, except those of the first request's headers, which are known."""

    def __init__(self, events: ParserEvents) -> None:
        self._events = events
        self._is_known = True

    def on_message_begin(self) -> None:
        """Pass on the start of a later request."""
        if not self._is_known:
            self._events.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on the target of a later request."""
        if not self._is_known:
            self._events.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header of a later request."""
        if not self._is_known:
            self._events.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of a later request's headers."""
        if self._is_known:
            self._is_known = False
        else:
            self._events.on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body."""
        self._events.on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of a request."""
        self._events.on_message_complete()


def resumed_parser(
    events: ParserEvents, method: bytes, http_version: str, headers: Headers
) -> httptools.HttpRequestParser:
    """Return a parser that continues after the headers of a request, as if it had offered no upgrade.

    :param headers: those of the request, with names in lower case.
    :raises httptools.HttpParserError: the headers frame no body.
    """
    parser = httptools.HttpRequestParser(ResumedEvents(events))
    parser.set_dangerous_leniencies(lenient_data_after_close=True)  # as for the first parser
    lines = [b"%s / HTTP/%s" % (method, http_version.encode())]
    for name, value in headers:
        if name in FRAMING_HEADERS:
            lines.append(b"%s: %s" % (name, value))
        elif name == CONNECTION_HEADER:
            lines.append(b"%s: %s" % (name, _without_upgrade(value)))
    parser.feed_data(b"\r\n".join([*lines, b"", b""]))
    return parser


def _without_upgrade(value: bytes) -> bytes:
    options = [option.strip() for option in value.split(b",")]
    return b", ".join(option for option in options if option.lower() != UPGRADE_OPTION)
