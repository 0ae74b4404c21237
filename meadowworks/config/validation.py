"""Reads a configuration and says whether it makes sense. Source: the users' page on the protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

from meadowworks.config.incremental_json import Steps, parse_steps, run_to_completion
from meadowworks.config.route_table import (
    MAX_TARGET_OVER_DEADLINE_MS,
    ROUTES_PATH,
    ROUTES_PER_STEP,
    Route,
    WeightedServicesCache,
    parse_plain_route,
    route_compactor,
)

VERSION_FORMAT = validate.Regexp(r"^[0-9a-f]{8}$", error="is not eight hexadecimal digits")
NON_EMPTY = validate.Length(min=1)


class LenientSchema(Schema):
    class Meta:
        unknown = EXCLUDE


class WeightedServiceSchema(LenientSchema):
    svc = fields.String(required=True, validate=NON_EMPTY)
    weight = fields.Float(required=True, validate=validate.Range(min=0))


class RouteSchema(LenientSchema):
    name = fields.String(required=True, validate=NON_EMPTY)
    prefix = fields.String(
        required=True, validate=validate.Regexp(r"^/", error="does not begin with a slash")
    )
    type = fields.String(required=True, validate=validate.OneOf(["safe", "unsafe"]))
    deadlineMs = fields.Float(required=True, validate=validate.Range(min=0, min_inclusive=False))
    targetMs = fields.Float(required=True, validate=validate.Range(min=0))
    prio = fields.Integer(load_default=0)
    svc = fields.String()
    split = fields.List(fields.Nested(WeightedServiceSchema), validate=validate.Length(min=1))
    tries = fields.Integer(load_default=1, validate=validate.Range(min=1))


class HostSchema(LenientSchema):
    host = fields.String(required=True, validate=NON_EMPTY)
    prefixes = fields.List(fields.Nested(RouteSchema), required=True)


class ServiceSchema(LenientSchema):
    name = fields.String(required=True, validate=NON_EMPTY)
    healthPath = fields.String(load_default="/")
    maxConns = fields.Integer(load_default=0, validate=validate.Range(min=0))


class LimitsSchema(LenientSchema):
    maxHeaderBytes = fields.Integer(required=True, validate=validate.Range(min=1))
    maxBodyBytes = fields.Integer(required=True, validate=validate.Range(min=0))
    headerTimeoutMs = fields.Float(required=True, validate=validate.Range(min=1))
    idleTimeoutMs = fields.Float(required=True, validate=validate.Range(min=1))


class ConfigurationSchema(LenientSchema):
    ver = fields.String(required=True, validate=VERSION_FORMAT)
    svcs = fields.List(fields.Nested(ServiceSchema), required=True)
    limits = fields.Nested(LimitsSchema, required=True)
    vhosts = fields.List(fields.Nested(HostSchema), required=True)


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """Why a configuration is not taken; one short sentence."""

    reason: str


@dataclass(frozen=True, slots=True)
class ValidConfiguration:
    version: int


def first_error(messages: Any, at: str = "") -> str:
    if isinstance(messages, dict) and messages:
        key, inner = next(iter(messages.items()))
        return first_error(inner, f"{at}.{key}" if at else str(key))
    return f"{at}: {messages[0] if isinstance(messages, list) and messages else messages}"


CONFIGURATION_SCHEMA = ConfigurationSchema()


def element_field(owner: fields.Field[Any]) -> fields.Field[Any]:
    """The field of a list's elements."""
    assert isinstance(owner, fields.List)
    return owner.inner


SERVICE_FIELD, HOST_FIELD = (
    element_field(CONFIGURATION_SCHEMA.fields["svcs"]),
    element_field(CONFIGURATION_SCHEMA.fields["vhosts"]),
)
ROUTE_FIELD = element_field(HostSchema().fields["prefixes"])


def validate_configuration(body: bytes) -> ValidConfiguration | InvalidConfiguration:
    """Whether a configuration, as JSON, may be taken; the number of its version if so."""
    return run_to_completion(validation_steps(body))


