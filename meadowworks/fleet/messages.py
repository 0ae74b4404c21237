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
from meadowworks.fleet.names import STATES

MS = 1_000_000
LINE_MOST = 1 << 20  # the protocol's limit for a message
PARTS_MOST = 64  # and for its parts


@dataclass(frozen=True, slots=True)
class Beat:
    """Asks whether the controller is there."""


@dataclass(frozen=True, slots=True)
class Collector:
    zone: str


@dataclass(frozen=True, slots=True)
class Attach:
    proxy: int
    zone: str
    usual: float
    new: bool


@dataclass(frozen=True, slots=True)
class Done:
    proxy: int
    mark: int


@dataclass(frozen=True, slots=True)
class Met:
    """What the proxies of a zone met at a backend."""

    zone: str
    backend: str
    tries: int
    bad: int
    latency_ns: int
    covers_ns: int
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class Asked:
    """Calls of a route that came to a proxy."""

    proxy: int
    route: str
    calls: int
    dropped: int
    covers_ns: int


@dataclass(frozen=True, slots=True)
class Named:
    """A backend as discovery names it."""

    name: str
    zone: str
    state: str
    since_ns: int
    weight: float


@dataclass(frozen=True, slots=True)
class Listing:
    index: int
    whole: bool
    entries: tuple[Named, ...]
    spoilt: int = 0  # entries that could not be read


@dataclass(frozen=True, slots=True)
class Part:
    """One line of a message to a proxy; without routes it is meant for all of them."""

    routes: tuple[str, ...]
    full: bool
    lines: tuple[tuple[str, float], ...]
    grant: tuple[float, int] | None  # level and way of trying again
    mark: int | None = None  # of a message, in its last line: the proxy says once it has applied all

    def cost(self) -> int:
        """What the channel counts, the message's head aside."""
        return self.full + len(self.lines) + (self.grant is not None) + (self.mark is not None)


@dataclass(frozen=True, slots=True)
class Message:
    """What a batch orders of one proxy, encoded once for all that are told the same."""

    text: bytes
    parts: int


@dataclass(frozen=True, slots=True)
class End:
    """The connection is over, or is to be ended."""

    why: str


@dataclass(frozen=True, slots=True)
class Joined:
    attach: Attach
    stream: Mailbox[Told]


@dataclass(frozen=True, slots=True)
class Left:
    proxy: int
    stream: Mailbox[Told]


@dataclass(frozen=True, slots=True)
class Track:
    """Whether the list is to be followed."""

    on: bool


@dataclass(frozen=True, slots=True)
class Moved:
    """Discovery is at another address now."""

    address: str


@dataclass(frozen=True, slots=True)
class ListFailed:
    why: str


@dataclass(frozen=True, slots=True)
class Due:
    """The module's one timer has come due."""


Report = Met | Asked | Done  # the stalest gives way where a mailbox is full
Spoken = Beat | Collector | Attach | Report
Told = Spoken | Message | End  # to the actor of a connection
Follow = Track | Moved  # to the list's actor
News = Joined | Left | Report | Listing | ListFailed | Due  # to the module's actor
BEAT_OK = b"hb_ok\r\n"


def reject(why: str) -> bytes:
    """The last word to a connection that cannot become a peer."""
    return f"reject reason={why.replace(' ', '_')}\r\n".encode()


# What the protocol writes: plain digits. int() and float() would take underscores, signs, other scripts'
# digits, nan, and figures of any length.
WHOLE, FIGURE = re.compile(r"[0-9]{1,15}"), re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?([eE][+-]?[0-9]{1,2})?")
KINDS = frozenset((b"hb", b"telemetry", b"attach", b"done", b"upstream_stats", b"client_stats"))


class Unreadable(ValueError):
    """No message of the protocol at all, as against a message with a field spoilt."""


def figure(text: str) -> float:
    value = float(text) if FIGURE.fullmatch(text) else -1.0
    if not isfinite(value) or value < 0:
        raise ValueError(f"no figure: {text[:40]!r}")
    return value


def span(text: str) -> int:
    return round(figure(text) * MS)


def whole(text: str) -> int:
    if not WHOLE.fullmatch(text):
        raise ValueError(f"no whole number: {text[:40]!r}")
    return int(text)


