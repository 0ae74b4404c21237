"""Validation of the operator's configuration; only the first error is reported.

`schema.ConfigurationSchema` describes a configuration. It validates the top-level object and each service,
host and route that is not in canonical form; validating 52,000 canonical routes with it would take seconds.
Errors of the schema are reported first, in the order of its fields, then inconsistencies between elements.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from marshmallow import ValidationError, fields

from meadowworks.config.incremental_json import JsonValue, parse_json_steps
from meadowworks.config.route_table import (
    MAX_TARGET_OVER_DEADLINE_MS,
    ROUTES_PATH,
    ROUTES_PER_STEP,
    Route,
    WeightedServicesCache,
    collect_unknown_fields,
    parse_canonical_route,
    route_transform,
)
from meadowworks.config.schema import (
    ConfigurationSchema,
    HostSchema,
    RouteDefinition,
    RouteSchema,
    ServiceSchema,
)
from meadowworks.runtime.schema_support import first_error
from meadowworks.runtime.steps import Steps, run_to_completion

CONFIGURATION_SCHEMA = ConfigurationSchema()
SERVICE_FIELD = fields.Nested(ServiceSchema)
HOST_FIELD = fields.Nested(HostSchema)
ROUTE_FIELD = fields.Nested(RouteSchema)
FIELD_KEYS = [field.data_key or name for name, field in CONFIGURATION_SCHEMA.fields.items()]
LARGE_LISTS = ("svcs", "vhosts")  # validated element by element


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """The result for a configuration that is rejected.

    :ivar reason: one short sentence.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class ValidConfiguration:
    """The result for a configuration that is accepted.

    :ivar unknown_fields: names of undocumented fields of its routes, sorted; these have no effect.
    """

    version: int
    unknown_fields: tuple[str, ...] = field(default=(), compare=False)


class _SchemaError(Exception):
    """Raised when an element violates the schema; the message is shown to the operator."""


def validate_configuration(body: bytes) -> ValidConfiguration | InvalidConfiguration:
    """Validate a configuration, given as JSON."""
    return run_to_completion(validation_steps(body))


def validation_steps(body: bytes) -> Steps[ValidConfiguration | InvalidConfiguration]:
    """Validate a configuration in steps that do not block the event loop."""
    unknown_fields: set[str] = set()
    try:
        document = yield from parse_json_steps(body, ROUTES_PATH, route_transform(unknown_fields))
    except (ValueError, RecursionError):
        return InvalidConfiguration("it cannot be read whole")
    try:
        result = yield from _DocumentValidator(document, unknown_fields).steps()
    except _SchemaError as error:
        return InvalidConfiguration(str(error))
    if isinstance(result, ValidConfiguration) and unknown_fields:
        return replace(result, unknown_fields=tuple(sorted(unknown_fields)))
    return result