def validation_steps(body: bytes) -> Steps[ValidConfiguration | InvalidConfiguration]:
    """The same in steps, for what would take long.

    `Whole` describes a configuration. It reads the outermost table, and each service, host and route that has
    not the usual form: reading 52,000 routes of the usual form by it would take seconds. Its verdict comes
    first, by its order of fields; then what it can't see."""
    try:
        nested = yield from parse_steps(body, ROUTES_PATH, route_compactor())
    except (ValueError, RecursionError):
        return InvalidConfiguration("it cannot be read whole")
    head = nested
    if isinstance(nested, dict):
        head = {k: [] if k in ("svcs", "vhosts") and isinstance(v, list) else v for k, v in nested.items()}
    try:
        found = CONFIGURATION_SCHEMA.load(head)
        trouble = {}
    except ValidationError as raised:
        trouble = raised.messages if isinstance(raised.messages, dict) else {"": raised.messages}
    if not isinstance(nested, dict):
        return InvalidConfiguration(first_error(trouble))
    services: set[str] = set()
    second: InvalidConfiguration | None = None  # the first thing wrong that the schema can't see
    for field in CONFIGURATION_SCHEMA.fields:
        if field in trouble:
            return InvalidConfiguration(first_error({field: trouble[field]}))
        if field == "svcs":
            for number, service in enumerate(nested["svcs"]):
                try:
                    name: str = plain_service_name(service) or SERVICE_FIELD.deserialize(service)["name"]
                except ValidationError as raised:
                    return InvalidConfiguration(first_error({field: {number: raised.messages}}))
                if name in services and second is None:
                    second = InvalidConfiguration("a service stands there twice")
                services.add(name)
                if number % ROUTES_PER_STEP == 0:
                    yield
    places: dict[str, set[str]] = {}
    names: set[str] = set()
    splits: WeightedServicesCache = {}
    for number, host in enumerate(nested["vhosts"]):
        try:
            if not is_plain_host(host):
                HOST_FIELD.deserialize({**host, "prefixes": []} if has_prefix_list(host) else host)
        except ValidationError as raised:
            return InvalidConfiguration(first_error({"vhosts": {number: raised.messages}}))
        prefixes: list[Any] = host["prefixes"]
        taken = places.setdefault(host["host"].lower(), set())
        for at in range(len(prefixes)):
            raw, prefixes[at] = prefixes[at], None  # let go bit by bit: all at once would take long too
            route = raw if type(raw) is Route else parse_plain_route(raw, splits)
            why = None
            if route is None:
                try:
                    loaded = ROUTE_FIELD.deserialize(raw)
                except ValidationError as raised:
                    return InvalidConfiguration(
                        first_error({"vhosts": {number: {"prefixes": {at: raised.messages}}}})
                    )
                name, prefix, why = loaded["name"], loaded["prefix"], route_error(loaded, services)
            else:
                name, prefix = route.name, route.prefix
                why = unknown_service_error([svc for svc, _ in route.weighted_services], services)
            if second is None:
                if why:
                    second = InvalidConfiguration(f"route {name}: {why}")
                elif prefix in taken or name in names:
                    second = InvalidConfiguration(f"route {name}: its name or its place is another's too")
                taken.add(prefix)
                names.add(name)
            if at % ROUTES_PER_STEP == 0 or route is None:
                yield
    return second or ValidConfiguration(int(found["ver"], 16))


def plain_service_name(raw: Any) -> str | None:
    """The name of a service of the usual form."""
    if type(raw) is not dict:
        return None
    name, path, most = raw.get("name"), raw.get("healthPath", "/"), raw.get("maxConns", 0)
    sound = type(name) is str and name and type(path) is str and type(most) is int and most >= 0
    return name if sound else None


def is_plain_host(raw: Any) -> bool:
    """Whether a host has the usual form, its routes left out."""
    return has_prefix_list(raw) and type(raw.get("host")) is str and bool(raw["host"])


def has_prefix_list(raw: Any) -> bool:
    return type(raw) is dict and type(raw.get("prefixes")) is list


def unknown_service_error(named: list[str], services: set[str]) -> str | None:
    for name in named:
        if name not in services:
            return f"service {name} is unknown"
    return None


def route_error(route: dict[str, Any], services: set[str]) -> str | None:
    split = route.get("split")
    if ("svc" in route) == (split is not None):
        return "it wants a service or a split"
    named = [share["svc"] for share in split] if split else [route["svc"]]
    if why := unknown_service_error(named, services):
        return why
    if split and not sum(share["weight"] for share in split) > 0:
        return "its split has no weight"
    if route["targetMs"] >= route["deadlineMs"] + MAX_TARGET_OVER_DEADLINE_MS:
        return "its targetMs lies a minute or more over its deadlineMs"
    return None