def yes(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(f"neither yes nor no: {text[:40]!r}")
    return text == "1"


def pairs(words: Sequence[str], between: str) -> dict[str, str]:
    """Names and values. A name told twice makes no sense, whichever of the two is meant."""
    says = dict(word.partition(between)[::2] for word in words)
    if len(says) < len(words) or not all(between in word for word in words):
        raise ValueError(f"no {between!r} between a name and its value, or a name twice")
    return says


def strange(start: bytes) -> bool:
    """Whether this is no beginning of a message, however it goes on."""
    return start.partition(b" ")[0].rstrip(b"\r\n") not in KINDS


def decode(line: bytes) -> Spoken:
    """Raises Unreadable for what is no message, ValueError for one that has a field spoilt."""
    if strange(line):
        raise Unreadable(f"unknown kind {line[:40]!r}")
    kind, *words = line.decode("utf-8").rstrip("\r").split(" ")
    says = pairs(words, "=")
    try:
        match kind:
            case "hb":
                return Beat()
            case "telemetry":
                return Collector(says["site"])
            case "attach":
                return Attach(
                    whole(says["id"]), says["site"], figure(says.get("rps", "0")), yes(says.get("new", "0"))
                )
            case "done":
                figure(says["ms"])  # not needed, and yet it tells whether the line is spoilt
                return Done(whole(says["id"]), whole(says["seq"]))
            case "upstream_stats":
                tries, bad = whole(says["count"]), whole(says["fail"])
                if bad > tries:
                    raise ValueError(f"{bad} of {tries} tries failed")
                latency = span(says.get("mean", "0") if bad == tries else says["mean"])
                load = pairs(says["util"].split(","), ":") if says.get("util") else {}
                return Met(
                    says["site"],
                    says["target"],
                    tries,
                    bad,
                    latency,
                    covered(says["over"]),
                    {name: figure(value) for name, value in load.items()},
                )
            case _:
                return Asked(
                    whole(says["id"]),
                    says["lane"],
                    whole(says["count"]),
                    whole(says["fail"]),
                    covered(says["over"]),
                )
    except KeyError as missing:
        raise ValueError(f"{kind} without {missing}") from missing


def covered(text: str) -> int:
    if not (found := span(text)):
        raise ValueError("a report that covers no time")
    return found


def plain(value: float) -> str:
    """A figure without an exponent; a weight too small to show is not 0, which would take a line out."""
    if not isfinite(value) or value < 0:
        raise ValueError(f"a figure that cannot be ordered: {value!r}")
    return (f"{max(value, 1e-9):.9f}".rstrip("0").rstrip(".")) if value else "0"


def encode(parts: Sequence[Part]) -> bytes:
    """One message. Its parts are lines; all but the last announce another."""
    lines = []
    for place, part in enumerate(parts, 1):
        words = ["assign"]
        if part.routes:
            words.append("routes=" + "+".join(part.routes))
        if part.full:
            words.append("full=1")
        if part.lines:
            words.append("endpoints=" + ",".join(f"{name}:{plain(weight)}" for name, weight in part.lines))
        if part.grant:
            words.append(f"admit={plain(part.grant[0])} policy={part.grant[1]}")
        if part.mark is not None:
            words.append(f"nonce_out={part.mark}")
        if place < len(parts):
            words.append("continued=1")
        lines.append(" ".join(words) + "\r\n")
    return "".join(lines).encode()


def named(e: Any) -> Named:
    if not isinstance(e["name"], str) or not e["name"]:
        raise ValueError("an entry without a name")
    since = round(figure(str(e.get("since_ms", 0)))) * MS
    return Named(e["name"], str(e["zone"]), STATES[e["status"]], since, figure(str(e.get("weight", 1.0))))


def listing(answer: Any) -> Listing:
    """Discovery's answer, already read as JSON. A spoilt entry is left out and counted; the whole list then
    tells nothing of who is absent."""
    entries, spoilt = [], 0
    try:
        for entry in answer["endpoints"]:
            try:
                entries.append(named(entry))
            except (KeyError, TypeError, ValueError, AttributeError):
                spoilt += 1
        return Listing(int(answer["index"]), bool(answer["snapshot"]) and not spoilt, tuple(entries), spoilt)
    except (KeyError, TypeError) as trouble:
        raise ValueError(f"a list without sense: {type(trouble).__name__} {trouble}") from trouble


def read_listing(body: bytes) -> Listing:
    return listing(json.loads(body))
