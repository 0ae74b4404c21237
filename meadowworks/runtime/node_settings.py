"""What the platform tells a process at its start: the settings file, read and checked.

Source: the users' page on how the system is run. Unknown fields pass; a field of the wrong type does not.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

from meadowworks.runtime.errors import SettingsError

SETTINGS_FILE_VARIABLE = "MEADOWWORKS_NODE_FILE"


class LenientSchema(Schema):
    class Meta:
        unknown = EXCLUDE


def parse_address(text: str) -> tuple[str, int]:
    """`ip:port`. Raises ValidationError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValidationError(f"{text!r} is no address with a port")
    return host, int(port)


class AddressField(fields.String):
    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:
        return parse_address(super()._deserialize(value, attr, data, **kwargs))


class LimitsSchema(LenientSchema):
    memMb = fields.Float(load_default=300.0)
    maxFds = fields.Integer(load_default=1024)


class SelfSchema(LenientSchema):
    node = fields.String(required=True, validate=validate.Length(min=1))
    serves = fields.List(fields.String(), required=True)
    ip = fields.String(required=True)
    zone = fields.String(required=True)
    voting = fields.Boolean(required=True)
    bootstrap = fields.Boolean(required=True)
    datadir = fields.String(required=True, allow_none=True)
    limits = fields.Nested(LimitsSchema, load_default=lambda: {"memMb": 300.0, "maxFds": 1024})


class NetworkSchema(LenientSchema):
    bind = fields.Dict(keys=fields.String(), values=AddressField(), required=True)
    portRange = fields.List(fields.Integer(), required=True, validate=validate.Length(equal=2))
    seeds = fields.List(AddressField(), required=True)
    zones = fields.Dict(keys=fields.String(), values=fields.String(), required=True)


class InfraSchema(LenientSchema):
    heartbeatMs = fields.Integer(required=True, validate=validate.Range(min=1))


class TolerateSchema(LenientSchema):
    nodes = fields.Integer(load_default=0, validate=validate.Range(min=0))


class BoundsSchema(LenientSchema):
    contactMs = fields.Float(load_default=3000.0)
    ackMs = fields.Float(load_default=4000.0)
    drainMs = fields.Float(load_default=2000.0)
    graceS = fields.Float(load_default=6.0)
    applyMs = fields.Float(load_default=2000.0)
    retryRatio = fields.Float(load_default=0.2)
    retryWindowS = fields.Float(load_default=10.0)
    retrySlack = fields.Float(load_default=0.0)


class TermsSchema(LenientSchema):
    tolerate = fields.Nested(TolerateSchema, load_default=lambda: {"nodes": 0})
    bounds = fields.Nested(BoundsSchema, load_default=lambda: BoundsSchema().load({}))


class NodeSettingsSchema(LenientSchema):
    self = fields.Nested(SelfSchema, required=True)
    network = fields.Nested(NetworkSchema, required=True)
    infra = fields.Nested(InfraSchema, required=True)
    terms = fields.Nested(TermsSchema, load_default=lambda: TermsSchema().load({}))


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Milliseconds and seconds as the names say."""

    contact_ms: float
    ack_ms: float
    drain_ms: float
    grace_s: float
    apply_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """A settings file that makes sense. `inner` is the first port that controllers use among themselves;
    `tolerate` how many voting machines may be lost at once."""

    node: str
    roles: tuple[str, ...]
    ip: str
    zone: str
    voting: bool
    bootstrap: bool
    data_dir: str | None
    max_fds: int
    memory_mb: float
    bind: Mapping[str, tuple[str, int]]
    peer_port: int
    seeds: tuple[tuple[str, int], ...]
    zones: tuple[str, ...]
    region_by_zone: Mapping[str, str]
    heartbeat_ms: int
    tolerated_failures: int
    bounds: ServiceBounds


def first_error(messages: Any, at: str = "") -> str:
    if isinstance(messages, dict):
        key, inner = next(iter(messages.items()))
        return first_error(inner, f"{at}.{key}" if at else str(key))
    return f"{at}: {messages[0] if isinstance(messages, list) else messages}"


def parse_settings(text: str | bytes) -> NodeSettings:
    """Raises BadSettings with one sentence that names the field."""
    try:
        nested = json.loads(text)
    except ValueError as trouble:
        raise SettingsError(f"the settings are no JSON: {trouble}") from None
    if not isinstance(nested, dict):
        raise SettingsError("the settings are no table")
    try:
        found = NodeSettingsSchema().load(nested)
    except ValidationError as trouble:
        raise SettingsError(f"settings: {first_error(trouble.messages)}") from None
    me, net, bounds = found["self"], found["network"], found["terms"]["bounds"]
    if me["zone"] not in net["zones"]:
        raise SettingsError(f"settings: self.zone: {me['zone']!r} is none of network.zones")
    for what, name in (("edge", "http"), ("edge", "readyz"), ("ctl", "ctl")):
        if what in me["serves"] and name not in net["bind"]:
            raise SettingsError(f"settings: network.bind: {name} is missing, which {what} needs")
    return NodeSettings(
        node=me["node"],
        roles=tuple(me["serves"]),
        ip=me["ip"],
        zone=me["zone"],
        voting=me["voting"],
        bootstrap=me["bootstrap"],
        data_dir=me["datadir"],
        max_fds=me["limits"]["maxFds"],
        memory_mb=me["limits"]["memMb"],
        bind=net["bind"],
        peer_port=net["portRange"][0],
        seeds=tuple(net["seeds"]),
        zones=tuple(net["zones"]),
        region_by_zone=net["zones"],
        heartbeat_ms=found["infra"]["heartbeatMs"],
        tolerated_failures=found["terms"]["tolerate"]["nodes"],
        bounds=ServiceBounds(
            bounds["contactMs"],
            bounds["ackMs"],
            bounds["drainMs"],
            bounds["graceS"],
            bounds["applyMs"],
            bounds["retryRatio"],
            bounds["retryWindowS"],
            bounds["retrySlack"],
        ),
    )


def load_settings(environ: Mapping[str, str] = os.environ) -> NodeSettings:
    """Raises BadSettings."""
    path = environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set: it names the settings file")
    try:
        return parse_settings(Path(path).read_bytes())
    except OSError as trouble:
        raise SettingsError(f"the settings file {path} cannot be read: {trouble.strerror}") from None
