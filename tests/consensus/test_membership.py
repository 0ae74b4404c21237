"""Selection of the members of the next epoch."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.consensus.membership import next_members
from meadowworks.consensus.values import (
    Epoch,
)
from tests.consensus.helpers import A, B, C, D, E


@pytest.mark.parametrize(
    ("tolerated_failures", "members", "silent", "candidates", "leaving", "expected"),
    [
        (1, (A, B, C), [], {}, "", None),
        (1, (A, B, C), [], {"c2": "h:2"}, "", (A, B, ("c2", "h:2"))),  # replaced at the same address
        (1, (A, B, C), ["c"], {"c2": "h:2"}, "", (A, B, ("c2", "h:2"))),
        (1, (A, B, C), [], {"d": "h:3"}, "", (A, B, C, D)),  # planned replacement: add first, remove later
        (1, (A, B, C, D), [], {}, "a", (B, C, D)),
        (1, (A, B, C), ["a"], {"d": "h:3"}, "", (B, C, D)),  # replaces a silent member
        (1, (A, B, C), [], {"d": "h:3", "e": "h:4"}, "", (A, B, C, D, E)),  # above the minimum
        (1, (A, B, C, D, E), ["d"], {}, "", (A, B, C, E)),  # removes a silent member above the minimum
        (1, (A, B, C, D, E), ["e", "d"], {}, "a", (B, C, D)),  # removes the leaving, then the longest silent
        (1, (A, B, C), ["a"], {}, "", None),  # not below the minimum
        (1, (A, B, C), [], {}, "a", None),
        (2, (A, B, C, D, E), ["e"], {}, "a", None),
        (1, (A, B, C), ["a", "b", "c"], {"d": "h:3"}, "", None),  # no reachable majority
        (1, (A, B, C), ["a", "b"], {"d": "h:3"}, "", (B, C, D)),
        (0, (A,), [], {"b": "h:1"}, "a", (B,)),
    ],
)
def test_next_members_replaces_unreachable_members_and_keeps_the_minimum(
    tolerated_failures: int,
    members: tuple[tuple[str, str], ...],
    silent: list[str],
    candidates: dict[str, str],
    leaving: str,
    expected: Any,
) -> None:
    assert next_members(Epoch(3, members), tolerated_failures, silent, candidates, leaving) == expected
