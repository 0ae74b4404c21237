"""Whether the operator's configuration makes sense, and if not, the first reason why.

`schema.ConfigurationSchema` describes a configuration. It reads the outermost object, and each service, host
and route that has not the plain form: reading 52,000 plain routes by it would take seconds. Its errors are
reported first, in its order of fields; then what it can't see.
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
LARGE_LISTS = ("svcs", "vhosts")  # whose elements are read one by one


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """Why a configuration is refused, in one short sentence."""

    reason: str


@dataclass(frozen=True, slots=True)
class ValidConfiguration:
    """A configuration that may be taken, and the number of its version.

    :ivar unknown_fields: of its routes, sorted: they have no effect.
    """

    version: int
    unknown_fields: tuple[str, ...] = field(default=(), compare=False)


class _SchemaError(Exception):
    """An element is not as the schema says; the message is the sentence for the operator."""


def validate_configuration(body: bytes) -> ValidConfiguration | InvalidConfiguration:
    """Say whether a configuration, as JSON, may be taken."""
    return run_to_completion(validation_steps(body))


def validation_steps(body: bytes) -> Steps[ValidConfiguration | InvalidConfiguration]:
    """Say whether a configuration may be taken, in steps, for one that is large."""
    unknown_fields: set[str] = set()
    try:
        document = yield from parse_json_steps(body, ROUTES_PATH, route_transform(unknown_fields))
    except (ValueError, RecursionError):
        return InvalidConfiguration("it cannot be read whole")
    try:
        checked = yield from _DocumentValidator(document, unknown_fields).steps()
    except _SchemaError as error:
        return InvalidConfiguration(str(error))
    if isinstance(checked, ValidConfiguration) and unknown_fields:
        return replace(checked, unknown_fields=tuple(sorted(unknown_fields)))
    return checked


class _DocumentValidator:
    """Validates one document, whose plain routes have been read already, and takes it apart as it goes.

    :raises _SchemaError: from its steps, at the first element that is not as the schema says.
    """

    def __init__(self, document: JsonValue, unknown_fields: set[str]) -> None:
        self._document = document
        self._unknown_fields = unknown_fields  # of routes
        self._services: set[str] = set()
        self._route_names: set[str] = set()
        self._prefixes_by_host: dict[str, set[str]] = {}
        self._cache = WeightedServicesCache()
        self._inconsistency: str | None = None  # the first, which counts if the schema finds nothing wrong

    def steps(self) -> Steps[ValidConfiguration | InvalidConfiguration]:
        """Check everything, in the order in which errors are reported."""
        errors = self._outline_errors()
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

    def _outline_errors(self) -> dict[Any, Any]:
        """What the schema finds in the outermost object, without the elements of the large lists."""
        outline = self._document
        if isinstance(outline, dict):
            outline = {
                key: [] if key in LARGE_LISTS and isinstance(value, list) else value
                for key, value in outline.items()
            }
        errors: dict[Any, Any] = CONFIGURATION_SCHEMA.validate(outline)
        return errors

    def _check_services(self) -> Steps[None]:
        for number, raw in enumerate(self._document["svcs"]):
            name = _plain_service_name(raw) or _load(SERVICE_FIELD, raw, f"svcs.{number}")["name"]
            if name in self._services:
                self._note("a service stands there twice")
            self._services.add(name)
            if number % ROUTES_PER_STEP == 0:
                yield

    def _check_hosts(self) -> Steps[None]:
        for number, host in enumerate(self._document["vhosts"]):
            path = f"vhosts.{number}"
            if not _is_plain_host(host):
                _load(HOST_FIELD, {**host, "prefixes": []} if _has_list_of_prefixes(host) else host, path)
            prefixes_in_use = self._prefixes_by_host.setdefault(host["host"].lower(), set())
            yield from self._check_routes(host["prefixes"], prefixes_in_use, f"{path}.prefixes")

    def _check_routes(self, raws: list[JsonValue], prefixes_in_use: set[str], path: str) -> Steps[None]:
        for number in range(len(raws)):
            raw, raws[number] = (
                raws[number],
                None,
            )  # released one by one: all at once would hold the loop, too
            collect_unknown_fields(raw, self._unknown_fields)
            route = raw if type(raw) is Route else parse_canonical_route(raw, self._cache)
            if route is not None:
                error = _unknown_service_error((s.name for s in route.weighted_services), self._services)
                self._note_route(route.name, route.prefix, prefixes_in_use, error)
            else:
                loaded: RouteDefinition = _load(ROUTE_FIELD, raw, f"{path}.{number}")
                error = route_error(loaded, self._services)
                self._note_route(loaded.name, loaded.prefix, prefixes_in_use, error)
            if number % ROUTES_PER_STEP == 0 or route is None:
                yield

    def _note_route(self, name: str, prefix: str, prefixes_in_use: set[str], error: str | None) -> None:
        """Note what is inconsistent about a route: by itself, or beside those before it."""
        if self._inconsistency is not None:
            return
        if error is not None:
            self._note(f"route {name}: {error}")
        elif prefix in prefixes_in_use or name in self._route_names:
            self._note(f"route {name}: its name or its place is another's too")
        prefixes_in_use.add(prefix)
        self._route_names.add(name)

    def _note(self, inconsistency: str) -> None:
        if self._inconsistency is None:
            self._inconsistency = inconsistency


def route_error(route: RouteDefinition, services: set[str]) -> str | None:
    """Say what is inconsistent about a route that is as the schema says, if anything is.

    :param services: the names of the configuration's services.
    """
    if (route.service is None) == (route.split is None):
        return "it wants a service or a split"
    split = route.split or []
    names = [route.service] if route.service is not None else [share.name for share in split]
    if error := _unknown_service_error(names, services):
        return error
    if split and not sum(share.weight for share in split) > 0:
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
    """Read an element by its schema.

    :raises _SchemaError: with one sentence that names the field.
    """
    try:
        return field.deserialize(raw)
    except ValidationError as error:
        raise _SchemaError(first_error(error.messages, path)) from None


def _plain_service_name(raw: JsonValue) -> str | None:
    """Return the name of a service of the plain form."""
    if type(raw) is not dict:
        return None
    name, health_path, max_connections = raw.get("name"), raw.get("healthPath", "/"), raw.get("maxConns", 0)
    if type(name) is not str or type(health_path) is not str:
        return None
    if type(max_connections) is not int or max_connections < 0:
        return None
    return name or None


def _is_plain_host(raw: JsonValue) -> bool:
    """Whether a host has the plain form, its routes left out."""
    return _has_list_of_prefixes(raw) and type(raw.get("host")) is str and bool(raw["host"])


def _has_list_of_prefixes(raw: JsonValue) -> bool:
    return type(raw) is dict and type(raw.get("prefixes")) is list
