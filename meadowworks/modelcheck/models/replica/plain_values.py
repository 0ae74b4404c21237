"""Conversion of replicas and disks into plain values for the comparison of worlds."""

from __future__ import annotations

from collections import deque
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

# Fields that only matter when time advances, or whose value is part of the key elsewhere.
IGNORED_FIELDS = {
    "random_fraction",
    "_acceptor",  # the replica's acceptor, which the key contains
    "_lease",
    "effects",
    "pending_requests",
    "peers",
    "own_state",
    "condition_since_ns",
    "last_tick_ns",
    "last_check_ns",
}


def to_plain(value: Any) -> Any:
    """Convert a value into numbers, strings and tuples, without `IGNORED_FIELDS`."""
    match value:
        case Enum():
            return to_plain(value.value)
        case None | bool() | int() | str() | bytes():
            return value
        case list() | deque() | tuple():
            return tuple([to_plain(item) for item in value])
        case dict():
            rows = [(k, to_plain(v)) for k, v in value.items() if k not in IGNORED_FIELDS]
            return tuple(sorted(rows, key=repr))
        case set():
            return tuple(sorted(value))
    if is_dataclass(value):
        return (type(value).__name__, *(to_plain(getattr(value, f.name)) for f in fields(value)))
    return (type(value).__name__, to_plain(vars(value)))
