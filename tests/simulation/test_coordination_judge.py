"""The judge of coordination: histories that break a rule, and right ones at the boundary."""

from __future__ import annotations

import pytest

from meadowworks.coordination.commands import AcquireLock, ReleaseLock, RenewLock
from meadowworks.coordination.results import (
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    RevisionMismatch,
)
from meadowworks.simulation.coordination.history import (
    Call,
    CallHistory,
    HistoryBounds,
    InternalFailure,
    KeyMissing,
    NoAnswer,
    Overloaded,
    ReadCellCall,
    Unavailable,
    WatchGroupCall,
)
from meadowworks.simulation.coordination.judge import judge
from meadowworks.simulation.event_scheduler import MS, SECOND
from tests.simulation.coordination_histories import (
    acquire,
    call,
    discarded,
    missing,
    number,
    put,
    read,
    refused_put,
    release,
    renew,
    silent_put,
    watch,
)

BOUNDS = HistoryBounds(history_ns=20 * SECOND, recovery_ns=15 * SECOND)


def broken_rules(*calls: Call, closing_ms: int | None = None) -> set[str]:
    closing_ns = None if closing_ms is None else closing_ms * MS
    return {violation.rule.value for violation in judge(CallHistory(BOUNDS, list(calls), closing_ns))}


