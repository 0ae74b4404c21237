"""What a heartbeat's document must hold. Source: the users' page on the protocol of backends.

The page's example nests the fields in ``details`` and ``status``; its text lists them side by side and calls
some otherwise. Both forms are taken, also mixed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

from meadowworks.registry.backend_state import DRAINING, UP

MAX_TEXT_LENGTH = 200  # characters of an id and of each name; bounds what one backend adds to every message
MAX_CAPACITY = 1e6  # requests at once, far above any real server: a weight stays a sane number
MAX_WARMUP_MS = 3.6e6  # an hour
FIELD_ALIASES = {"service": "svc", "version": "ver", "slots": "capacity"}  # as the page's text calls them


class InvalidHeartbeatError(ValueError):
    """A document that is no heartbeat, in one short sentence. A retry of the same document fails alike."""


@dataclass(slots=True)
class BackendHeartbeat:
    """A heartbeat that has been validated.

    :ivar address: host and port of the backend.
    :ivar capacity: requests that it serves at once.
    :ivar sequence: rises with each heartbeat of the instance.
    """

    service: str
    address: str
    zone: str
    capacity: float
    state: str
    sequence: int
    warmup_ms: float


class BaseHeartbeatSchema(Schema):
    """Ignores unknown fields: newer backends may send more."""

    class Meta:
        """marshmallow's options."""

        unknown = EXCLUDE


class DetailsSchema(BaseHeartbeatSchema):
    """What stays the same for an instance's whole lifetime."""

    svc = fields.String(required=True, validate=validate.Length(min=1, max=MAX_TEXT_LENGTH))
    zone = fields.String(required=True, validate=validate.Length(max=MAX_TEXT_LENGTH))
    capacity = fields.Float(required=True, validate=validate.Range(min=0, max=MAX_CAPACITY))
    ver = fields.String(load_default="", validate=validate.Length(max=MAX_TEXT_LENGTH))


class StatusSchema(BaseHeartbeatSchema):
    """What changes from heartbeat to heartbeat."""

    state = fields.String(required=True, validate=validate.OneOf([UP, DRAINING]))
    calls = fields.Integer(required=True, validate=validate.Range(min=0))
    warmupMs = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=MAX_WARMUP_MS))  # noqa: N815


class HeartbeatSchema(BaseHeartbeatSchema):
    """The whole document."""

    addr = fields.String(required=True, validate=validate.Regexp(r"^[^:\s]{1,200}:[0-9]{1,5}\Z"))
    details = fields.Nested(DetailsSchema, required=True)
    status = fields.Nested(StatusSchema, required=True)


_HEARTBEAT_SCHEMA = HeartbeatSchema()


def parse_heartbeat(document: Any) -> BackendHeartbeat:
    """Validates the JSON document of a heartbeat.

    :raises InvalidHeartbeatError: naming the fields that are wrong.
    """
    try:
        loaded = _HEARTBEAT_SCHEMA.load(_nest_fields(document))
    except ValidationError as error:
        wrong = error.messages
        names = f": {', '.join(sorted(map(str, wrong)))}" if isinstance(wrong, dict) else ""
        raise InvalidHeartbeatError(f"no heartbeat{names}") from None
    details, status = loaded["details"], loaded["status"]
    return BackendHeartbeat(
        service=details["svc"],
        address=loaded["addr"],
        zone=details["zone"],
        capacity=details["capacity"],
        state=status["state"],
        sequence=status["calls"],
        warmup_ms=status["warmupMs"],
    )


def _nest_fields(document: Any) -> Any:
    """Returns a document in the form of the page's example; a nested field wins over one side by side."""
    if not isinstance(document, dict):
        return document
    nested = {"addr": document["addr"]} if "addr" in document else {}
    for name, schema in (("details", DetailsSchema), ("status", StatusSchema)):
        table = document.get(name, {})
        if not isinstance(table, dict):
            return document
        for place in (table, document):
            for key, value in place.items():
                field_name = FIELD_ALIASES.get(key, key)
                if field_name in schema._declared_fields:
                    nested.setdefault(name, {}).setdefault(field_name, value)
    return nested
