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

from meadowworks.runtime.errors import BadSettings

VARIABLE = "MEADOWWORKS_NODE_FILE"


class Loose(Schema):
    class Meta:
        unknown = EXCLUDE


def address(text: str) -> tuple[str, int]:
    """`ip:port`. Raises ValidationError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValidationError(f"{text!r} is no address with a port")
    return host, int(port)


class Address(fields.String):
    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:
        return address(super()._deserialize(value, attr, data, **kwargs))


class LimitsFields(Loose):
    memMb = fields.Float(load_default=300.0)
    maxFds = fields.Integer(load_default=1024)


class SelfFields(Loose):
    node = fields.String(required=True, validate=validate.Length(min=1))
    serves = fields.List(fields.String(), required=True)
    ip = fields.String(required=True)
    zone = fields.String(required=True)
    voting = fields.Boolean(required=True)
    bootstrap = fields.Boolean(required=True)
    datadir = fields.String(required=True, allow_none=True)
    limits = fields.Nested(LimitsFields, load_default=lambda: {"memMb": 300.0, "maxFds": 1024})


class NetworkFields(Loose):
    bind = fields.Dict(keys=fields.String(), values=Address(), required=True)
    portRange = fields.List(fields.Integer(), required=True, validate=validate.Length(equal=2))
    seeds = fields.List(Address(), required=True)
    zones = fields.Dict(keys=fields.String(), values=fields.String(), required=True)


class InfraFields(Loose):
    heartbeatMs = fields.Integer(required=True, validate=validate.Range(min=1))


class TolerateFields(Loose):
    nodes = fields.Integer(load_default=0, validate=validate.Range(min=0))


class BoundsFields(Loose):
    contactMs = fields.Float(load_default=3000.0)
    ackMs = fields.Float(load_default=4000.0)
    drainMs = fields.Float(load_default=2000.0)
    graceS = fields.Float(load_default=6.0)
    applyMs = fields.Float(load_default=2000.0)
    retryRatio = fields.Float(load_default=0.2)
    retryWindowS = fields.Float(load_default=10.0)
    retrySlack = fields.Float(load_default=0.0)


class TermsFields(Loose):
    tolerate = fields.Nested(TolerateFields, load_default=lambda: {"nodes": 0})
    bounds = fields.Nested(BoundsFields, load_default=lambda: BoundsFields().load({}))


class BootFields(Loose):
    self = fields.Nested(SelfFields, required=True)
    network = fields.Nested(NetworkFields, required=True)
    infra = fields.Nested(InfraFields, required=True)
    terms = fields.Nested(TermsFields, load_default=lambda: TermsFields().load({}))


@dataclass(frozen=True, slots=True)
class Bounds:
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
class Boot:
    """A settings file that makes sense. `inner` is the first port that controllers use among themselves;
    `tolerate` how many voting machines may be lost at once."""

    node: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    voting: bool
    bootstrap: bool
    datadir: str | None
    max_fds: int
    mem_mb: float
    bind: Mapping[str, tuple[str, int]]
    inner: int
    seeds: tuple[tuple[str, int], ...]
    zones: tuple[str, ...]
    regions: Mapping[str, str]
    heartbeat_ms: int
    tolerate: int
    bounds: Bounds


def first_line(messages: Any, at: str = "") -> str:
    if isinstance(messages, dict):
        key, inner = next(iter(messages.items()))
        return first_line(inner, f"{at}.{key}" if at else str(key))
    return f"{at}: {messages[0] if isinstance(messages, list) else messages}"


def read(text: str | bytes) -> Boot:
    """Raises BadSettings with one sentence that names the field."""
    try:
        nested = json.loads(text)
    except ValueError as trouble:
        raise BadSettings(f"the settings are no JSON: {trouble}") from None
    if not isinstance(nested, dict):
        raise BadSettings("the settings are no table")
    try:
        found = BootFields().load(nested)
    except ValidationError as trouble:
        raise BadSettings(f"settings: {first_line(trouble.messages)}") from None
    me, net, bounds = found["self"], found["network"], found["terms"]["bounds"]
    if me["zone"] not in net["zones"]:
        raise BadSettings(f"settings: self.zone: {me['zone']!r} is none of network.zones")
    for what, name in (("edge", "http"), ("edge", "readyz"), ("ctl", "ctl")):
        if what in me["serves"] and name not in net["bind"]:
            raise BadSettings(f"settings: network.bind: {name} is missing, which {what} needs")
    return Boot(
        node=me["node"],
        serves=tuple(me["serves"]),
        ip=me["ip"],
        zone=me["zone"],
        voting=me["voting"],
        bootstrap=me["bootstrap"],
        datadir=me["datadir"],
        max_fds=me["limits"]["maxFds"],
        mem_mb=me["limits"]["memMb"],
        bind=net["bind"],
        inner=net["portRange"][0],
        seeds=tuple(net["seeds"]),
        zones=tuple(net["zones"]),
        regions=net["zones"],
        heartbeat_ms=found["infra"]["heartbeatMs"],
        tolerate=found["terms"]["tolerate"]["nodes"],
        bounds=Bounds(
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


def load(environ: Mapping[str, str] = os.environ) -> Boot:
    """Raises BadSettings."""
    path = environ.get(VARIABLE)
    if not path:
        raise BadSettings(f"{VARIABLE} is not set: it names the settings file")
    try:
        return read(Path(path).read_bytes())
    except OSError as trouble:
        raise BadSettings(f"the settings file {path} cannot be read: {trouble.strerror}") from None
