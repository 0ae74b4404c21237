"""The messages on the sockets and between the actors, as frozen dataclasses.

Each line or reply is decoded once and encoded once. Malformed input raises ValueError, and the caller decides
what follows.
"""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.names import ENDPOINT_STATE_BY_STATUS

NS_PER_MS = 1_000_000
MAX_LINE_BYTES = 1 << 20  # the protocol's limit for a message
MAX_MESSAGE_PARTS = 64  # the protocol's limit for the parts of a message


# -- from the peers


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A peer's request for a sign that the controller is alive."""


@dataclass(frozen=True, slots=True)
class CollectorHello:
    """The first message of a collector, which sends the reports of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class ProxyHello:
    """The first message of a proxy; `usual_rate` is in calls per second."""

    proxy: int
    zone: str
    usual_rate: float
    is_new: bool


@dataclass(frozen=True, slots=True)
class UpdateApplied:
    """A proxy's acknowledgement of a message."""

    proxy: int
    nonce: int


@dataclass(frozen=True, slots=True)
class BackendReport:
    """The results of a zone's proxies at one backend."""

    zone: str
    backend: str
    attempts: int
    failures: int
    latency_ns: int
    period_ns: int
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The calls of one route that a proxy received."""

    proxy: int
    route: str
    calls: int
    dropped: int
    period_ns: int


# -- from discovery


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend in discovery's list; `since_ns` is its start time, 0 if that is long ago."""

    name: str
    zone: str
    state: str
    since_ns: int
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Changes of the endpoint list up to an index, or the whole list."""

    index: int
    is_snapshot: bool
    entries: tuple[Endpoint, ...]
    malformed_count: int = 0  # malformed entries, which are left out


# -- to the proxies


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """One line of a message to a proxy; empty `routes` stand for all routes.

    :ivar replaces: whether the proxy first drops its tables and admissions of these routes.
    :ivar admission: limit and retry policy.
    :ivar nonce: on the last line of a message; the proxy acknowledges it once it has applied the message.
    """

    routes: tuple[str, ...]
    replaces: bool
    weights: tuple[tuple[str, float], ...]
    admission: tuple[float, int] | None
    nonce: int | None = None

    def channel_lines(self) -> int:
        """Return the lines that the control channel counts, without the overhead per message."""
        return self.replaces + len(self.weights) + (self.admission is not None) + (self.nonce is not None)


@dataclass(frozen=True, slots=True)
class UpdateMessage:
    """A batch's message to a proxy, encoded once for all proxies that receive it."""

    data: bytes
    part_count: int


# -- between the actors


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The connection has ended, or has to be closed."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """A proxy has identified itself on a new stream."""

    hello: ProxyHello
    stream: Mailbox[ConnectionItem]


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """A proxy's stream has ended."""

    proxy: int
    stream: Mailbox[ConnectionItem]


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Enables or disables the watch of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """Discovery has a new address."""

    address: str


@dataclass(frozen=True, slots=True)
class DiscoveryFailed:
    """A call to discovery failed; the watch has ended."""

    reason: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The policy's only timer is due."""


Report = BackendReport | DemandReport | UpdateApplied  # a full mailbox drops the oldest
PeerMessage = Heartbeat | CollectorHello | ProxyHello | Report
ConnectionItem = PeerMessage | UpdateMessage | ConnectionEnd  # in the mailbox of a peer's actor
DiscoveryCommand = WatchEndpoints | DiscoveryMoved  # in the mailbox of the discovery actor
ControllerEvent = ProxyJoined | ProxyLeft | Report | EndpointList | DiscoveryFailed | TimerDue

# -- the protocol's lines

HEARTBEAT_REPLY = b"hb_ok\r\n"
MESSAGE_KINDS = frozenset((b"hb", b"telemetry", b"attach", b"done", b"upstream_stats", b"client_stats"))
# The protocol's numbers have plain ASCII digits. int() and float() also accept underscores, signs, digits of
# other scripts, nan, and numbers of any length.
INTEGER = re.compile(r"[0-9]{1,15}")
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?([eE][+-]?[0-9]{1,2})?")
MIN_WEIGHT = 1e-9  # the smallest weight on the wire: 0 would remove the endpoint


