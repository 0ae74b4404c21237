"""The event scheduler runs events in order and not before their time."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.event_scheduler import SECOND, EventScheduler


def test_events_run_by_time_then_by_order_of_scheduling() -> None:
    scheduler, seen = EventScheduler(), list[str]()
    for when_ns, name in ((2 * SECOND, "late"), (SECOND, "first"), (SECOND, "second")):
        scheduler.call_at(when_ns, partial(seen.append, name))
    scheduler.run_until(SECOND)
    assert seen == ["first", "second"]
    assert scheduler.now == SECOND
    scheduler.run_until(3 * SECOND)
    assert seen == ["first", "second", "late"]
    assert scheduler.now == 3 * SECOND


def test_event_in_the_past_runs_at_the_current_time() -> None:
    scheduler, times = EventScheduler(), list[int]()
    scheduler.call_at(SECOND, lambda: scheduler.call_at(0, lambda: times.append(scheduler.now)))
    scheduler.run_until(SECOND)
    assert times == [SECOND]
