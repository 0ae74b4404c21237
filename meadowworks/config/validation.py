"""Reads a configuration and says whether it makes sense. Source: the users' page on the protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

from meadowworks.config.incremental_json import Steps, at_once, reading
from meadowworks.config.route_table import AIM_OVER_MS, PATH, STEP, Route, Splits, compact, usual

VERSION = validate.Regexp(r"^[0-9a-f]{8}$", error="is not eight hexadecimal digits")
NAME = validate.Length(min=1)


class Loose(Schema):
    class Meta:
        unknown = EXCLUDE


class Share(Loose):
    svc = fields.String(required=True, validate=NAME)
    weight = fields.Float(required=True, validate=validate.Range(min=0))


class RouteFields(Loose):
    name = fields.String(required=True, validate=NAME)
    prefix = fields.String(
        required=True, validate=validate.Regexp(r"^/", error="does not begin with a slash")
    )
    type = fields.String(required=True, validate=validate.OneOf(["safe", "unsafe"]))
    deadlineMs = fields.Float(required=True, validate=validate.Range(min=0, min_inclusive=False))
    targetMs = fields.Float(required=True, validate=validate.Range(min=0))
    prio = fields.Integer(load_default=0)
    svc = fields.String()
    split = fields.List(fields.Nested(Share), validate=validate.Length(min=1))
    tries = fields.Integer(load_default=1, validate=validate.Range(min=1))


class Host(Loose):
    host = fields.String(required=True, validate=NAME)
    prefixes = fields.List(fields.Nested(RouteFields), required=True)


class Service(Loose):
    name = fields.String(required=True, validate=NAME)
    healthPath = fields.String(load_default="/")
    maxConns = fields.Integer(load_default=0, validate=validate.Range(min=0))


class LimitFields(Loose):
    maxHeaderBytes = fields.Integer(required=True, validate=validate.Range(min=1))
    maxBodyBytes = fields.Integer(required=True, validate=validate.Range(min=0))
    headerTimeoutMs = fields.Float(required=True, validate=validate.Range(min=1))
    idleTimeoutMs = fields.Float(required=True, validate=validate.Range(min=1))


class Whole(Loose):
    ver = fields.String(required=True, validate=VERSION)
    svcs = fields.List(fields.Nested(Service), required=True)
    limits = fields.Nested(LimitFields, required=True)
    vhosts = fields.List(fields.Nested(Host), required=True)


@dataclass(frozen=True, slots=True)
class Invalid:
    """Why a configuration is not taken; one short sentence."""

    why: str


@dataclass(frozen=True, slots=True)
class Valid:
    version: int


def sentence(messages: Any, at: str = "") -> str:
    if isinstance(messages, dict) and messages:
        key, inner = next(iter(messages.items()))
        return sentence(inner, f"{at}.{key}" if at else str(key))
    return f"{at}: {messages[0] if isinstance(messages, list) and messages else messages}"


WHOLE = Whole()


def element(owner: fields.Field[Any]) -> fields.Field[Any]:
    """The field of a list's elements."""
    assert isinstance(owner, fields.List)
    return owner.inner


SERVICE, HOST = element(WHOLE.fields["svcs"]), element(WHOLE.fields["vhosts"])
ROUTE = element(Host().fields["prefixes"])


def check(body: bytes) -> Valid | Invalid:
    """Whether a configuration, as JSON, may be taken; the number of its version if so."""
    return at_once(checking(body))


def checking(body: bytes) -> Steps[Valid | Invalid]:
    """The same in steps, for what would take long.

    `Whole` describes a configuration. It reads the outermost table, and each service, host and route that has
    not the usual form: reading 52,000 routes of the usual form by it would take seconds. Its verdict comes
    first, by its order of fields; then what it can't see."""
    try:
        nested = yield from reading(body, PATH, compact())
    except (ValueError, RecursionError):
        return Invalid("it cannot be read whole")
    head = nested
    if isinstance(nested, dict):
        head = {k: [] if k in ("svcs", "vhosts") and isinstance(v, list) else v for k, v in nested.items()}
    try:
        found = WHOLE.load(head)
        trouble = {}
    except ValidationError as raised:
        trouble = raised.messages if isinstance(raised.messages, dict) else {"": raised.messages}
    if not isinstance(nested, dict):
        return Invalid(sentence(trouble))
    services: set[str] = set()
    second: Invalid | None = None  # the first thing wrong that the schema can't see
    for field in WHOLE.fields:
        if field in trouble:
            return Invalid(sentence({field: trouble[field]}))
        if field == "svcs":
            for number, service in enumerate(nested["svcs"]):
                try:
                    name: str = usual_service(service) or SERVICE.deserialize(service)["name"]
                except ValidationError as raised:
                    return Invalid(sentence({field: {number: raised.messages}}))
                if name in services and second is None:
                    second = Invalid("a service stands there twice")
                services.add(name)
                if number % STEP == 0:
                    yield
    places: dict[str, set[str]] = {}
    names: set[str] = set()
    splits: Splits = {}
    for number, host in enumerate(nested["vhosts"]):
        try:
            if not usual_host(host):
                HOST.deserialize({**host, "prefixes": []} if own_list(host) else host)
        except ValidationError as raised:
            return Invalid(sentence({"vhosts": {number: raised.messages}}))
        prefixes: list[Any] = host["prefixes"]
        taken = places.setdefault(host["host"].lower(), set())
        for at in range(len(prefixes)):
            raw, prefixes[at] = prefixes[at], None  # let go bit by bit: all at once would take long too
            route = raw if type(raw) is Route else usual(raw, splits)
            why = None
            if route is None:
                try:
                    loaded = ROUTE.deserialize(raw)
                except ValidationError as raised:
                    return Invalid(sentence({"vhosts": {number: {"prefixes": {at: raised.messages}}}}))
                name, prefix, why = loaded["name"], loaded["prefix"], wrong(loaded, services)
            else:
                name, prefix = route.name, route.prefix
                why = unknown([svc for svc, _ in route.split], services)
            if second is None:
                if why:
                    second = Invalid(f"route {name}: {why}")
                elif prefix in taken or name in names:
                    second = Invalid(f"route {name}: its name or its place is another's too")
                taken.add(prefix)
                names.add(name)
            if at % STEP == 0 or route is None:
                yield
    return second or Valid(int(found["ver"], 16))


def usual_service(raw: Any) -> str | None:
    """The name of a service of the usual form."""
    if type(raw) is not dict:
        return None
    name, path, most = raw.get("name"), raw.get("healthPath", "/"), raw.get("maxConns", 0)
    sound = type(name) is str and name and type(path) is str and type(most) is int and most >= 0
    return name if sound else None


def usual_host(raw: Any) -> bool:
    """Whether a host has the usual form, its routes left out."""
    return own_list(raw) and type(raw.get("host")) is str and bool(raw["host"])


def own_list(raw: Any) -> bool:
    return type(raw) is dict and type(raw.get("prefixes")) is list


def unknown(named: list[str], services: set[str]) -> str | None:
    for name in named:
        if name not in services:
            return f"service {name} is unknown"
    return None


def wrong(route: dict[str, Any], services: set[str]) -> str | None:
    split = route.get("split")
    if ("svc" in route) == (split is not None):
        return "it wants a service or a split"
    named = [share["svc"] for share in split] if split else [route["svc"]]
    if why := unknown(named, services):
        return why
    if split and not sum(share["weight"] for share in split) > 0:
        return "its split has no weight"
    if route["targetMs"] >= route["deadlineMs"] + AIM_OVER_MS:
        return "its targetMs lies a minute or more over its deadlineMs"
    return None
