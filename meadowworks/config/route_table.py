"""A configuration in force: routes looked up by host and path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from meadowworks.config.incremental_json import Steps, parse_steps, run_to_completion

MAX_TARGET_OVER_DEADLINE_MS = 60_000  # a target may lie less than a minute over its route's deadline
MAX_PLAIN_NUMBER = 1e15  # figures above it are left to the schema
NUMBER_TYPES = (int, float)
ROUTE_TYPES = ("safe", "unsafe")
ROUTES_PER_STEP = 64  # routes between two steps
ROUTES_PATH = ("vhosts", None, "prefixes")  # where a configuration's routes stand


WeightedServices = tuple[tuple[str, float], ...]
WeightedServicesCache = dict[WeightedServices, WeightedServices]  # equal ones are kept once


class Route(NamedTuple):
    """One route. `split` holds services with their weights, in the configuration's order."""

    name: str
    safe: bool
    deadline_ms: float
    target_ms: float
    priority: int
    max_attempts: int
    weighted_services: WeightedServices
    prefix: str = ""

    def pick_service(self, chance: float) -> str:
        """The service that a request goes to; `chance` is from 0 up to, not with, 1."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0][0]
        point = chance * sum(weight for _, weight in self.weighted_services)
        for name, weight in self.weighted_services:
            point -= weight
            if point < 0:
                return name
        return next(name for name, weight in reversed(self.weighted_services) if weight > 0)


def parse_plain_route(raw: Any, splits: WeightedServicesCache) -> Route | None:
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
    if kind not in ROUTE_TYPES or type(prio) is not int or type(tries) is not int or tries < 1:
        return None
    if type(deadline) not in NUMBER_TYPES or type(target) not in NUMBER_TYPES:
        return None
    if not (0 < deadline < MAX_PLAIN_NUMBER and 0 <= target < deadline + MAX_TARGET_OVER_DEADLINE_MS):
        return None
    if (shares := parse_plain_split(raw)) is None:
        return None
    split = splits.setdefault(shares, shares)
    return Route(name, kind == "safe", float(deadline), float(target), prio, tries, split, prefix)


def parse_plain_split(raw: dict[str, Any]) -> WeightedServices | None:
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
        if (
            type(svc) is not str
            or not svc
            or type(weight) not in NUMBER_TYPES
            or not 0 <= weight < MAX_PLAIN_NUMBER
        ):
            return None
        shares.append((svc, float(weight)))
    return tuple(shares) if sum(weight for _, weight in shares) > 0 else None


def route_compactor() -> Callable[[Any], Any]:
    """What turns the routes of one text into `Route`s as they are read, and leaves what is none."""
    splits: WeightedServicesCache = {}
    return lambda raw: parse_plain_route(raw, splits) or raw


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A version of the configuration. Times in milliseconds, sizes in bytes."""

    version: int
    routes_by_host: dict[str, dict[str, Route]]
    max_connections: dict[str, int] = field(default_factory=dict)  # connections that a backend of it takes
    health_paths: dict[str, str] = field(default_factory=dict)
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000
    latency_targets_ms: dict[str, float] = field(
        default_factory=dict
    )  # the longest of a service that a route names

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix that begins the path."""
        routes = self.routes_by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if route := routes.get(path[: end + 1]):
                return route
        return None


def load_route_table(body: bytes) -> RouteTable:
    """A configuration that has been checked."""
    return run_to_completion(load_route_table_steps(body))


def load_route_table_steps(body: bytes) -> Steps[RouteTable]:
    """The same in steps, for what would take long."""
    raw = yield from parse_steps(body, ROUTES_PATH, route_compactor())
    hosts: dict[str, dict[str, Route]] = {}
    targets: dict[str, float] = {}
    splits: WeightedServicesCache = {}
    for host in raw["vhosts"]:
        routes = hosts.setdefault(host["host"].lower(), {})
        for number, r in enumerate(host["prefixes"]):
            route = r if type(r) is Route else parse_plain_route(r, splits) or parse_route(r)
            routes[route.prefix] = route
            for name, _ in route.weighted_services:
                if targets.get(name, -1.0) < route.target_ms:
                    targets[name] = route.target_ms
            if number % ROUTES_PER_STEP == 0:
                yield
    limits = raw["limits"]
    return RouteTable(
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


def parse_route(raw: dict[str, Any]) -> Route:
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