class UnknownMessageError(ValueError):
    """A line is not a message of the protocol, in contrast to a message with a malformed field."""


def encode_rejection(reason: str) -> bytes:
    """Return the last message to a connection that is rejected."""
    return f"reject reason={reason.replace(' ', '_')}\r\n".encode()


def parse_decimal(text: str) -> float:
    """Parse a non-negative decimal number.

    :raises ValueError: for any other text.
    """
    value = float(text) if DECIMAL.fullmatch(text) else -1.0
    if not isfinite(value) or value < 0:
        raise ValueError(f"not a non-negative number: {text[:40]!r}")
    return value


def parse_ms(text: str) -> int:
    """Parse a duration in milliseconds; return it in nanoseconds.

    :raises ValueError: for any other text.
    """
    return round(parse_decimal(text) * NS_PER_MS)


def parse_integer(text: str) -> int:
    """Parse a non-negative integer.

    :raises ValueError: for any other text.
    """
    if not INTEGER.fullmatch(text):
        raise ValueError(f"not a non-negative integer: {text[:40]!r}")
    return int(text)


def parse_flag(text: str) -> bool:
    """Parse a boolean, `0` or `1`.

    :raises ValueError: for any other text.
    """
    if text not in ("0", "1"):
        raise ValueError(f"neither 0 nor 1: {text[:40]!r}")
    return text == "1"


def parse_period(text: str) -> int:
    """Parse the period of a report in milliseconds; return it in nanoseconds.

    :raises ValueError: for any other text, and for a period of 0.
    """
    if not (period_ns := parse_ms(text)):
        raise ValueError("a report with a period of 0")
    return period_ns


def parse_fields(tokens: Sequence[str], separator: str) -> dict[str, str]:
    """Parse tokens of the form `name<separator>value`.

    :raises ValueError: for a token without separator, and for a duplicate name, which is ambiguous.
    """
    fields = dict(token.partition(separator)[::2] for token in tokens)
    if len(fields) < len(tokens) or not all(separator in token for token in tokens):
        raise ValueError(f"a field without {separator!r}, or a duplicate field name")
    return fields


def is_unknown_message(start: bytes) -> bool:
    """Return whether no message of the protocol starts like this."""
    return start.partition(b" ")[0].rstrip(b"\r\n") not in MESSAGE_KINDS


def decode_line(line: bytes) -> PeerMessage:
    """Decode one line.

    :raises UnknownMessageError: for a line that is not a message.
    :raises ValueError: for a message with a malformed field.
    """
    if is_unknown_message(line):
        raise UnknownMessageError(f"unknown message {line[:40]!r}")
    kind, *tokens = line.decode("utf-8").rstrip("\r").split(" ")
    fields = parse_fields(tokens, "=")
    try:
        match kind:
            case "hb":
                return Heartbeat()
            case "telemetry":
                return CollectorHello(fields["site"])
            case "attach":
                usual_rate, is_new = fields.get("rps", "0"), fields.get("new", "0")
                proxy, zone = parse_integer(fields["id"]), fields["site"]
                return ProxyHello(proxy, zone, parse_decimal(usual_rate), parse_flag(is_new))
            case "done":
                parse_decimal(fields["ms"])  # unused, but a malformed value makes the line malformed
                return UpdateApplied(parse_integer(fields["id"]), parse_integer(fields["seq"]))
            case "upstream_stats":
                return _backend_report(fields)
            case _:
                return _demand_report(fields)
    except KeyError as missing:
        raise ValueError(f"{kind}: field {missing} is missing") from missing


