"""Age of the view of the control plane."""

from __future__ import annotations

import pytest

from meadowworks.forwarding.staleness import StalenessTracker
from tests.gateway.helpers import SECOND

MS = SECOND // 1000


# For each case: the pulls, as (sent, replied or None, whether the replying node has a lease), and whether the
# view is fresh at given times. Times are monotonic, in milliseconds.
CASES: dict[str, tuple[list[tuple[int, int | None, bool]], dict[int, bool]]] = {
    "no pull": ([], {0: False, 5000: False}),
    "long polls": ([(0, 1000, True), (1000, 2000, True)], {999: False, 1999: True, 3499: True}),
    "no lease holder at any time": ([(k * 1000, k * 1000 + 1000, False) for k in range(9)], {9000: False}),
    "one pull lost": ([(0, 1000, True), (1000, None, True), (2400, 2410, True)], {2411: True}),
    "a delayed reply": ([(0, 2499, True)], {2499: True, 2500: False}),
    "a reply received after a freeze": ([(0, 60_000, True)], {60_000: False}),
    "a freeze after a reply": ([(0, 10, True)], {2499: True, 60_000: False}),
    "a partition that drops replies only": (
        [(0, 10, True), (10, None, True), (1610, None, True)],
        {2600: False},
    ),
    "a late reply after a newer one": ([(1000, 1100, True), (0, 1200, True)], {3499: True, 3500: False}),
    "lease holder lost, other node without a lease": (
        [(0, 10, True), (1000, 1010, False)],
        {2499: True, 2500: False},
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_a_view_is_as_old_as_the_newest_answered_request(case: str) -> None:
    pulls, freshness = CASES[case]
    for now_ms, is_fresh in freshness.items():
        tracker = StalenessTracker(2500 * MS)
        for sent_ms, replied_ms, has_lease in pulls:
            if replied_ms is not None and replied_ms <= now_ms:
                tracker.on_reply(sent_ms * MS, has_lease)
        assert tracker.is_fresh(now_ms * MS) == is_fresh, now_ms
        assert tracker.has_been_confirmed or not is_fresh
