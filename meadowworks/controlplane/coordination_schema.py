"""The documents, names and queries of the API's calls for locks, numbers, keys and watches.

Source: the user documentation on locks, numbers and small keys. Unknown fields are ignored.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import parse_qs

from marshmallow import ValidationError, fields, post_load, validate

from meadowworks.runtime.schema_support import LenientSchema, first_error

MAX_NAME_LENGTH = 256  # characters of the names of locks, numbers, keys, groups and owners
MAX_VALUE_LENGTH = 65_536  # characters
MAX_BODY_BYTES = 1 << 20  # more than a value with all characters escaped; parsing blocks the event loop
MAX_HOLD_MS = 3_600_000  # one hour
MAX_INTEGER = 2**63 - 1  # fits into the integers of msgpack
MAX_DIGITS = 19  # of an integer in a query
DocumentT = TypeVar("DocumentT")


class InvalidCallError(ValueError):
    """Raised for an invalid name, document or query, with one short sentence."""


@dataclass(frozen=True, slots=True)
class LockRequest:
    """The document of `Locks.Start`."""

    owner: str
    hold_ms: int


@dataclass(frozen=True, slots=True)
class LockRenewal:
    """The document of `Locks.Heartbeat`."""

    owner: str
    fence: int
    hold_ms: int


@dataclass(frozen=True, slots=True)
class LockRelease:
    """The document of `Locks.Stop`."""

    owner: str
    fence: int


@dataclass(frozen=True, slots=True)
class CellReplacement:
    """The document of `Cells.Replace`."""

    value: str
    expected_revision: int | None


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """The query of a watch."""

    after: int
    wait_ms: int


class WholeNumber(fields.Integer):
    """A JSON number without a fraction; strings and booleans are rejected."""

    def _validated(self, value: Any) -> Any:
        if isinstance(value, bool | str) or (isinstance(value, float) and not value.is_integer()):
            raise self.make_error("invalid")
        return super()._validated(value)


class UnicodeText(fields.String):
    """A string that has a UTF-8 encoding; JSON can also contain lone surrogates, which have none."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:
        text = super()._deserialize(value, attr, data, **kwargs)
        if not is_valid_unicode(text):
            raise self.make_error("invalid_utf8")
        return text


def _owner_field() -> UnicodeText:
    return UnicodeText(required=True, validate=validate.Length(min=1, max=MAX_NAME_LENGTH))


def _fence_field() -> WholeNumber:
    return WholeNumber(required=True, validate=validate.Range(min=0, max=MAX_INTEGER))


def _hold_field() -> WholeNumber:
    return WholeNumber(data_key="holdMs", required=True, validate=validate.Range(min=1, max=MAX_HOLD_MS))


class LockRequestSchema(LenientSchema):
    """Schema of `LockRequest`."""

    owner = _owner_field()
    hold_ms = _hold_field()

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> LockRequest:
        return LockRequest(**data)


class LockRenewalSchema(LenientSchema):
    """Schema of `LockRenewal`."""

    owner = _owner_field()
    fence = _fence_field()
    hold_ms = _hold_field()

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> LockRenewal:
        return LockRenewal(**data)


class LockReleaseSchema(LenientSchema):
    """Schema of `LockRelease`."""

    owner = _owner_field()
    fence = _fence_field()

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> LockRelease:
        return LockRelease(**data)


class CellReplacementSchema(LenientSchema):
    """Schema of `CellReplacement`."""

    value = UnicodeText(required=True, validate=validate.Length(max=MAX_VALUE_LENGTH))
    expected_revision = WholeNumber(
        data_key="enabled",
        load_default=None,
        allow_none=True,
        validate=validate.Range(min=0, max=MAX_INTEGER),
    )

    @post_load
    def _build(self, data: dict[str, Any], **_: Any) -> CellReplacement:
        return CellReplacement(**data)


class EmptySchema(LenientSchema):
    """Schema of a document without fields."""


_LOCK_REQUEST_SCHEMA = LockRequestSchema()
_LOCK_RENEWAL_SCHEMA = LockRenewalSchema()
_LOCK_RELEASE_SCHEMA = LockReleaseSchema()
_CELL_REPLACEMENT_SCHEMA = CellReplacementSchema()
_EMPTY_SCHEMA = EmptySchema()


def parse_lock_request(body: bytes) -> LockRequest:
    """Parse the document of `Locks.Start`.

    :raises InvalidCallError: the document is invalid.
    """
    return _parse(body, _LOCK_REQUEST_SCHEMA, LockRequest)


def parse_lock_renewal(body: bytes) -> LockRenewal:
    """Parse the document of `Locks.Heartbeat`.

    :raises InvalidCallError: the document is invalid.
    """
    return _parse(body, _LOCK_RENEWAL_SCHEMA, LockRenewal)


def parse_lock_release(body: bytes) -> LockRelease:
    """Parse the document of `Locks.Stop`.

    :raises InvalidCallError: the document is invalid.
    """
    return _parse(body, _LOCK_RELEASE_SCHEMA, LockRelease)


def parse_cell_replacement(body: bytes) -> CellReplacement:
    """Parse the document of `Cells.Replace`.

    :raises InvalidCallError: the document is invalid.
    """
    return _parse(body, _CELL_REPLACEMENT_SCHEMA, CellReplacement)


def check_empty_document(body: bytes) -> None:
    """Check the document of `numbers`, which has no fields.

    :raises InvalidCallError: the body is not a JSON object.
    """
    _parse(body, _EMPTY_SCHEMA, dict)


def parse_name(text: str) -> str:
    """Return a name from a path.

    :raises InvalidCallError: it is empty or too long.
    """
    if not 1 <= len(text) <= MAX_NAME_LENGTH or not is_valid_unicode(text):
        raise InvalidCallError(f"a name must have 1 to {MAX_NAME_LENGTH} characters")
    return text


def parse_watch_query(query: bytes) -> WatchQuery:
    """Parse the query of a watch; without `waitMs` it does not wait.

    :raises InvalidCallError: a number is missing or invalid.
    """
    values = parse_qs(query.decode("latin-1"), keep_blank_values=True)
    after = _parse_integer("after", values.get("after", [""])[0])
    if after < 0:
        raise InvalidCallError("after: must be 0 or more")
    return WatchQuery(after, _parse_integer("waitMs", values.get("waitMs", ["0"])[0]))


def is_valid_unicode(text: str) -> bool:
    """Return whether a string has a UTF-8 encoding."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_integer(name: str, text: str) -> int:
    digits = text.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        raise InvalidCallError(f"{name}: must be a whole number")
    return int(text)


def _parse(body: bytes, schema: LenientSchema, document_type: type[DocumentT]) -> DocumentT:
    if len(body) > MAX_BODY_BYTES:
        raise InvalidCallError(f"the document has more than {MAX_BODY_BYTES} bytes")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidCallError("no JSON") from None
    try:
        loaded = schema.load(document)
    except ValidationError as error:
        raise InvalidCallError(first_error(error.messages)) from None
    assert isinstance(loaded, document_type)
    return loaded