class _DocumentValidator:
    """A validator of one parsed document, whose canonical routes have already been converted to `Route`.

    It drops the routes from the document as it validates them. Its steps raise `_SchemaError` at the first
    element that violates the schema.
    """

    def __init__(self, document: JsonValue, unknown_fields: set[str]) -> None:
        self._document = document
        self._unknown_fields = unknown_fields  # undocumented fields of routes
        self._services: set[str] = set()
        self._route_names: set[str] = set()
        self._prefixes_by_host: dict[str, set[str]] = {}
        self._cache = WeightedServicesCache()
        self._inconsistency: str | None = None  # the first one; schema errors take precedence over it

    def steps(self) -> Steps[ValidConfiguration | InvalidConfiguration]:
        """Validate the whole document in the order in which errors are reported."""
        errors = self._top_level_errors()
        if not isinstance(self._document, dict):
            raise _SchemaError(first_error(errors))
        for key in FIELD_KEYS:
            if key in errors:
                raise _SchemaError(first_error(errors[key], key))
            if key == "svcs":
                yield from self._check_services()
        yield from self._check_hosts()
        if self._inconsistency is not None:
            return InvalidConfiguration(self._inconsistency)
        return ValidConfiguration(int(self._document["ver"], 16))

    def _top_level_errors(self) -> dict[Any, Any]:
        """Return the schema's errors in the top-level object, without those in elements of `LARGE_LISTS`."""
        top_level = self._document
        if isinstance(top_level, dict):
            top_level = {
                key: [] if key in LARGE_LISTS and isinstance(value, list) else value
                for key, value in top_level.items()
            }
        errors: dict[Any, Any] = CONFIGURATION_SCHEMA.validate(top_level)
        return errors

    def _check_services(self) -> Steps[None]:
        for index, raw in enumerate(self._document["svcs"]):
            name = _canonical_service_name(raw) or _load(SERVICE_FIELD, raw, f"svcs.{index}")["name"]
            if name in self._services:
                self._record_inconsistency("a service stands there twice")
            self._services.add(name)
            if index % ROUTES_PER_STEP == 0:
                yield

    def _check_hosts(self) -> Steps[None]:
        for index, host in enumerate(self._document["vhosts"]):
            path = f"vhosts.{index}"
            if not _is_canonical_host(host):
                _load(HOST_FIELD, {**host, "prefixes": []} if _has_prefix_list(host) else host, path)
            prefixes_in_use = self._prefixes_by_host.setdefault(host["host"].lower(), set())
            yield from self._check_routes(host["prefixes"], prefixes_in_use, f"{path}.prefixes")

    def _check_routes(self, raw_routes: list[JsonValue], prefixes_in_use: set[str], path: str) -> Steps[None]:
        for index in range(len(raw_routes)):
            # Releases the routes one by one: freeing all at once would block the event loop.
            raw, raw_routes[index] = raw_routes[index], None
            collect_unknown_fields(raw, self._unknown_fields)
            route = raw if type(raw) is Route else parse_canonical_route(raw, self._cache)
            if route is not None:
                error = _unknown_service_error((s.name for s in route.weighted_services), self._services)
                self._check_consistency(route.name, route.prefix, prefixes_in_use, error)
            else:
                loaded: RouteDefinition = _load(ROUTE_FIELD, raw, f"{path}.{index}")
                error = route_error(loaded, self._services)
                self._check_consistency(loaded.name, loaded.prefix, prefixes_in_use, error)
            if index % ROUTES_PER_STEP == 0 or route is None:
                yield

    def _check_consistency(
        self, name: str, prefix: str, prefixes_in_use: set[str], error: str | None
    ) -> None:
        """Record the inconsistency of a route, if it is the first.

        :param prefixes_in_use: of earlier routes of the same host; the prefix of this route is added.
        :param error: the error within the route itself, if there is one.
        """
        if self._inconsistency is not None:
            return
        if error is not None:
            self._record_inconsistency(f"route {name}: {error}")
        elif prefix in prefixes_in_use or name in self._route_names:
            self._record_inconsistency(f"route {name}: its name or its place is another's too")
        prefixes_in_use.add(prefix)
        self._route_names.add(name)

    def _record_inconsistency(self, inconsistency: str) -> None:
        if self._inconsistency is None:
            self._inconsistency = inconsistency


def route_error(route: RouteDefinition, services: set[str]) -> str | None:
    """Return the inconsistency within a route that satisfies the schema; None if it is consistent.

    :param services: the names of all services of the configuration.
    """
    if (route.service is None) == (route.split is None):
        return "it wants a service or a split"
    split = route.split or []
    names = [route.service] if route.service is not None else [entry.name for entry in split]
    if error := _unknown_service_error(names, services):
        return error
    if split and not sum(entry.weight for entry in split) > 0:
        return "its split has no weight"
    if route.target_ms >= route.deadline_ms + MAX_TARGET_OVER_DEADLINE_MS:
        return "its targetMs lies a minute or more over its deadlineMs"
    return None


def _unknown_service_error(names: Iterable[str], services: set[str]) -> str | None:
    for name in names:
        if name not in services:
            return f"service {name} is unknown"
    return None


def _load(field: fields.Nested, raw: JsonValue, path: str) -> Any:
    """Load an element with its schema.

    :raises _SchemaError: with one sentence that names the invalid field.
    """
    try:
        return field.deserialize(raw)
    except ValidationError as error:
        raise _SchemaError(first_error(error.messages, path)) from None


def _canonical_service_name(raw: JsonValue) -> str | None:
    """Return the name of a service in canonical form; None for any other."""
    if type(raw) is not dict:
        return None
    name, health_path, max_connections = raw.get("name"), raw.get("healthPath", "/"), raw.get("maxConns", 0)
    if type(name) is not str or type(health_path) is not str:
        return None
    if type(max_connections) is not int or max_connections < 0:
        return None
    return name or None


def _is_canonical_host(raw: JsonValue) -> bool:
    """Return whether a host is in canonical form, regardless of its routes."""
    return _has_prefix_list(raw) and type(raw.get("host")) is str and bool(raw["host"])


def _has_prefix_list(raw: JsonValue) -> bool:
    return type(raw) is dict and type(raw.get("prefixes")) is list
