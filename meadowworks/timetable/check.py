"""Reads a configuration and says whether it makes sense. Source: the users' page on the protocol."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

AIM_OVER_MS = 60_000  # a target may lie less than a minute over its route's deadline
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


def check(body: bytes) -> Valid | Invalid:
    """Whether a configuration, as JSON, may be taken; the number of its version if so."""
    try:
        nested = json.loads(body)
    except (ValueError, RecursionError):
        return Invalid("it cannot be read whole")
    try:
        found = Whole().load(nested)
    except ValidationError as trouble:
        return Invalid(sentence(trouble.messages))
    services = [s["name"] for s in found["svcs"]]
    if len(set(services)) < len(services):
        return Invalid("a service stands there twice")
    seen: set[tuple[str, str]] = set()
    names: set[str] = set()
    for host in found["vhosts"]:
        for route in host["prefixes"]:
            if why := wrong(route, set(services)):
                return Invalid(f"route {route['name']}: {why}")
            place = (host["host"].lower(), route["prefix"])
            if place in seen or route["name"] in names:
                return Invalid(f"route {route['name']}: its name or its place is another's too")
            seen.add(place)
            names.add(route["name"])
    return Valid(int(found["ver"], 16))


def wrong(route: dict[str, Any], services: set[str]) -> str | None:
    split = route.get("split")
    if ("svc" in route) == (split is not None):
        return "it wants a service or a split"
    named = [share["svc"] for share in split] if split else [route["svc"]]
    for name in named:
        if name not in services:
            return f"service {name} is unknown"
    if split and not sum(share["weight"] for share in split) > 0:
        return "its split has no weight"
    if route["targetMs"] >= route["deadlineMs"] + AIM_OVER_MS:
        return "its targetMs lies a minute or more over its deadlineMs"
    return None