def _backend_report(fields: dict[str, str]) -> BackendReport:
    attempts, failures = parse_integer(fields["count"]), parse_integer(fields["fail"])
    if failures > attempts:
        raise ValueError(f"{failures} of {attempts} attempts failed")
    # The mean is optional if no attempt succeeded.
    latency_ns = parse_ms(fields.get("mean", "0") if failures == attempts else fields["mean"])
    load = parse_fields(fields["util"].split(","), ":") if fields.get("util") else {}
    zone, backend, period_ns = fields["site"], fields["target"], parse_period(fields["over"])
    loads = {name: parse_decimal(value) for name, value in load.items()}
    return BackendReport(zone, backend, attempts, failures, latency_ns, period_ns, loads)


def _demand_report(fields: dict[str, str]) -> DemandReport:
    return DemandReport(
        parse_integer(fields["id"]),
        fields["lane"],
        parse_integer(fields["count"]),
        parse_integer(fields["fail"]),
        parse_period(fields["over"]),
    )


def format_decimal(value: float) -> str:
    """Return a number as text without an exponent; a positive number never becomes 0.

    :raises ValueError: for a number that is negative or not finite.
    """
    if not isfinite(value) or value < 0:
        raise ValueError(f"cannot encode {value!r}: negative or not finite")
    return (f"{max(value, MIN_WEIGHT):.9f}".rstrip("0").rstrip(".")) if value else "0"


def encode_updates(updates: Sequence[TableUpdate]) -> bytes:
    """Encode a message: one line per part; all but the last have `continued=1`.

    :raises ValueError: for a weight or a limit that is negative or not finite.
    """
    lines = []
    for number, update in enumerate(updates, 1):
        tokens = ["assign"]
        if update.routes:
            tokens.append("routes=" + "+".join(update.routes))
        if update.replaces:
            tokens.append("full=1")
        if update.weights:
            weights = ",".join(f"{name}:{format_decimal(weight)}" for name, weight in update.weights)
            tokens.append("endpoints=" + weights)
        if update.admission:
            limit, retry_policy = update.admission
            tokens.append(f"admit={format_decimal(limit)} policy={retry_policy}")
        if update.nonce is not None:
            tokens.append(f"nonce_out={update.nonce}")
        if number < len(updates):
            tokens.append("continued=1")
        lines.append(" ".join(tokens) + "\r\n")
    return "".join(lines).encode()


# -- discovery's replies


def parse_endpoint(entry: Any) -> Endpoint:
    """Parse one entry of an endpoint list.

    :raises ValueError: or KeyError, TypeError or AttributeError, for a malformed entry.
    """
    if not isinstance(entry["name"], str) or not entry["name"]:
        raise ValueError("an endpoint without a name")
    since_ns = round(parse_decimal(str(entry.get("since_ms", 0)))) * NS_PER_MS
    state, weight = ENDPOINT_STATE_BY_STATUS[entry["status"]], parse_decimal(str(entry.get("weight", 1.0)))
    return Endpoint(entry["name"], str(entry["zone"]), state, since_ns, weight)


def parse_endpoint_list(answer: Any) -> EndpointList:
    """Parse discovery's reply, already decoded from JSON.

    A malformed entry is left out and counted. A whole list with malformed entries counts as changes, so that
    no endpoint is taken to be removed.

    :raises ValueError: if it is not an endpoint list.
    """
    entries, malformed = [], 0
    try:
        for entry in answer["endpoints"]:
            try:
                entries.append(parse_endpoint(entry))
            except (KeyError, TypeError, ValueError, AttributeError):
                malformed += 1
        is_snapshot = bool(answer["snapshot"]) and not malformed
        return EndpointList(int(answer["index"]), is_snapshot, tuple(entries), malformed)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not an endpoint list: {type(error).__name__} {error}") from error


def decode_endpoint_list(body: bytes) -> EndpointList:
    """Decode the body of discovery's reply.

    :raises ValueError: if it is not JSON or not an endpoint list.
    """
    return parse_endpoint_list(json.loads(body))
