"""What is said on the sockets and between the actors, as small frozen values.

Each line or answer is decoded once and encoded once. Whatever cannot be read raises ValueError; who reads it
decides what that ends.
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
MAX_MESSAGE_PARTS = 64  # and for its parts


# -- from the peers


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks whether the controller is there."""


@dataclass(frozen=True, slots=True)
class CollectorHello:
    """The first message of the collector of a zone's reports."""

    zone: str


@dataclass(frozen=True, slots=True)
class ProxyHello:
    """The first message of a proxy; `usual_rate` in calls a second."""

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
    """What the proxies of a zone met at a backend."""

    zone: str
    backend: str
    attempts: int
    failures: int
    latency_ns: int
    period_ns: int
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Calls of a route that came to a proxy."""

    proxy: int
    route: str
    calls: int
    dropped: int
    period_ns: int


# -- from discovery


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend as discovery names it; `since_ns` is when it was started, 0 if that is long ago."""

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
    malformed_count: int = 0  # entries that could not be read


# -- to the proxies


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """One line of a message to a proxy; without routes it is meant for all of them.

    :ivar replaces: the proxy drops what it held for these routes.
    :ivar admission: limit and retry policy.
    :ivar nonce: of a message, in its last line: the proxy acknowledges it once it has applied all.
    """

    routes: tuple[str, ...]
    replaces: bool
    weights: tuple[tuple[str, float], ...]
    admission: tuple[float, int] | None
    nonce: int | None = None

    def channel_lines(self) -> int:
        """What the control channel counts, the message's overhead aside."""
        return self.replaces + len(self.weights) + (self.admission is not None) + (self.nonce is not None)


@dataclass(frozen=True, slots=True)
class UpdateMessage:
    """What a batch sends a proxy, encoded once for all that get the same."""

    data: bytes
    part_count: int


# -- between the actors


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The connection has ended, or is to be ended."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """A proxy has said who it is on a new stream."""

    hello: ProxyHello
    stream: Mailbox[ConnectionItem]


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """A proxy's stream has ended."""

    proxy: int
    stream: Mailbox[ConnectionItem]


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Whether the endpoint list is to be followed."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """Discovery is at another address now."""

    address: str


@dataclass(frozen=True, slots=True)
class DiscoveryFailed:
    """A call at discovery failed; the watch has ended."""

    reason: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The policy's one timer has come due."""


Report = BackendReport | DemandReport | UpdateApplied  # the oldest gives way where a mailbox is full
PeerMessage = Heartbeat | CollectorHello | ProxyHello | Report
ConnectionItem = PeerMessage | UpdateMessage | ConnectionEnd  # to the actor of a connection
DiscoveryCommand = WatchEndpoints | DiscoveryMoved  # to discovery's actor
ControllerEvent = ProxyJoined | ProxyLeft | Report | EndpointList | DiscoveryFailed | TimerDue

# -- the protocol's lines

HEARTBEAT_REPLY = b"hb_ok\r\n"
MESSAGE_KINDS = frozenset((b"hb", b"telemetry", b"attach", b"done", b"upstream_stats", b"client_stats"))
# What the protocol writes: plain digits. int() and float() would take underscores, signs, other scripts'
# digits, nan, and numbers of any length.
INTEGER = re.compile(r"[0-9]{1,15}")
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?([eE][+-]?[0-9]{1,2})?")
LEAST_WEIGHT = 1e-9  # that is written: 0 would take a line out


class UnknownMessageError(ValueError):
    """A line that is no message of the protocol at all, as against a message with a malformed field."""


def encode_rejection(reason: str) -> bytes:
    """The last message to a connection that cannot become a peer's."""
    return f"reject reason={reason.replace(' ', '_')}\r\n".encode()


def parse_decimal(text: str) -> float:
    """A number that is not negative.

    :raises ValueError: for any other text.
    """
    value = float(text) if DECIMAL.fullmatch(text) else -1.0
    if not isfinite(value) or value < 0:
        raise ValueError(f"no figure: {text[:40]!r}")
    return value


def parse_ms(text: str) -> int:
    """Milliseconds as nanoseconds.

    :raises ValueError: for what is no such number.
    """
    return round(parse_decimal(text) * NS_PER_MS)


def parse_integer(text: str) -> int:
    """A whole number that is not negative.

    :raises ValueError: for any other text.
    """
    if not INTEGER.fullmatch(text):
        raise ValueError(f"no whole number: {text[:40]!r}")
    return int(text)


def parse_flag(text: str) -> bool:
    """`0` or `1`.

    :raises ValueError: for any other text.
    """
    if text not in ("0", "1"):
        raise ValueError(f"neither yes nor no: {text[:40]!r}")
    return text == "1"


