"""Which members the next epoch has."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.consensus.membership import next_members
from meadowworks.consensus.values import (
    Epoch,
)
from tests.consensus.helpers import A, B, C, D, E


@pytest.mark.parametrize(
    ("tolerate", "members", "silent", "candidates", "leaving", "found"),
    [
        (1, (A, B, C), [], {}, "", None),
        (1, (A, B, C), [], {"c2": "h:2"}, "", (A, B, ("c2", "h:2"))),  # wiped at its address
        (1, (A, B, C), ["c"], {"c2": "h:2"}, "", (A, B, ("c2", "h:2"))),
        (1, (A, B, C), [], {"d": "h:3"}, "", (A, B, C, D)),  # planned: in, then out
        (1, (A, B, C, D), [], {}, "a", (B, C, D)),
        (1, (A, B, C), ["a"], {"d": "h:3"}, "", (B, C, D)),  # sudden
        (1, (A, B, C), [], {"d": "h:3", "e": "h:4"}, "", (A, B, C, D, E)),  # more than 2t+1
        (1, (A, B, C, D, E), ["d"], {}, "", (A, B, C, E)),  # a silent one among extras
        (1, (A, B, C, D, E), ["e", "d"], {}, "a", (B, C, D)),  # who leaves, then the longest silent
        (1, (A, B, C), ["a"], {}, "", None),  # never below 2t+1
        (1, (A, B, C), [], {}, "a", None),
        (2, (A, B, C, D, E), ["e"], {}, "a", None),
        (1, (A, B, C), ["a", "b", "c"], {"d": "h:3"}, "", None),  # no majority in touch
        (1, (A, B, C), ["a", "b"], {"d": "h:3"}, "", (B, C, D)),
        (0, (A,), [], {"b": "h:1"}, "a", (B,)),
    ],
)
def test_the_next_members_are_those_in_touch_and_never_fewer_than_the_settings_speak_of(
    tolerate: int,
    members: tuple[tuple[str, str], ...],
    silent: list[str],
    candidates: dict[str, str],
    leaving: str,
    found: Any,
) -> None:
    assert next_members(Epoch(3, members), tolerate, silent, candidates, leaving) == found
