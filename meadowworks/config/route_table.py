"""A configuration in force: routes looked up by host and path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from meadowworks.config.incremental_json import Steps, at_once, reading

AIM_OVER_MS = 60_000  # a target may lie less than a minute over its route's deadline
FIGURE_MOST = 1e15  # figures above it are left to the schema
NUMBER = (int, float)
KINDS = ("safe", "unsafe")
STEP = 64  # routes between two steps
PATH = ("vhosts", None, "prefixes")  # where a configuration's routes stand


Split = tuple[tuple[str, float], ...]
Splits = dict[Split, Split]  # equal ones are kept once


class Route(NamedTuple):
    """One route. `split` holds services with their weights, in the configuration's order."""

    name: str
    safe: bool
    deadline_ms: float
    target_ms: float
    prio: int
    tries: int
    split: Split
    prefix: str = ""

    def service(self, chance: float) -> str:
        """The service that a request goes to; `chance` is from 0 up to, not with, 1."""
        if len(self.split) == 1:
            return self.split[0][0]
        point = chance * sum(weight for _, weight in self.split)
        for name, weight in self.split:
            point -= weight
            if point < 0:
                return name
        return next(name for name, weight in reversed(self.split) if weight > 0)


def usual(raw: Any, splits: Splits) -> Route | None:
    """A route of the usual form, which makes sense but for the names of its services. None for any other:
    that one is read by `check.RouteFields`, which says what is wrong, or takes `"2"` for 2."""
    try:
        name, prefix, kind = raw["name"], raw["prefix"], raw["type"]
        deadline, target = raw["deadlineMs"], raw["targetMs"]
        prio, tries = raw.get("prio", 0), raw.get("tries", 1)
    except (KeyError, TypeError):
        return None
    if not (type(name) is str and name and type(prefix) is str and prefix[:1] == "/"):
        return None
    if kind not in KINDS or type(prio) is not int or type(tries) is not int or tries < 1:
        return None
    if type(deadline) not in NUMBER or type(target) not in NUMBER:
        return None
    if not (0 < deadline < FIGURE_MOST and 0 <= target < deadline + AIM_OVER_MS):
        return None
    if (shares := split_of(raw)) is None:
        return None
    split = splits.setdefault(shares, shares)
    return Route(name, kind == "safe", float(deadline), float(target), prio, tries, split, prefix)


def split_of(raw: dict[str, Any]) -> Split | None:
    """The services of a route of the usual form: one, or a split that has weight."""
    if "split" not in raw:
        svc = raw.get("svc")
        return ((svc, 1.0),) if type(svc) is str else None
    if "svc" in raw or type(raw["split"]) is not list:
        return None
    shares = []
    for share in raw["split"]:
        if type(share) is not dict:
            return None
        svc, weight = share.get("svc"), share.get("weight", -1)
        if type(svc) is not str or not svc or type(weight) not in NUMBER or not 0 <= weight < FIGURE_MOST:
            return None
        shares.append((svc, float(weight)))
    return tuple(shares) if sum(weight for _, weight in shares) > 0 else None


def compact() -> Callable[[Any], Any]:
    """What turns the routes of one text into `Route`s as they are read, and leaves what is none."""
    splits: Splits = {}
    return lambda raw: usual(raw, splits) or raw


@dataclass(frozen=True, slots=True)
class Timetable:
    """A version of the configuration. Times in milliseconds, sizes in bytes."""

    version: int
    hosts: dict[str, dict[str, Route]]
    services: dict[str, int] = field(default_factory=dict)  # connections that a backend of it takes
    health: dict[str, str] = field(default_factory=dict)
    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_ms: float = 3000
    idle_ms: float = 15000
    targets: dict[str, float] = field(default_factory=dict)  # the longest of a service that a route names

    def find(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix that begins the path."""
        routes = self.hosts.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if route := routes.get(path[: end + 1]):
                return route
        return None


def load(body: bytes) -> Timetable:
    """A configuration that has been checked."""
    return at_once(loading(body))


def loading(body: bytes) -> Steps[Timetable]:
    """The same in steps, for what would take long."""
    raw = yield from reading(body, PATH, compact())
    hosts: dict[str, dict[str, Route]] = {}
    targets: dict[str, float] = {}
    splits: Splits = {}
    for host in raw["vhosts"]:
        routes = hosts.setdefault(host["host"].lower(), {})
        for number, r in enumerate(host["prefixes"]):
            route = r if type(r) is Route else usual(r, splits) or unusual(r)
            routes[route.prefix] = route
            for name, _ in route.split:
                if targets.get(name, -1.0) < route.target_ms:
                    targets[name] = route.target_ms
            if number % STEP == 0:
                yield
    limits = raw["limits"]
    return Timetable(
        int(raw["ver"], 16),
        hosts,
        {s["name"]: int(s.get("maxConns", 0)) for s in raw["svcs"]},
        {s["name"]: s.get("healthPath", "/") for s in raw["svcs"]},
        limits["maxHeaderBytes"],
        limits["maxBodyBytes"],
        limits["headerTimeoutMs"],
        limits["idleTimeoutMs"],
        targets,
    )


def unusual(raw: dict[str, Any]) -> Route:
    """One that the schema took all the same."""
    split = raw.get("split") or [{"svc": raw["svc"], "weight": 1}]
    return Route(
        raw["name"],
        raw["type"] == "safe",
        float(raw["deadlineMs"]),
        float(raw["targetMs"]),
        int(raw.get("prio", 0)),
        int(raw.get("tries", 1)),
        tuple((s["svc"], float(s["weight"])) for s in split),
        raw["prefix"],
    )
