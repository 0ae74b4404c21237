"""Encoding of flat dataclasses with msgpack, and decoding with checks of all types.

A record is a list of its wire name and its fields in declaration order. The wire names differ from the class
names and must not change. Trailing fields that have their defaults are left out, so that a release that lacks
a new field decodes every record that does not use it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import MISSING, fields
from itertools import product
from typing import Any, Generic, TypeVar, get_args, get_type_hints

import msgpack

RecordT = TypeVar("RecordT")


class FieldCodec(Generic[RecordT]):
    """Converts the records of one dataclass to lists of their fields and back.

    The fields of the dataclass must be plain values: integers, strings, bytes or None.
    """

    def __init__(self, record_type: type[RecordT]) -> None:
        self._record_type = record_type
        annotations = get_type_hints(record_type)
        declared_fields = fields(record_type)  # type: ignore[arg-type]  # any dataclass
        self._names = tuple(field.name for field in declared_fields)
        self._defaults = tuple(field.default for field in declared_fields)
        self._required_count = self._defaults.count(MISSING)
        types_by_field = [allowed_types(annotations[name]) for name in self._names]
        lengths = range(self._required_count, len(self._names) + 1)
        self._signatures = {
            signature for length in lengths for signature in product(*types_by_field[:length])
        }

    def to_list(self, record: RecordT) -> list[Any]:
        """Return the fields of a record, without the trailing ones that have their defaults.

        :raises TypeError: if a field has another type than declared.
        """
        values = [getattr(record, name) for name in self._names]
        self._check_types(values)
        while len(values) > self._required_count and values[-1] == self._defaults[len(values) - 1]:
            values.pop()
        return values

    def from_list(self, raw: Any) -> RecordT:
        """Return the record whose fields `to_list` listed.

        :raises TypeError: if `raw` is not a list, or its values differ from the fields in number or type.
        """
        values = checked_list(raw)
        self._check_types(values)
        return self._record_type(*values)

    def _check_types(self, values: list[Any]) -> None:
        # Exact types prevent True from being taken for 1, as isinstance() would.
        signature = tuple(map(type, values))
        if signature not in self._signatures:
            received = ", ".join(value_type.__name__ for value_type in signature)
            raise TypeError(f"{self._record_type.__name__} has fields of types ({received}), not as declared")


class RecordCodec(Generic[RecordT]):
    """Encodes the records of several dataclasses, each under its wire name."""

    def __init__(self, wire_names: Mapping[type[RecordT], str]) -> None:
        self._wire_names = dict(wire_names)
        self._by_type = {record_type: FieldCodec(record_type) for record_type in wire_names}
        self._by_wire_name = {name: self._by_type[record_type] for record_type, name in wire_names.items()}

    def encode(self, record: RecordT) -> bytes:
        """Return a record as bytes.

        :raises ValueError, TypeError: if `decode` would refuse the record.
        :raises KeyError: if the record is of an unknown dataclass.
        """
        record_type = type(record)
        values = self._by_type[record_type].to_list(record)
        return pack([self._wire_names[record_type], *values])

    def decode(self, data: bytes) -> RecordT:
        """Return the record that `encode` encoded.

        :raises ValueError, TypeError, KeyError: if `data` is not a record.
        """
        wire_name, *values = checked_list(msgpack.unpackb(data))
        return self._by_wire_name[wire_name].from_list(values)


def allowed_types(annotation: Any) -> tuple[type, ...]:
    """Return the types that a field may have: the parts of a union, or the annotated type itself."""
    return get_args(annotation) or (annotation,)


def checked_list(raw: Any) -> list[Any]:
    """Return `raw`.

    :raises TypeError: if it is not a list.
    """
    if type(raw) is not list:
        raise TypeError(f"value is a {type(raw).__name__}, expected a list")
    return raw


def pack(raw: Any) -> bytes:
    """Return plain values as msgpack.

    :raises ValueError: if an integer has more than 64 bits or a string is not valid Unicode.
    """
    try:
        packed: bytes = msgpack.packb(raw)
    except OverflowError as error:
        raise ValueError(f"integer does not fit into 64 bits: {error}") from error
    return packed
