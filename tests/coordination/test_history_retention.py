"""Events are kept while a caller may resume before them, and no longer."""

from __future__ import annotations

from meadowworks.coordination.history_retention import HistoryRetention

SECOND = 1_000_000_000
HISTORY_S = 20


def retention_with_puts(*puts: tuple[int, int]) -> HistoryRetention:
    """Return the retention of a leader that has applied puts, given by their seconds and log indexes."""
    retention = HistoryRetention(HISTORY_S * SECOND)
    for at_s, index in puts:
        retention.note_put(at_s * SECOND, index)
    return retention


def discardable(retention: HistoryRetention, at_s: float) -> int | None:
    index = retention.discardable_index(int(at_s * SECOND))
    if index is not None:
        retention.on_discard_proposed(index)
    return index


def test_events_are_discarded_at_twice_the_guaranteed_age() -> None:
    retention = retention_with_puts((0, 5), (10, 9))
    assert discardable(retention, 39.9) is None
    assert discardable(retention, 40) == 5
    assert discardable(retention, 40) is None
    assert discardable(retention, 50) == 9


# review/3: a watcher that is far behind received an old revision and got 410 for it 15 s later.
def test_events_above_a_revision_that_was_handed_out_late_are_kept_from_then_on() -> None:
    retention = retention_with_puts((0, 5), (1, 9))
    assert retention.retain(37 * SECOND, 6)
    assert discardable(retention, 41) == 5
    assert discardable(retention, 37 + HISTORY_S) is None
    assert discardable(retention, 37 + 2 * HISTORY_S) == 9


def test_a_revision_that_is_handed_out_again_and_again_keeps_its_events_no_longer_than_that() -> None:
    retention = retention_with_puts((0, 5), (1, 9))
    for at_s in range(30, 60):
        assert retention.retain(at_s * SECOND, 6)
        discardable(retention, at_s)
    assert discardable(retention, 59 + HISTORY_S) is None
    assert discardable(retention, 59 + 2 * HISTORY_S) == 9
    assert len(retention._retained) == 0


def test_an_event_whose_discard_was_proposed_cannot_be_kept() -> None:
    retention = retention_with_puts((0, 5))
    assert discardable(retention, 40) == 5
    assert not retention.retain(40 * SECOND, 5)
    assert retention.retain(40 * SECOND, 6)


def test_a_new_leader_keeps_everything_for_the_whole_age() -> None:
    retention = retention_with_puts((0, 5))
    retention.restart()
    retention.note_put(35 * SECOND, 5)
    assert discardable(retention, 74.9) is None
    assert discardable(retention, 75) == 5


def test_events_must_be_kept_while_they_are_young_or_retained() -> None:
    retention = retention_with_puts((0, 5), (30, 9))
    assert not retention.must_keep(30 * SECOND, 5)
    assert retention.must_keep(30 * SECOND, 6)
    assert retention.retain(30 * SECOND, 5)
    assert retention.must_keep(50 * SECOND, 5)
    assert not retention.must_keep(30 * SECOND + 2 * HISTORY_S * SECOND, 5)
