"""What is said on the sockets and between the actors, as small frozen values: each line or answer is decoded
once, encoded once. Whatever cannot be read raises ValueError; who reads it decides what that ends.
"""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.names import ENDPOINT_STATES

MS_NS = 1_000_000
MAX_LINE_BYTES = 1 << 20  # the protocol's limit for a message
MAX_MESSAGE_PARTS = 64  # and for its parts


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks whether the controller is there."""


@dataclass(frozen=True, slots=True)
class CollectorHello:
    zone: str


@dataclass(frozen=True, slots=True)
class ProxyHello:
    proxy: int
    zone: str
    usual_rate: float
    new: bool


@dataclass(frozen=True, slots=True)
class UpdateApplied:
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


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend as discovery names it."""

    name: str
    zone: str
    state: str
    since_ns: int
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointList:
    index: int
    is_snapshot: bool
    entries: tuple[Endpoint, ...]
    malformed: int = 0  # entries that could not be read


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """One line of a message to a proxy; without routes it is meant for all of them."""

    routes: tuple[str, ...]
    replaces: bool
    weights: tuple[tuple[str, float], ...]
    admission: tuple[float, int] | None  # level and way of trying again
    nonce: int | None = None  # of a message, in its last line: the proxy says once it has applied all

    def channel_lines(self) -> int:
        """What the channel counts, the message's head aside."""
        return self.replaces + len(self.weights) + (self.admission is not None) + (self.nonce is not None)


@dataclass(frozen=True, slots=True)
class UpdateMessage:
    """What a batch orders of one proxy, encoded once for all that are told the same."""

    data: bytes
    part_count: int


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The connection is over, or is to be ended."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    hello: ProxyHello
    stream: Mailbox[ConnectionItem]


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int
    stream: Mailbox[ConnectionItem]


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Whether the list is to be followed."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """Discovery is at another address now."""

    address: str


@dataclass(frozen=True, slots=True)
class DiscoveryFailed:
    reason: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The module's one timer has come due."""


Report = BackendReport | DemandReport | UpdateApplied  # the stalest gives way where a mailbox is full
PeerMessage = Heartbeat | CollectorHello | ProxyHello | Report
ConnectionItem = PeerMessage | UpdateMessage | ConnectionEnd  # to the actor of a connection
DiscoveryCommand = WatchEndpoints | DiscoveryMoved  # to the list's actor
ControllerEvent = (
    ProxyJoined | ProxyLeft | Report | EndpointList | DiscoveryFailed | TimerDue
)  # to the module's actor
HEARTBEAT_REPLY = b"hb_ok\r\n"


def encode_rejection(why: str) -> bytes:
    """The last word to a connection that cannot become a peer."""
    return f"reject reason={why.replace(' ', '_')}\r\n".encode()


# What the protocol writes: plain digits. int() and float() would take underscores, signs, other scripts'
# digits, nan, and figures of any length.
INTEGER, DECIMAL = (
    re.compile(r"[0-9]{1,15}"),
    re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?([eE][+-]?[0-9]{1,2})?"),
)
MESSAGE_KINDS = frozenset((b"hb", b"telemetry", b"attach", b"done", b"upstream_stats", b"client_stats"))


class UnknownMessage(ValueError):
    """No message of the protocol at all, as against a message with a field spoilt."""


def parse_decimal(text: str) -> float:
    value = float(text) if DECIMAL.fullmatch(text) else -1.0
    if not isfinite(value) or value < 0:
        raise ValueError(f"no figure: {text[:40]!r}")
    return value


def parse_ms(text: str) -> int:
    return round(parse_decimal(text) * MS_NS)


def parse_integer(text: str) -> int:
    if not INTEGER.fullmatch(text):
        raise ValueError(f"no whole number: {text[:40]!r}")
    return int(text)


def parse_flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(f"neither yes nor no: {text[:40]!r}")
    return text == "1"


def parse_fields(words: Sequence[str], between: str) -> dict[str, str]:
    """Names and values. A name told twice makes no sense, whichever of the two is meant."""
    says = dict(word.partition(between)[::2] for word in words)
    if len(says) < len(words) or not all(between in word for word in words):
        raise ValueError(f"no {between!r} between a name and its value, or a name twice")
    return says


def is_unknown_message(start: bytes) -> bool:
    """Whether this is no beginning of a message, however it goes on."""
    return start.partition(b" ")[0].rstrip(b"\r\n") not in MESSAGE_KINDS


