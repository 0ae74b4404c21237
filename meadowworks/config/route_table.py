"""The route table of one version of the operator's configuration: routes are looked up by host and path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeAlias

from meadowworks.config.incremental_json import JsonValue, parse_json_steps
from meadowworks.runtime.steps import Steps, run_to_completion

MAX_TARGET_OVER_DEADLINE_MS = 60_000  # a route's latency target exceeds its deadline by less than this
MAX_CANONICAL_NUMBER = 1e15  # smaller integers are exact as floats; the schema reads larger ones
NUMBER_TYPES = (int, float)  # compared with `type()`, since bool is a subclass of int
ROUTE_TYPES = ("safe", "unsafe")
ROUTE_FIELDS = frozenset(
    ("name", "prefix", "type", "deadlineMs", "targetMs", "prio", "svc", "split", "tries")
)  # documented fields; others have no effect and are reported
ROUTES_PER_STEP = 64  # routes added to a table in one step: some hundred microseconds
ROUTES_PATH = ("vhosts", None, "prefixes")  # JSON path of the arrays of routes


class WeightedService(NamedTuple):
    """A service that a route sends requests to, and the weight of its share of them."""

    name: str
    weight: float


WeightedServices: TypeAlias = tuple[WeightedService, ...]


class WeightedServicesCache:
    """A cache that stores equal service lists once: a large configuration has many routes, but few lists."""

    def __init__(self) -> None:
        self._by_name: dict[str, WeightedServices] = {}
        self._splits: dict[WeightedServices, WeightedServices] = {}

    def single(self, name: str) -> WeightedServices:
        """Return the service list of a route with one service."""
        services = self._by_name.get(name)
        if services is None:
            services = self._by_name[name] = (WeightedService(name, 1.0),)
        return services

    def split(self, services: WeightedServices) -> WeightedServices:
        """Return the service list of a route with several services."""
        return self._splits.setdefault(services, services)


class Route(NamedTuple):
    """A route.

    :ivar is_safe: whether its requests may be executed more than once.
    :ivar max_attempts: the maximum number of attempts per request, the first one included.
    :ivar weighted_services: in the order of the configuration.
    :ivar prefix: the path prefix that the route matches; begins with a slash.
    """

    name: str
    is_safe: bool
    deadline_ms: float
    target_ms: float
    priority: int
    max_attempts: int
    weighted_services: WeightedServices
    prefix: str = ""

    def pick_service(self, random_fraction: float) -> str:
        """Return the service that a request is sent to.

        :param random_fraction: at least 0 and less than 1; evenly distributed over requests.
        """
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].name
        point = random_fraction * sum(service.weight for service in self.weighted_services)
        for name, weight in self.weighted_services:
            point -= weight
            if point < 0:
                return name
        return next(service.name for service in reversed(self.weighted_services) if service.weight > 0)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A version of the configuration.

    :ivar routes_by_host: by host in lower case, then by prefix.
    :ivar max_connections: by service: the maximum number of connections per backend; 0 for no limit.
    :ivar health_paths: by service: the path of its health check.
    :ivar latency_targets_ms: by service: the longest latency target of its routes.
    """

    version: int
    routes_by_host: dict[str, dict[str, Route]]
    max_connections: dict[str, int] = field(default_factory=dict)
    health_paths: dict[str, str] = field(default_factory=dict)
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000
    latency_targets_ms: dict[str, float] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route whose prefix is the longest match for the path.

        :param host: as in the request; case and port are ignored.
        """
        routes = self.routes_by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if route := routes.get(path[: end + 1]):
                return route
        return None


# -- routes in canonical form


def parse_canonical_route(raw: JsonValue, cache: WeightedServicesCache) -> Route | None:
    """Read a route in canonical form without the schema, which takes much longer.

    In canonical form each field has its documented JSON type and a valid value. The services of the route may
    still be undefined.

    :returns: None for any other route. `schema.RouteSchema` either converts its values ("2" to 2) or reports
        the error.
    """
    try:
        name, prefix, route_type = raw["name"], raw["prefix"], raw["type"]
        deadline, target = raw["deadlineMs"], raw["targetMs"]
        priority, max_attempts = raw.get("prio", 0), raw.get("tries", 1)
    except (KeyError, TypeError):
        return None
    if not (type(name) is str and name and type(prefix) is str and prefix[:1] == "/"):
        return None
    if route_type not in ROUTE_TYPES or type(priority) is not int:
        return None
    if type(max_attempts) is not int or max_attempts < 1:
        return None
    if not _are_canonical_times(deadline, target):
        return None
    if (services := _parse_canonical_services(raw, cache)) is None:
        return None
    return Route(
        name, route_type == "safe", float(deadline), float(target), priority, max_attempts, services, prefix
    )


def collect_unknown_fields(raw: JsonValue, unknown_fields: set[str]) -> None:
    """Add the names of the undocumented fields of a route to a set."""
    if type(raw) is dict and not raw.keys() <= ROUTE_FIELDS:
        unknown_fields.update(raw.keys() - ROUTE_FIELDS)


def route_transform(unknown_fields: set[str] | None = None) -> Callable[[JsonValue], Any]:
    """Return a function that converts raw routes in canonical form to `Route` and returns others unchanged.

    :param unknown_fields: the names of undocumented fields are added to it.
    """
    cache = WeightedServicesCache()

    def transform(raw: JsonValue) -> Any:
        if unknown_fields is not None:
            collect_unknown_fields(raw, unknown_fields)
        return parse_canonical_route(raw, cache) or raw

    return transform


def _are_canonical_times(deadline: JsonValue, target: JsonValue) -> bool:
    if type(deadline) not in NUMBER_TYPES or type(target) not in NUMBER_TYPES:
        return False
    return bool(0 < deadline < MAX_CANONICAL_NUMBER and 0 <= target < deadline + MAX_TARGET_OVER_DEADLINE_MS)


def _parse_canonical_services(
    raw: dict[str, JsonValue], cache: WeightedServicesCache
) -> WeightedServices | None:
    """Read the services of a route in canonical form: one service or a split.

    :returns: None if they are not in canonical form, or if the weights of the split add up to 0.
    """
    if "split" not in raw:
        name = raw.get("svc")
        return cache.single(name) if type(name) is str else None
    if "svc" in raw or type(raw["split"]) is not list:
        return None
    services = []
    for entry in raw["split"]:
        if type(entry) is not dict:
            return None
        name, weight = entry.get("svc"), entry.get("weight", -1)
        if type(name) is not str or not name:
            return None
        if type(weight) not in NUMBER_TYPES or not 0 <= weight < MAX_CANONICAL_NUMBER:
            return None
        services.append(WeightedService(name, float(weight)))
    has_weight = sum(service.weight for service in services) > 0
    return cache.split(tuple(services)) if has_weight else None


# -- the route table


def load_route_table(body: bytes) -> RouteTable:
    """Build the route table of a valid configuration."""
    return run_to_completion(load_route_table_steps(body))


def load_route_table_steps(body: bytes) -> Steps[RouteTable]:
    """Build the route table of a valid configuration in steps that do not block the event loop."""
    document = yield from parse_json_steps(body, ROUTES_PATH, route_transform())
    routes_by_host: dict[str, dict[str, Route]] = {}
    latency_targets_ms: dict[str, float] = {}
    cache = WeightedServicesCache()
    for host in document["vhosts"]:
        routes = routes_by_host.setdefault(host["host"].lower(), {})
        for index, raw in enumerate(host["prefixes"]):
            route = raw if type(raw) is Route else parse_canonical_route(raw, cache) or _convert_route(raw)
            routes[route.prefix] = route
            for service in route.weighted_services:
                if latency_targets_ms.get(service.name, -1.0) < route.target_ms:
                    latency_targets_ms[service.name] = route.target_ms
            if index % ROUTES_PER_STEP == 0:
                yield
    limits, services = document["limits"], document["svcs"]
    return RouteTable(
        version=int(document["ver"], 16),
        routes_by_host=routes_by_host,
        max_connections={service["name"]: int(service.get("maxConns", 0)) for service in services},
        health_paths={service["name"]: service.get("healthPath", "/") for service in services},
        # The schema accepts numbers in quotes, as it does in routes.
        max_header_bytes=int(limits["maxHeaderBytes"]),
        max_body_bytes=int(limits["maxBodyBytes"]),
        header_timeout_ms=float(limits["headerTimeoutMs"]),
        idle_timeout_ms=float(limits["idleTimeoutMs"]),
        latency_targets_ms=latency_targets_ms,
    )


def _convert_route(raw: dict[str, JsonValue]) -> Route:
    """Convert a valid route that is not in canonical form."""
    split = raw.get("split") or [{"svc": raw["svc"], "weight": 1}]
    return Route(
        name=raw["name"],
        is_safe=raw["type"] == "safe",
        deadline_ms=float(raw["deadlineMs"]),
        target_ms=float(raw["targetMs"]),
        priority=int(raw.get("prio", 0)),
        max_attempts=int(raw.get("tries", 1)),
        weighted_services=tuple(WeightedService(entry["svc"], float(entry["weight"])) for entry in split),
        prefix=raw["prefix"],
    )
