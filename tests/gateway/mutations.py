"""Malformed messages: all variants of a message with one mutation."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

INVALID_VALUES: tuple[Any, ...] = (None, "", "x", -1, 0, 1.5, True, [], {}, "ff" * 9)


def mutants(message: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[tuple[Any, ...], Any]]:
    """Yield the path of a mutation and the mutated message: one value is missing or has another type."""
    items = list(message.items()) if isinstance(message, dict) else list(enumerate(message))
    for key, value in items:
        for invalid_value in INVALID_VALUES:
            if type(invalid_value) is not type(value):
                mutant = copy.deepcopy(message)
                mutant[key] = invalid_value
                yield (*path, key, invalid_value), mutant
        if isinstance(message, dict):
            shortened = copy.deepcopy(message)
            del shortened[key]
            yield (*path, key), shortened
        if isinstance(value, dict | list):
            for inner_path, inner_mutant in mutants(value, (*path, key)):
                mutant = copy.deepcopy(message)
                mutant[key] = inner_mutant
                yield inner_path, mutant