def decode(line: bytes) -> PeerMessage:
    """Raises Unreadable for what is no message, ValueError for one that has a field spoilt."""
    if is_unknown_message(line):
        raise UnknownMessage(f"unknown kind {line[:40]!r}")
    kind, *words = line.decode("utf-8").rstrip("\r").split(" ")
    says = parse_fields(words, "=")
    try:
        match kind:
            case "hb":
                return Heartbeat()
            case "telemetry":
                return CollectorHello(says["site"])
            case "attach":
                return ProxyHello(
                    parse_integer(says["id"]),
                    says["site"],
                    parse_decimal(says.get("rps", "0")),
                    parse_flag(says.get("new", "0")),
                )
            case "done":
                parse_decimal(says["ms"])  # not needed, and yet it tells whether the line is spoilt
                return UpdateApplied(parse_integer(says["id"]), parse_integer(says["seq"]))
            case "upstream_stats":
                tries, bad = parse_integer(says["count"]), parse_integer(says["fail"])
                if bad > tries:
                    raise ValueError(f"{bad} of {tries} tries failed")
                latency = parse_ms(says.get("mean", "0") if bad == tries else says["mean"])
                load = parse_fields(says["util"].split(","), ":") if says.get("util") else {}
                return BackendReport(
                    says["site"],
                    says["target"],
                    tries,
                    bad,
                    latency,
                    parse_period(says["over"]),
                    {name: parse_decimal(value) for name, value in load.items()},
                )
            case _:
                return DemandReport(
                    parse_integer(says["id"]),
                    says["lane"],
                    parse_integer(says["count"]),
                    parse_integer(says["fail"]),
                    parse_period(says["over"]),
                )
    except KeyError as missing:
        raise ValueError(f"{kind} without {missing}") from missing


def parse_period(text: str) -> int:
    if not (found := parse_ms(text)):
        raise ValueError("a report that covers no time")
    return found


def format_decimal(value: float) -> str:
    """A figure without an exponent; a weight too small to show is not 0, which would take a line out."""
    if not isfinite(value) or value < 0:
        raise ValueError(f"a figure that cannot be ordered: {value!r}")
    return (f"{max(value, 1e-9):.9f}".rstrip("0").rstrip(".")) if value else "0"


def encode(parts: Sequence[TableUpdate]) -> bytes:
    """One message. Its parts are lines; all but the last announce another."""
    lines = []
    for place, part in enumerate(parts, 1):
        words = ["assign"]
        if part.routes:
            words.append("routes=" + "+".join(part.routes))
        if part.replaces:
            words.append("full=1")
        if part.weights:
            words.append(
                "endpoints=" + ",".join(f"{name}:{format_decimal(weight)}" for name, weight in part.weights)
            )
        if part.admission:
            words.append(f"admit={format_decimal(part.admission[0])} policy={part.admission[1]}")
        if part.nonce is not None:
            words.append(f"nonce_out={part.nonce}")
        if place < len(parts):
            words.append("continued=1")
        lines.append(" ".join(words) + "\r\n")
    return "".join(lines).encode()


def parse_endpoint(e: Any) -> Endpoint:
    if not isinstance(e["name"], str) or not e["name"]:
        raise ValueError("an entry without a name")
    since = round(parse_decimal(str(e.get("since_ms", 0)))) * MS_NS
    return Endpoint(
        e["name"],
        str(e["zone"]),
        ENDPOINT_STATES[e["status"]],
        since,
        parse_decimal(str(e.get("weight", 1.0))),
    )


def parse_endpoint_list(answer: Any) -> EndpointList:
    """Discovery's answer, already read as JSON. A spoilt entry is left out and counted; the whole list then
    tells nothing of who is absent."""
    entries, spoilt = [], 0
    try:
        for entry in answer["endpoints"]:
            try:
                entries.append(parse_endpoint(entry))
            except (KeyError, TypeError, ValueError, AttributeError):
                spoilt += 1
        return EndpointList(
            int(answer["index"]), bool(answer["snapshot"]) and not spoilt, tuple(entries), spoilt
        )
    except (KeyError, TypeError) as trouble:
        raise ValueError(f"a list without sense: {type(trouble).__name__} {trouble}") from trouble


def decode_endpoint_list(body: bytes) -> EndpointList:
    return parse_endpoint_list(json.loads(body))
