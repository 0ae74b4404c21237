"""`runtime.connection_limit`: who makes way when there are too many connections, and when."""

from __future__ import annotations

from meadowworks.runtime.connection_limit import ConnectionLimit, Eviction

GRACE_NS = 10


def full_limit() -> ConnectionLimit[str]:
    """Two connections of two, opened at 0 and 1."""
    limit: ConnectionLimit[str] = ConnectionLimit(2, GRACE_NS)
    limit.on_open(0, "first")
    limit.on_open(1, "second")
    return limit


def test_nobody_makes_way_while_there_is_a_place_left() -> None:
    limit: ConnectionLimit[str] = ConnectionLimit(2, GRACE_NS)
    limit.on_open(0, "first")
    assert not limit.is_full()
    assert limit.next_eviction(100) == Eviction(None, 0)


def test_the_oldest_makes_way_once_its_grace_time_is_over() -> None:
    limit = full_limit()
    assert limit.is_full()
    assert limit.next_eviction(4) == Eviction(None, 6)
    assert limit.next_eviction(10) == Eviction("first", 0)


def test_a_protected_connection_never_makes_way_and_an_idle_one_does_after_a_new_grace_time() -> None:
    limit = full_limit()
    limit.protect("first")
    assert limit.next_eviction(100) == Eviction("second", 0)
    limit.protect("second")
    assert limit.next_eviction(100) == Eviction(None, 0)
    limit.on_idle(100, "first")
    assert limit.next_eviction(104) == Eviction(None, 6)
    assert limit.next_eviction(110) == Eviction("first", 0)


def test_a_closed_connection_gives_its_place_back() -> None:
    limit = full_limit()
    limit.on_close("first")
    assert not limit.is_full()
    limit.on_open(5, "third")
    assert limit.next_eviction(11) == Eviction("second", 0)


def test_one_connection_may_always_be_open() -> None:
    limit: ConnectionLimit[str] = ConnectionLimit(0, GRACE_NS)
    assert not limit.is_full()
