"""The marshmallow schema of the settings file.

Source: the user documentation on operating the system. Unknown fields are ignored; fields of a wrong type are
rejected.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marshmallow import ValidationError, fields, post_load, validate

from meadowworks.runtime.address import Address
from meadowworks.runtime.logging import LogFormat
from meadowworks.runtime.schema_support import LenientSchema

DEFAULT_MEMORY_MB = 300.0  # documented default without `self.limits.memMb`
DEFAULT_MAX_FDS = 1024


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """The service-level bounds that operators rely on.

    :ivar retry_ratio: the maximum number of retries per request in `retry_window_s`, beyond `retry_slack`.
    :ivar history_s: for this long, the events of watched keys must be kept.
    :ivar release_ms: for this long after a lock's time has passed, a refusal to grant it is acceptable.
    """

    contact_ms: float
    ack_ms: float
    drain_ms: float
    grace_s: float
    apply_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    history_s: float
    release_ms: float


@dataclass(frozen=True, slots=True)
class Identity:
    """`self` of the settings file: the identity of this node."""

    node: str
    roles: list[str]
    ip: str
    zone: str
    voting: bool
    bootstrap: bool
    data_dir: str | None
    limits: Limits


@dataclass(frozen=True, slots=True)
class Limits:
    """`self.limits`: the resource limits of this node."""

    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """`network`: the addresses of this node and of its seeds, and the zones."""

    bind: Mapping[str, Address]
    port_range: list[int]
    seeds: list[Address]
    region_by_zone: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Terms:
    """`terms`: the failures to tolerate and the service-level bounds."""

    tolerated_failures: int
    bounds: ServiceBounds


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """The content of the settings file."""

    identity: Identity
    network: NetworkSettings
    heartbeat_ms: int
    terms: Terms
    log_format: LogFormat


class AddressField(fields.String):
    """A field of the form `ip:port`, loaded as an `Address`."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:
        try:
            return Address.parse(super()._deserialize(value, attr, data, **kwargs))
        except ValueError as error:
            if isinstance(error, ValidationError):
                raise
            raise ValidationError(str(error)) from None


class LimitsSchema(LenientSchema):
    """Schema of `self.limits`."""

    memory_mb = fields.Float(data_key="memMb", load_default=DEFAULT_MEMORY_MB)
    max_fds = fields.Integer(data_key="maxFds", load_default=DEFAULT_MAX_FDS)

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> Limits:
        return Limits(**data)


class IdentitySchema(LenientSchema):
    """Schema of `self`."""

    node = fields.String(required=True, validate=validate.Length(min=1))
    roles = fields.List(fields.String(), data_key="serves", required=True)
    ip = fields.String(required=True)
    zone = fields.String(required=True)
    voting = fields.Boolean(required=True)
    bootstrap = fields.Boolean(required=True)
    data_dir = fields.String(data_key="datadir", required=True, allow_none=True)
    limits = fields.Nested(LimitsSchema, load_default=Limits)

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> Identity:
        return Identity(**data)


class NetworkSchema(LenientSchema):
    """Schema of `network`."""

    bind = fields.Dict(keys=fields.String(), values=AddressField(), required=True)
    port_range = fields.List(
        fields.Integer(), data_key="portRange", required=True, validate=validate.Length(equal=2)
    )
    seeds = fields.List(AddressField(), required=True)
    region_by_zone = fields.Dict(
        keys=fields.String(), values=fields.String(), data_key="zones", required=True
    )

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> NetworkSettings:
        return NetworkSettings(**data)


class InfraSchema(LenientSchema):
    """Schema of `infra`."""

    heartbeat_ms = fields.Integer(data_key="heartbeatMs", required=True, validate=validate.Range(min=1))


class TolerateSchema(LenientSchema):
    """Schema of `terms.tolerate`."""

    nodes = fields.Integer(load_default=0, validate=validate.Range(min=0))


class BoundsSchema(LenientSchema):
    """Schema of `terms.bounds`."""

    contact_ms = fields.Float(data_key="contactMs", load_default=3000.0)
    ack_ms = fields.Float(data_key="ackMs", load_default=4000.0)
    drain_ms = fields.Float(data_key="drainMs", load_default=2000.0)
    grace_s = fields.Float(data_key="graceS", load_default=6.0)
    apply_ms = fields.Float(data_key="applyMs", load_default=2000.0)
    retry_ratio = fields.Float(data_key="retryRatio", load_default=0.2)
    retry_window_s = fields.Float(data_key="retryWindowS", load_default=10.0)
    retry_slack = fields.Float(data_key="retrySlack", load_default=0.0)
    history_s = fields.Float(data_key="historyS", load_default=20.0, validate=validate.Range(min=0))
    release_ms = fields.Float(data_key="releaseMs", load_default=1500.0, validate=validate.Range(min=0))

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> ServiceBounds:
        return ServiceBounds(**data)


class TermsSchema(LenientSchema):
    """Schema of `terms`."""

    tolerate = fields.Nested(TolerateSchema, load_default=lambda: TolerateSchema().load({}))
    bounds = fields.Nested(BoundsSchema, load_default=lambda: BoundsSchema().load({}))

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> Terms:
        return Terms(data["tolerate"]["nodes"], data["bounds"])


class LogSchema(LenientSchema):
    """Schema of `log`, an extension by this project."""

    format = fields.Enum(LogFormat, by_value=True, load_default=LogFormat.TEXT)


class SettingsFileSchema(LenientSchema):
    """Schema of the whole settings file."""

    identity = fields.Nested(IdentitySchema, data_key="self", required=True)
    network = fields.Nested(NetworkSchema, required=True)
    infra = fields.Nested(InfraSchema, required=True)
    terms = fields.Nested(TermsSchema, load_default=lambda: TermsSchema().load({}))
    log = fields.Nested(LogSchema, load_default=lambda: LogSchema().load({}))

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> SettingsFile:
        return SettingsFile(
            data["identity"],
            data["network"],
            data["infra"]["heartbeat_ms"],
            data["terms"],
            data["log"]["format"],
        )
