"""How old the view of the control plane is."""

from __future__ import annotations

import pytest

from meadowworks.forwarding.staleness import StalenessTracker
from tests.gateway.helpers import SECOND

MS = SECOND // 1000


# When questions left and their replies came (None: never), whether those were sure; and at which moments the
# picture may be spoken from, by the steady clock in milliseconds.
VIEWS: dict[str, tuple[list[tuple[int, int | None, bool]], dict[int, bool]]] = {
    "nobody was asked": ([], {0: False, 5000: False}),
    "pulls that are held back": ([(0, 1000, True), (1000, 2000, True)], {999: False, 1999: True, 3499: True}),
    "nobody sure, for how long ever": ([(k * 1000, k * 1000 + 1000, False) for k in range(9)], {9000: False}),
    "one pull lost": ([(0, 1000, True), (1000, None, True), (2400, 2410, True)], {2411: True}),
    "a reply that is held up": ([(0, 2499, True)], {2499: True, 2500: False}),
    "a reply that comes after a thaw": ([(0, 60_000, True)], {60_000: False}),
    "a freeze after a reply": ([(0, 10, True)], {2499: True, 60_000: False}),
    "replies alone are cut off": ([(0, 10, True), (10, None, True), (1610, None, True)], {2600: False}),
    "a late reply after a newer one": ([(1000, 1100, True), (0, 1200, True)], {3499: True, 3500: False}),
    "the sure one lost, another not sure": ([(0, 10, True), (1000, 1010, False)], {2499: True, 2500: False}),
}


@pytest.mark.parametrize("how", VIEWS)
def test_a_view_is_as_old_as_the_request_that_was_answered(how: str) -> None:
    replies, moments = VIEWS[how]
    for moment, fresh in moments.items():
        tracker = StalenessTracker(2500 * MS)
        for asked, came, sure in replies:
            if came is not None and came <= moment:
                tracker.on_reply(asked * MS, sure)
        assert tracker.is_fresh(moment * MS) == fresh, moment
        assert tracker.has_been_confirmed or not fresh
