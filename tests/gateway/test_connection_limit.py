"""Tests of `runtime.connection_limit`: which connection is evicted, and when."""

from __future__ import annotations

from meadowworks.runtime.connection_limit import ConnectionLimit, Eviction

GRACE_NS = 10


def full_limit() -> ConnectionLimit[str]:
    """Return a limit of two connections that is reached; the connections were opened at 0 and 1."""
    limit: ConnectionLimit[str] = ConnectionLimit(2, GRACE_NS)
    limit.on_open(0, "first")
    limit.on_open(1, "second")
    return limit


def test_no_connection_is_evicted_below_the_limit() -> None:
    limit: ConnectionLimit[str] = ConnectionLimit(2, GRACE_NS)
    limit.on_open(0, "first")
    assert not limit.is_full()
    assert limit.next_eviction(100) == Eviction(None, 0)


def test_the_oldest_connection_is_evicted_after_its_grace_period() -> None:
    limit = full_limit()
    assert limit.is_full()
    assert limit.next_eviction(4) == Eviction(None, 6)
    assert limit.next_eviction(10) == Eviction("first", 0)


def test_a_protected_connection_is_not_evicted_and_an_idle_one_is_after_a_new_grace_period() -> None:
    limit = full_limit()
    limit.protect("first")
    assert limit.next_eviction(100) == Eviction("second", 0)
    limit.protect("second")
    assert limit.next_eviction(100) == Eviction(None, 0)
    limit.on_idle(100, "first")
    assert limit.next_eviction(104) == Eviction(None, 6)
    assert limit.next_eviction(110) == Eviction("first", 0)


def test_a_closed_connection_makes_room() -> None:
    limit = full_limit()
    limit.on_close("first")
    assert not limit.is_full()
    limit.on_open(5, "third")
    assert limit.next_eviction(11) == Eviction("second", 0)


def test_a_limit_of_zero_allows_one_connection() -> None:
    limit: ConnectionLimit[str] = ConnectionLimit(0, GRACE_NS)
    assert not limit.is_full()