WRONG_HISTORIES = {
    "two-holders-after-a-release-of-an-earlier-fence": (
        "ONE",
        [acquire("a", 0, 10, 1), acquire("a", 100, 110, 2), release("a", 200, 1), acquire("b", 500, 600, 3)],
    ),
    "two-holders": ("ONE", [acquire("a", 0, 10, 1), acquire("b", 500, 999, 2)]),
    "two-holders-after-renewal": (
        "ONE",
        [acquire("a", 0, 10, 1), renew("a", 900, 910, 1), acquire("b", 1200, 1899, 2)],
    ),
    "two-holders-with-late-renewal-sent-in-time": (
        "ONE",
        [acquire("a", 0, 10, 1), renew("a", 500, 999, 1), acquire("b", 1100, 1200, 2)],
    ),
    "two-holders-after-repeated-acquire": (
        "ONE",
        [acquire("a", 0, 10, 1), acquire("a", 900, 950, 1), acquire("b", 1100, 1200, 2)],
    ),
    "release-with-another-fence-ends-nothing": (
        "ONE",
        [acquire("a", 0, 10, 2), release("a", 100, 1), acquire("b", 200, 300, 3)],
    ),
    "holder-until-it-sends-its-release": (
        "ONE",
        [acquire("a", 0, 10, 1), acquire("b", 200, 300, 2), release("a", 301, 1)],
    ),
    "short-hold-inside-a-long-one": (
        "ONE",
        [acquire("a", 0, 10, 1, 5000), acquire("b", 100, 110, 2, 50), acquire("c", 1000, 1010, 3)],
    ),
    "fence-below-an-earlier-one": ("ONE", [acquire("a", 0, 10, 5), acquire("b", 2000, 2010, 4)]),
    "fence-below-another-holders-in-between": (
        "ONE",
        [acquire("a", 0, 10, 5), acquire("b", 2000, 2010, 6), acquire("a", 4000, 4010, 5)],
    ),
    "same-fence-twice": ("ONE", [acquire("a", 0, 10, 5), acquire("b", 2000, 2010, 5)]),
    "same-fence-twice-at-once": ("ONE", [acquire("a", 0, 10, 5, 1), acquire("b", 0, 10, 5, 1)]),
    "number-twice": ("ORDER", [number(0, 50, 7), number(0, 60, 7)]),
    "number-below": ("ORDER", [number(0, 50, 7), number(51, 60, 6)]),
    "revision-twice-in-a-group": ("ORDER", [put("g1.a", "x", 0, 10, 1), put("g1.b", "y", 0, 10, 1)]),
    "revision-twice-shown-by-a-read": (
        "ORDER",
        [put("g1.a", "x", 0, 10, 1), silent_put("g1.b", "y", 0), read("g1.b", 20, "y", 1)],
    ),
    "revision-below": ("ORDER", [put("g1.a", "x", 0, 10, 2), put("g1.b", "y", 11, 20, 1)]),
    "conditional-put-over-a-later-revision": (
        "ORDER",
        [put("g1.a", "x", 0, 10, 1), put("g1.a", "y", 11, 20, 2), put("g1.a", "z", 21, 30, 3, expected=1)],
    ),
    "conditional-put-over-a-later-revision-in-doubt": (
        "ORDER",
        [
            put("g1.a", "x", 0, 10, 1),
            silent_put("g1.a", "y", 5),
            put("g1.a", "z", 21, 30, 3, expected=1),
            watch(1, 40, [("g1.a", "y", 2), ("g1.a", "z", 3)], 3),
        ],
    ),
    "creation-over-a-key": ("ORDER", [put("g1.a", "x", 0, 10, 1), put("g1.a", "y", 0, 10, 2, expected=0)]),
    "events-do-not-rise": (
        "ORDER",
        [
            put("g1.a", "x", 0, 10, 1),
            put("g1.a", "y", 0, 10, 2),
            put("g1.a", "z", 0, 10, 3),
            watch(1, 20, [("g1.a", "z", 3), ("g1.a", "y", 2)], 3),
        ],
    ),
    "event-at-the-old-revision": (
        "ORDER",
        [put("g1.a", "x", 0, 10, 1), watch(1, 20, [("g1.a", "x", 1)], 1)],
    ),
    "event-above-the-answer": (
        "ORDER",
        [put("g1.a", "x", 0, 10, 1), put("g1.a", "y", 0, 10, 2), watch(1, 20, [("g1.a", "y", 2)], 1)],
    ),
    "watch-passes-over-a-put": (
        "ORDER",
        [
            put("g1.a", "x", 0, 10, 1),
            put("g1.b", "y", 0, 10, 2),
            put("g1.a", "z", 0, 10, 3),
            watch(1, 20, [("g1.a", "z", 3)], 3),
        ],
    ),
    "watch-passes-over-the-last-put": (
        "ORDER",
        [put("g1.a", "x", 0, 10, 1), put("g1.b", "y", 0, 10, 2), watch(1, 20, [], 2)],
    ),
    "read-below-an-acknowledged-put": (
        "STALE",
        [put("g1.a", "x", 0, 10, 1), put("g1.a", "y", 11, 20, 2), read("g1.a", 21, "x", 1)],
    ),
    "missing-key-after-an-acknowledged-put": ("STALE", [put("g1.a", "x", 0, 10, 1), missing("g1.a", 11)]),
    "value-from-nowhere": ("MIXED", [read("g1.a", 0, "x", 1)]),
    "value-before-its-put": ("MIXED", [read("g1.a", 0, "x", 1), put("g1.a", "x", 20, 30, 1)]),
    "value-of-another-key": ("MIXED", [put("g1.a", "x", 0, 10, 1), read("g1.b", 20, "x", 1)]),
    "event-of-another-group": (
        "MIXED",
        [put("g2.a", "x", 0, 10, 2), watch(1, 20, [("g2.a", "x", 2)], 2)],
    ),
    "value-under-two-revisions": ("MIXED", [put("g1.a", "x", 0, 10, 1), read("g1.a", 20, "x", 2)]),
    "copy-with-another-revision": (
        "MIXED",
        [put("g1.a", "x", 0, 10, 1), put("g1.a", "x", 5, 20, 2)],
    ),
    "mismatch-without-a-put": (
        "MIXED",
        [put("g1.a", "x", 0, 10, 1), refused_put("g1.a", "y", 20, RevisionMismatch(2), expected=5)],
    ),
    "mismatch-with-another-keys-revision": (
        "MIXED",
        [
            put("g1.a", "x", 0, 10, 1),
            put("g1.b", "y", 0, 10, 2),
            silent_put("g1.a", "z", 0),
            refused_put("g1.a", "u", 20, RevisionMismatch(2)),
        ],
    ),
    "two-mismatches-for-one-put-in-doubt": (
        "MIXED",
        [
            silent_put("g1.a", "x", 0),
            refused_put("g1.a", "y", 20, RevisionMismatch(2)),
            refused_put("g1.a", "z", 20, RevisionMismatch(3)),
        ],
    ),
    "mismatch-before-the-put-in-doubt": (
        "MIXED",
        [refused_put("g1.a", "y", 0, RevisionMismatch(2)), silent_put("g1.a", "x", 20)],
    ),
    "value-shown-after-412": (
        "REFUSED",
        [
            put("g1.a", "x", 0, 10, 1),
            refused_put("g1.a", "y", 20, RevisionMismatch(1), expected=0),
            read("g1.a", 40, "y", 2),
        ],
    ),
    "value-shown-after-429": (
        "REFUSED",
        [refused_put("g1.a", "y", 0, Overloaded(), None), read("g1.a", 40, "y", 1)],
    ),
    "value-shown-in-a-watch-after-503": (
        "REFUSED",
        [refused_put("g1.a", "y", 0, Unavailable(), None), watch(1, 40, [("g1.a", "y", 2)], 2)],
    ),
    "copy-in-doubt-succeeds-after-412": (
        "REFUSED",
        [
            put("g1.a", "x", 0, 10, 1),
            silent_put("g1.a", "y", 11, expected=0),
            refused_put("g1.a", "y", 20, RevisionMismatch(1), expected=0),
            read("g1.a", 40, "y", 2),
        ],
    ),
    "412-after-an-acknowledged-copy": (
        "REFUSED",
        [
            put("g1.a", "x", 0, 10, 1, expected=0),
            refused_put("g1.a", "x", 5, RevisionMismatch(1), expected=0),
        ],
    ),
    "410-for-a-recent-revision": ("LOST", [watch(0, 0, [], 5), discarded(5, 15_000, 20_009)]),
    "410-for-a-recent-event": (
        "LOST",
        [
            put("g1.a", "x", 0, 10, 5),
            watch(4, 20, [("g1.a", "x", 5)], 7),
            discarded(5, 15_000, 15_010),
        ],
    ),
}