def parse_period(text: str) -> int:
    """The time that a report covers, in nanoseconds.

    :raises ValueError: for what is no such time, and for none at all.
    """
    if not (period_ns := parse_ms(text)):
        raise ValueError("a report that covers no time")
    return period_ns


def parse_fields(words: Sequence[str], separator: str) -> dict[str, str]:
    """Names and values.

    :raises ValueError: for a word without separator, and for a name that comes twice, since nothing tells
        which of the two is meant.
    """
    fields = dict(word.partition(separator)[::2] for word in words)
    if len(fields) < len(words) or not all(separator in word for word in words):
        raise ValueError(f"no {separator!r} between a name and its value, or a name twice")
    return fields


def is_unknown_message(start: bytes) -> bool:
    """Whether no message begins so, however it goes on."""
    return start.partition(b" ")[0].rstrip(b"\r\n") not in MESSAGE_KINDS


def decode_line(line: bytes) -> PeerMessage:
    """Reads one line.

    :raises UnknownMessageError: for what is no message.
    :raises ValueError: for a message with a malformed field.
    """
    if is_unknown_message(line):
        raise UnknownMessageError(f"unknown kind {line[:40]!r}")
    kind, *words = line.decode("utf-8").rstrip("\r").split(" ")
    fields = parse_fields(words, "=")
    try:
        match kind:
            case "hb":
                return Heartbeat()
            case "telemetry":
                return CollectorHello(fields["site"])
            case "attach":
                usual, new = fields.get("rps", "0"), fields.get("new", "0")
                proxy, zone = parse_integer(fields["id"]), fields["site"]
                return ProxyHello(proxy, zone, parse_decimal(usual), parse_flag(new))
            case "done":
                parse_decimal(fields["ms"])  # not needed, but it tells whether the line is malformed
                return UpdateApplied(parse_integer(fields["id"]), parse_integer(fields["seq"]))
            case "upstream_stats":
                return _backend_report(fields)
            case _:
                return _demand_report(fields)
    except KeyError as missing:
        raise ValueError(f"{kind} without {missing}") from missing


def _backend_report(fields: dict[str, str]) -> BackendReport:
    attempts, failures = parse_integer(fields["count"]), parse_integer(fields["fail"])
    if failures > attempts:
        raise ValueError(f"{failures} of {attempts} tries failed")
    # Without a success there may be no mean.
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
    """A number without an exponent; a weight too small to show is not 0, which would take a line out.

    :raises ValueError: for what is negative or not finite.
    """
    if not isfinite(value) or value < 0:
        raise ValueError(f"a figure that cannot be ordered: {value!r}")
    return (f"{max(value, LEAST_WEIGHT):.9f}".rstrip("0").rstrip(".")) if value else "0"


def encode_updates(updates: Sequence[TableUpdate]) -> bytes:
    """One message: a line for each part, and all but the last announce another.

    :raises ValueError: for a weight or a limit that is negative or not finite.
    """
    lines = []
    for place, update in enumerate(updates, 1):
        words = ["assign"]
        if update.routes:
            words.append("routes=" + "+".join(update.routes))
        if update.replaces:
            words.append("full=1")
        if update.weights:
            weights = ",".join(f"{name}:{format_decimal(weight)}" for name, weight in update.weights)
            words.append("endpoints=" + weights)
        if update.admission:
            limit, retry_policy = update.admission
            words.append(f"admit={format_decimal(limit)} policy={retry_policy}")
        if update.nonce is not None:
            words.append(f"nonce_out={update.nonce}")
        if place < len(updates):
            words.append("continued=1")
        lines.append(" ".join(words) + "\r\n")
    return "".join(lines).encode()


# -- discovery's answers


def parse_endpoint(entry: Any) -> Endpoint:
    """One entry of an endpoint list.

    :raises ValueError: or KeyError or TypeError, for one that makes no sense.
    """
    if not isinstance(entry["name"], str) or not entry["name"]:
        raise ValueError("an entry without a name")
    since_ns = round(parse_decimal(str(entry.get("since_ms", 0)))) * NS_PER_MS
    state, weight = ENDPOINT_STATE_BY_STATUS[entry["status"]], parse_decimal(str(entry.get("weight", 1.0)))
    return Endpoint(entry["name"], str(entry["zone"]), state, since_ns, weight)


def parse_endpoint_list(answer: Any) -> EndpointList:
    """Discovery's answer, already read as JSON.

    A malformed entry is left out and counted; a whole list then tells nothing of who is absent.

    :raises ValueError: if it is no list at all.
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
        raise ValueError(f"a list without sense: {type(error).__name__} {error}") from error


def decode_endpoint_list(body: bytes) -> EndpointList:
    """Discovery's answer as it came.

    :raises ValueError: if it is no JSON or no list.
    """
    return parse_endpoint_list(json.loads(body))
