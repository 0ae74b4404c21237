"""The marshmallow schema of the operator's configuration.

Source: the protocol page of the user documentation. Unknown fields are ignored; a field of the wrong type is
an error.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marshmallow import fields, post_load, validate

from meadowworks.config.route_table import ROUTE_TYPES, WeightedService
from meadowworks.runtime.schema_support import LenientSchema

VERSION_FORMAT = validate.Regexp(r"^[0-9a-f]{8}$", error="is not eight hexadecimal digits")
BEGINS_WITH_SLASH = validate.Regexp(r"^/", error="does not begin with a slash")
NON_EMPTY = validate.Length(min=1)


@dataclass(frozen=True, slots=True)
class RouteDefinition:
    """A route as loaded by `RouteSchema`; valid if exactly one of `service` and `split` is set."""

    name: str
    prefix: str
    kind: str
    deadline_ms: float
    target_ms: float
    priority: int
    max_attempts: int
    service: str | None = None
    split: list[WeightedService] | None = None


class WeightedServiceSchema(LenientSchema):
    """An element of a route's `split`."""

    name = fields.String(data_key="svc", required=True, validate=NON_EMPTY)
    weight = fields.Float(required=True, validate=validate.Range(min=0))

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> WeightedService:
        return WeightedService(**data)


class RouteSchema(LenientSchema):
    """An element of a host's `prefixes`."""

    name = fields.String(required=True, validate=NON_EMPTY)
    prefix = fields.String(required=True, validate=BEGINS_WITH_SLASH)
    kind = fields.String(data_key="type", required=True, validate=validate.OneOf(ROUTE_TYPES))
    deadline_ms = fields.Float(
        data_key="deadlineMs", required=True, validate=validate.Range(min=0, min_inclusive=False)
    )
    target_ms = fields.Float(data_key="targetMs", required=True, validate=validate.Range(min=0))
    priority = fields.Integer(data_key="prio", load_default=0)
    service = fields.String(data_key="svc")
    split = fields.List(fields.Nested(WeightedServiceSchema), validate=validate.Length(min=1))
    max_attempts = fields.Integer(data_key="tries", load_default=1, validate=validate.Range(min=1))

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> RouteDefinition:
        return RouteDefinition(**data)


class HostSchema(LenientSchema):
    """An element of `vhosts`."""

    host = fields.String(required=True, validate=NON_EMPTY)
    prefixes = fields.List(fields.Nested(RouteSchema), required=True)


class ServiceSchema(LenientSchema):
    """An element of `svcs`."""

    name = fields.String(required=True, validate=NON_EMPTY)
    health_path = fields.String(data_key="healthPath", load_default="/")
    max_connections = fields.Integer(data_key="maxConns", load_default=0, validate=validate.Range(min=0))


class RequestLimitsSchema(LenientSchema):
    """The `limits` object."""

    max_header_bytes = fields.Integer(
        data_key="maxHeaderBytes", required=True, validate=validate.Range(min=1)
    )
    max_body_bytes = fields.Integer(data_key="maxBodyBytes", required=True, validate=validate.Range(min=0))
    header_timeout_ms = fields.Float(
        data_key="headerTimeoutMs", required=True, validate=validate.Range(min=1)
    )
    idle_timeout_ms = fields.Float(data_key="idleTimeoutMs", required=True, validate=validate.Range(min=1))


class ConfigurationSchema(LenientSchema):
    """The whole configuration; errors are reported in the order of these fields."""

    version = fields.String(data_key="ver", required=True, validate=VERSION_FORMAT)
    services = fields.List(fields.Nested(ServiceSchema), data_key="svcs", required=True)
    limits = fields.Nested(RequestLimitsSchema, data_key="limits", required=True)
    hosts = fields.List(fields.Nested(HostSchema), data_key="vhosts", required=True)