@pytest.mark.parametrize("name", WRONG_HISTORIES)
def test_wrong_history_breaks_its_rule(name: str) -> None:
    rule, calls = WRONG_HISTORIES[name]
    assert rule in broken_rules(*calls)


RIGHT_HISTORIES = {
    # lab coordination, seed 0: the owner forgot a hold, acquired the lock again and released it.
    "release-after-a-second-acquisition": [
        acquire("a", 0, 10, 1),
        acquire("a", 100, 110, 2, hold_ms=300),
        release("a", 200, 2),
        acquire("b", 500, 600, 3),
    ],
    "next-holder-when-the-time-has-passed": [acquire("a", 0, 10, 1), acquire("b", 500, 1000, 2)],
    "renewal-answered-too-late-counts-for-nothing": [
        acquire("a", 0, 10, 1),
        renew("a", 900, 1001, 1),
        acquire("b", 1000, 1100, 2),
    ],
    "renewals-after-a-late-one-count-for-nothing": [
        acquire("a", 0, 10, 1),
        renew("a", 900, 1001, 1),
        renew("a", 1010, 1020, 1),
        acquire("b", 1020, 1100, 2),
    ],
    "grant-answered-after-its-time": [acquire("a", 0, 1500, 1), acquire("b", 1000, 1100, 2)],
    "release-ends-a-hold-when-sent": [
        acquire("a", 0, 10, 1),
        release("a", 100, 1),
        acquire("b", 90, 100, 2),
    ],
    "same-owner-gets-its-fence-back": [acquire("a", 0, 10, 1), acquire("a", 500, 510, 1)],
    "concurrent-grants-in-any-order": [
        acquire("a", 0, 100, 2, hold_ms=50),
        acquire("b", 90, 200, 1, hold_ms=50),
    ],
    "other-locks-are-independent": [
        acquire("a", 0, 10, 1),
        call("b", AcquireLock("l2", "b", 1000), 20, 30, LockGranted(1)),
    ],
    "refusals-of-locks": [
        acquire("a", 0, 10, 1),
        call("b", AcquireLock("l1", "b", 1000), 20, 30, LockRefused()),
        call("b", RenewLock("l1", "b", 7, 1000), 20, 30, LockLost()),
        call("b", ReleaseLock("l1", "b", 7), 20, 30, LockReleased()),
    ],
    "concurrent-numbers-in-any-order": [number(0, 50, 7), number(50, 60, 6)],
    "numbers-of-other-names": [number(0, 50, 7), number(60, 70, 7, name="n2")],
    "concurrent-revisions-in-any-order": [put("g1.a", "x", 0, 10, 2), put("g1.b", "y", 10, 20, 1)],
    "revisions-of-other-groups": [put("g1.a", "x", 0, 10, 1), put("g2.a", "y", 20, 30, 1)],
    "late-copy-gets-the-first-revision": [
        silent_put("g1.a", "x", 0),
        put("g1.a", "y", 20, 30, 2),
        put("g1.a", "x", 40, 50, 1),
    ],
    "conditional-put-at-the-revision": [
        put("g1.a", "x", 0, 10, 1),
        put("g1.b", "y", 0, 10, 2),
        put("g1.a", "z", 21, 30, 3, expected=1),
    ],
    "copy-of-a-conditional-put": [
        put("g1.a", "x", 0, 10, 1, expected=0),
        put("g1.a", "y", 11, 20, 2, expected=1),
        put("g1.a", "x", 5, 30, 1, expected=0),
    ],
    "watch-with-gaps": [
        put("g1.a", "x", 0, 10, 3),
        watch(1, 20, [("g1.a", "x", 3)], 5),
        watch(5, 40, [], 5),
    ],
    "watch-of-the-present-revision": [put("g1.a", "x", 0, 10, 1), watch(0, 20, [], 1)],
    "watch-of-concurrent-puts": [
        silent_put("g1.a", "x", 0),
        put("g1.b", "y", 0, 100, 3),
        watch(1, 0, [("g1.a", "x", 2)], 2),
    ],
    "read-of-a-concurrent-put": [
        put("g1.a", "x", 0, 10, 1),
        put("g1.a", "y", 11, 20, 2),
        read("g1.a", 20, "x", 1),
        missing("g1.a", 10),
    ],
    "read-of-a-put-in-doubt": [silent_put("g1.a", "x", 0), read("g1.a", 0, "x", 1)],
    "mismatch-that-names-a-put-in-doubt": [
        silent_put("g1.a", "x", 30),
        refused_put("g1.a", "y", 20, RevisionMismatch(2)),
    ],
    "mismatch-of-a-missing-key": [refused_put("g1.a", "y", 20, RevisionMismatch(0), expected=5)],
    "copy-in-doubt-succeeds-after-503": [
        silent_put("g1.a", "x", 0),
        refused_put("g1.a", "x", 20, Unavailable(), None),
        read("g1.a", 40, "x", 1),
    ],
    "value-after-a-failure": [
        refused_put("g1.a", "x", 0, InternalFailure(), None),
        read("g1.a", 40, "x", 1),
    ],
    "410-for-an-old-revision": [watch(0, 0, [], 5), discarded(5, 20_000, 20_010)],
    "410-for-another-callers-revision": [watch(0, 0, [], 5), discarded(5, 100, 110, caller="v")],
}


