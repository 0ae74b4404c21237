"""The rule ONE: a lock has one holder at a time, and fences rise from holder to holder.

A caller counts itself holder from the answer to its grant until its hold time after it sent its last good
call, or until it sends the release. A caller that died counts like one that lives on, because no one can
tell the difference.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from meadowworks.coordination.commands import AcquireLock, ReleaseLock, RenewLock
from meadowworks.coordination.results import LockGranted, LockRenewed
from meadowworks.simulation.coordination.history import Call, CallHistory
from meadowworks.simulation.coordination.violation import Rule, Violation
from meadowworks.simulation.event_scheduler import MS


@dataclass(slots=True)
class HoldPeriod:
    """A time during which an owner counts itself holder: from `start_ns` up to but not at `end_ns`."""

    owner: str
    fence: int
    start_ns: int
    end_ns: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A fence that an owner got; `sent_ns` and `answered_ns` are the times of its call."""

    owner: str
    fence: int
    sent_ns: int
    answered_ns: int


def check_lock_exclusion(history: CallHistory) -> Iterator[Violation]:
    """Check each lock of a history."""
    calls_by_lock: dict[str, list[Call]] = defaultdict(list)
    for call in history.calls:
        if isinstance(call.arguments, AcquireLock | RenewLock | ReleaseLock):
            calls_by_lock[call.arguments.name].append(call)
    for name, calls in sorted(calls_by_lock.items()):
        yield from _check_periods(name, hold_periods(calls))
        yield from _check_fences(name, _grants(calls))


def hold_periods(calls: list[Call]) -> list[HoldPeriod]:
    """Return the times during which the callers of one lock count themselves holder."""
    events = [event for call in calls for event in _period_events(call)]
    periods: list[HoldPeriod] = []
    current: dict[str, HoldPeriod] = {}  # by owner
    for at_ns, _, call in sorted(events, key=lambda event: event[:2]):
        _apply_event(at_ns, call, current, periods)
    return periods


def _period_events(call: Call) -> Iterator[tuple[int, int, Call]]:
    """Return the time at which a call changes what its caller counts, and its rank at that time."""
    if isinstance(call.arguments, ReleaseLock):
        yield call.sent_ns, 1, call
    elif isinstance(call.outcome, LockGranted | LockRenewed) and call.answered_ns is not None:
        yield call.answered_ns, 0, call


def _apply_event(at_ns: int, call: Call, current: dict[str, HoldPeriod], periods: list[HoldPeriod]) -> None:
    match call.arguments, call.outcome:
        case AcquireLock(owner=owner, hold_ms=hold_ms), LockGranted(fence):
            end_ns = call.sent_ns + hold_ms * MS
            period = current.get(owner)
            if period is not None and period.fence == fence and at_ns < period.end_ns:
                period.end_ns = max(period.end_ns, end_ns)
                return
            current[owner] = HoldPeriod(owner, fence, at_ns, max(at_ns, end_ns))
            periods.append(current[owner])
        case RenewLock(owner=owner, fence=fence, hold_ms=hold_ms), LockRenewed():
            period = current.get(owner)
            # A renewal that is answered after the time has run out counts for nothing.
            if period is not None and period.fence == fence and at_ns < period.end_ns:
                period.end_ns = max(period.end_ns, call.sent_ns + hold_ms * MS)
        case ReleaseLock(owner=owner, fence=fence), _:
            # The caller counts on no hold after it has sent the release, also not on the time of an earlier
            # acquisition; a late release of an earlier fence ends no later hold.
            for period in periods:
                if period.owner == owner and period.fence <= fence:
                    period.end_ns = min(period.end_ns, at_ns)


def _check_periods(name: str, periods: list[HoldPeriod]) -> Iterator[Violation]:
    active: list[HoldPeriod] = []
    for period in sorted(periods, key=lambda p: (p.start_ns, p.end_ns)):
        if period.start_ns == period.end_ns:
            continue
        active = [other for other in active if other.end_ns > period.start_ns]
        for other in active:
            if other.owner != period.owner:
                yield _violation(
                    f"{other.owner} (fence {other.fence}) and {period.owner} (fence {period.fence})"
                    f" both hold {name} at {period.start_ns} ns"
                )
        active.append(period)


def _grants(calls: list[Call]) -> list[Grant]:
    return [
        Grant(call.arguments.owner, call.outcome.fence, call.sent_ns, call.answered_ns)
        for call in calls
        if isinstance(call.arguments, AcquireLock)
        and isinstance(call.outcome, LockGranted)
        and call.answered_ns is not None
    ]


def _check_fences(name: str, grants: list[Grant]) -> Iterator[Violation]:
    for first, second in combinations(sorted(grants, key=lambda grant: grant.answered_ns), 2):
        if first.owner == second.owner:
            continue
        if first.fence == second.fence:
            yield _violation(f"{first.owner} and {second.owner} both got fence {first.fence} of {name}")
        elif first.answered_ns < second.sent_ns and second.fence < first.fence:
            yield _violation(
                f"{second.owner} got fence {second.fence} of {name} after {first.owner} got {first.fence}"
            )


def _violation(detail: str) -> Violation:
    return Violation(Rule.MUTUAL_EXCLUSION, detail)
