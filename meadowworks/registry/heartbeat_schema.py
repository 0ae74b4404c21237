"""The schema of a heartbeat document.

Source: the backend protocol page of the user documentation. Its example nests the fields in ``details`` and
``status``; its text lists them flat and under partly different names. Both forms are accepted, also mixed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

from meadowworks.registry.backend_state import DRAINING, UP

MAX_TEXT_LENGTH = 200  # characters of an id or name; bounds the size of a backend in messages
MAX_CAPACITY = 1e6  # concurrent requests, far above any real server; keeps weights in a sane range
MAX_WARMUP_MS = 3.6e6  # one hour
FIELD_ALIASES = {"service": "svc", "version": "ver", "slots": "capacity"}  # names in the page's text


class InvalidHeartbeatError(ValueError):
    """Raised for a malformed document, with one short sentence. A retry with the same document fails, too."""


@dataclass(slots=True)
class BackendHeartbeat:
    """A validated heartbeat.

    :ivar address: host and port of the backend.
    :ivar capacity: the number of requests that it serves concurrently.
    :ivar sequence: increases with each heartbeat of the instance.
    """

    service: str
    address: str
    zone: str
    capacity: float
    state: str
    sequence: int
    warmup_ms: float


class BaseHeartbeatSchema(Schema):
    """A schema that ignores unknown fields, which newer backends may send."""

    class Meta:
        """Options of marshmallow."""

        unknown = EXCLUDE


class DetailsSchema(BaseHeartbeatSchema):
    """The fields that are constant during the lifetime of an instance."""

    svc = fields.String(required=True, validate=validate.Length(min=1, max=MAX_TEXT_LENGTH))
    zone = fields.String(required=True, validate=validate.Length(max=MAX_TEXT_LENGTH))
    capacity = fields.Float(required=True, validate=validate.Range(min=0, max=MAX_CAPACITY))
    ver = fields.String(load_default="", validate=validate.Length(max=MAX_TEXT_LENGTH))


class StatusSchema(BaseHeartbeatSchema):
    """The fields that change from heartbeat to heartbeat."""

    state = fields.String(required=True, validate=validate.OneOf([UP, DRAINING]))
    calls = fields.Integer(required=True, validate=validate.Range(min=0))
    warmupMs = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=MAX_WARMUP_MS))  # noqa: N815


class HeartbeatSchema(BaseHeartbeatSchema):
    """The whole heartbeat document."""

    addr = fields.String(required=True, validate=validate.Regexp(r"^[^:\s]{1,200}:[0-9]{1,5}\Z"))
    details = fields.Nested(DetailsSchema, required=True)
    status = fields.Nested(StatusSchema, required=True)


_HEARTBEAT_SCHEMA = HeartbeatSchema()


def parse_heartbeat(document: Any) -> BackendHeartbeat:
    """Validate the JSON document of a heartbeat.

    :raises InvalidHeartbeatError: with the names of the invalid fields.
    """
    try:
        loaded = _HEARTBEAT_SCHEMA.load(_nest_fields(document))
    except ValidationError as error:
        messages = error.messages
        names = f": {', '.join(sorted(map(str, messages)))}" if isinstance(messages, dict) else ""
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
    """Return a document with nested fields; a nested field takes precedence over a flat one."""
    if not isinstance(document, dict):
        return document
    nested = {"addr": document["addr"]} if "addr" in document else {}
    for name, schema in (("details", DetailsSchema), ("status", StatusSchema)):
        section = document.get(name, {})
        if not isinstance(section, dict):
            return document
        for source in (section, document):
            for key, value in source.items():
                field_name = FIELD_ALIASES.get(key, key)
                if field_name in schema._declared_fields:
                    nested.setdefault(name, {}).setdefault(field_name, value)
    return nested