@pytest.mark.parametrize("name", RIGHT_HISTORIES)
def test_right_history_breaks_no_rule(name: str) -> None:
    assert broken_rules(*RIGHT_HISTORIES[name]) == set()


CLOSING_MS = 60_000
IN_TIME_MS, TOO_LATE_MS = CLOSING_MS + 15_000, CLOSING_MS + 15_001

WRONG_CLOSINGS = {
    "read-behind": [put("g1.a", "x", 0, 10, 1), missing("g1.a", CLOSING_MS)],
    "number-behind": [number(0, 10, 7), number(CLOSING_MS, CLOSING_MS + 10, 7)],
    "fence-behind": [
        acquire("a", 0, 10, 7),
        call("b", AcquireLock("l1", "b", 100), CLOSING_MS, CLOSING_MS + 10, LockGranted(6)),
    ],
    "watch-behind": [
        put("g1.a", "x", 0, 10, 1),
        put("g1.a", "y", 0, 10, 2),
        watch(1, CLOSING_MS, [], 1),
    ],
    "read-without-answer": [call("b", ReadCellCall("g1.a"), CLOSING_MS, None, NoAnswer())],
    "read-turned-away": [call("b", ReadCellCall("g1.a"), CLOSING_MS, CLOSING_MS + 1, Unavailable())],
    "read-too-late": [call("b", ReadCellCall("g1.a"), CLOSING_MS, TOO_LATE_MS, KeyMissing())],
    "number-too-late": [number(CLOSING_MS, TOO_LATE_MS, 7)],
    "lock-never-free": [
        call("b", AcquireLock("l1", "b", 100), CLOSING_MS, CLOSING_MS + 10, LockRefused()),
    ],
    "lock-failed": [
        call("b", AcquireLock("l1", "b", 100), CLOSING_MS, CLOSING_MS + 10, InternalFailure()),
    ],
    "watch-without-answer": [call("w", WatchGroupCall("g1.", 3, 100), CLOSING_MS, None, NoAnswer())],
}


