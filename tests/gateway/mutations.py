"""What a malformed message may look like: every message that differs in one place."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

ODD_VALUES: tuple[Any, ...] = (None, "", "x", -1, 0, 1.5, True, [], {}, "ff" * 9)


def mutants(whole: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[tuple[Any, ...], Any]]:
    """Every message that differs in one place: left out, or of another kind."""
    rows = list(whole.items()) if isinstance(whole, dict) else list(enumerate(whole))
    for key, value in rows:
        for odd in ODD_VALUES:
            if type(odd) is not type(value):
                changed = copy.deepcopy(whole)
                changed[key] = odd
                yield (*at, key, odd), changed
        if isinstance(whole, dict):
            left = copy.deepcopy(whole)
            del left[key]
            yield (*at, key), left
        if isinstance(value, dict | list):
            for where, inner in mutants(value, (*at, key)):
                changed = copy.deepcopy(whole)
                changed[key] = inner
                yield where, changed
