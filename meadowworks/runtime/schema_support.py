"""What the marshmallow schemas of the settings file and of the operator's configuration share."""

from __future__ import annotations

from typing import Any

from marshmallow import EXCLUDE, Schema


class LenientSchema(Schema):
    """A schema that passes over unknown fields: newer versions of a document may have more."""

    class Meta:
        """How marshmallow treats unknown fields."""

        unknown = EXCLUDE


def first_error(messages: Any, path: str = "") -> str:
    """Return the first of marshmallow's messages as one sentence, after the path of its field.

    :param messages: of a `ValidationError`: nested dicts by field, and lists of messages.
    """
    if isinstance(messages, dict) and messages:
        key, inner = next(iter(messages.items()))
        return first_error(inner, f"{path}.{key}" if path else str(key))
    message = messages[0] if isinstance(messages, list) and messages else messages
    return f"{path}: {message}"