@pytest.mark.parametrize("name", WRONG_CLOSINGS)
def test_wrong_closing_call_is_lost(name: str) -> None:
    assert "LOST" in broken_rules(*WRONG_CLOSINGS[name], closing_ms=CLOSING_MS)


RIGHT_CLOSINGS = {
    "repeated-until-answered-in-time": [
        call("b", ReadCellCall("g1.a"), CLOSING_MS, None, NoAnswer()),
        call("b", ReadCellCall("g1.a"), CLOSING_MS + 1000, IN_TIME_MS, KeyMissing()),
    ],
    "everything-acknowledged": [
        put("g1.a", "x", 0, 10, 1),
        number(0, 10, 7),
        acquire("a", 0, 10, 7),
        read("g1.a", CLOSING_MS, "x", 1),
        number(CLOSING_MS, CLOSING_MS + 10, 8),
        call("b", AcquireLock("l1", "b", 100), CLOSING_MS, CLOSING_MS + 10, LockGranted(8)),
        watch(1, CLOSING_MS, [], 1),
    ],
    "lock-refused-while-held-then-granted": [
        call("b", AcquireLock("l1", "b", 100), CLOSING_MS, CLOSING_MS + 10, LockRefused()),
        call("b", AcquireLock("l1", "b", 100), CLOSING_MS + 3000, CLOSING_MS + 3010, LockGranted(8)),
    ],
    "old-revision-discarded": [watch(0, 0, [], 5), discarded(5, CLOSING_MS, CLOSING_MS + 10)],
}


@pytest.mark.parametrize("name", RIGHT_CLOSINGS)
def test_right_closing_breaks_no_rule(name: str) -> None:
    assert broken_rules(*RIGHT_CLOSINGS[name], closing_ms=CLOSING_MS) == set()
