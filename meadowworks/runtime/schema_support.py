"""Shared base of the marshmallow schemas for the settings file and the operator's configuration."""

from __future__ import annotations

from typing import Any

from marshmallow import EXCLUDE, Schema


class LenientSchema(Schema):
    """A schema that ignores unknown fields, because newer versions of a document may have more."""

    class Meta:
        """Options of marshmallow."""

        unknown = EXCLUDE


def first_error(messages: Any, path: str = "") -> str:
    """Return the first validation message, prefixed by the path of its field.

    :param messages: the messages of a `ValidationError`: nested dicts by field, with lists of messages.
    :param path: the path of the field that contains the messages.
    """
    if isinstance(messages, dict) and messages:
        key, inner = next(iter(messages.items()))
        return first_error(inner, f"{path}.{key}" if path else str(key))
    message = messages[0] if isinstance(messages, list) and messages else messages
    return f"{path}: {message}"
