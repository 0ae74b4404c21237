"""Whether a call is tried again, and where; when one that is turned away may come back.

Source: the ways of trying again, 0 to 3, as a controller orders them by route. 0: never. 1: one further try,
at another backend, after proof that the first never ran. 2: one after any failure. 3: two after any failure.
A mutating call is repeated after proof alone, whatever the order says.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass

MAX_RETRIES = (0, 1, 1, 2)  # further tries at most, by way of trying again
RETRY_ANY_FAILURE = 2  # from this way on a repeatable call is tried again after any failure
MIN_ADMISSION_RATIO = (
    0.1  # the least level that a time to come back is reckoned with: the least that is ever ordered
)

SENT, ANSWERED, NEVER_RAN, FAILED, OVERDUE, CANCELLED = range(6)  # what is known of a try


@dataclass(frozen=True, slots=True)
class RouteRetryPolicy:
    """A row a route: what is read of it. Times in nanoseconds."""

    idempotent: bool  # else mutating: must never run twice
    timeout_ns: int  # from a call's coming to its final answer
    attempt_timeout_ns: (
        int  # that a try which may be followed by another is waited for; the last one has all that is left
    )
    min_remaining_ns: int  # with less time left no further try begins
    reply_retention_ns: int  # that an answer is kept for the client's own repeats


@dataclass(slots=True)
class Attempt:
    backend: int
    state: int
    wait_until_ns: int  # until when it is waited for


@dataclass(frozen=True, slots=True)
class Retry:
    backend: int


@dataclass(frozen=True, slots=True)
class NoRetry:
    """No further try; `why` is one of the words below."""

    reason: str


RETRIES_EXHAUSTED = NoRetry("as many tries as the way allows")
MAY_HAVE_RUN = NoRetry("a try may have run")
TOO_LITTLE_TIME = NoRetry("no time left")
NO_OTHER_BACKEND = NoRetry("no other backend")


def pick_by_weight(weights: Mapping[int, float], tried: Container[int], draw: float) -> int | None:
    """A backend of the table by weight, none that was tried. `chance` is from 0 up to, not with, 1."""
    open_to = sorted(
        (place, weight) for place, weight in weights.items() if place not in tried and weight > 0
    )
    point = draw * sum(weight for _, weight in open_to)
    for place, weight in open_to:
        point -= weight
        if point < 0:
            return place
    return open_to[-1][0] if open_to else None  # what rounding left over


def pick_fastest(
    weights: Mapping[int, float],
    tried: Container[int],
    delays: Mapping[int, float],
    draw: float,
) -> int | None:
    """The backend of the table, none that was tried, that is expected to answer first; `delays` holds the
    times, in any one unit. Among equals by weight."""
    open_to = {p: delays.get(p, 0.0) for p, w in weights.items() if w > 0 and p not in tried}
    least = min(open_to.values(), default=0.0)
    return pick_by_weight(
        {p: weights[p] for p, delay in open_to.items() if delay <= least * 1.0001}, (), draw
    )


def none_ran(attempts: Sequence[Attempt]) -> bool:
    """Whether there is proof that none of them ran."""
    return all(one.state == NEVER_RAN for one in attempts)


def retry_obstacle(
    route_policy: RouteRetryPolicy, retry_policy: int, attempts: Sequence[Attempt]
) -> NoRetry | None:
    """What stands against a further try, time and lines aside; nothing if it may be. All tries have ended."""
    if len(attempts) > MAX_RETRIES[retry_policy]:
        return RETRIES_EXHAUSTED
    if not none_ran(attempts) and not (route_policy.idempotent and retry_policy >= RETRY_ANY_FAILURE):
        return MAY_HAVE_RUN
    return None


def decide_retry(
    route_policy: RouteRetryPolicy,
    retry_policy: int,
    attempts: Sequence[Attempt],
    weights: Mapping[int, float],
    remaining_ns: int,
    draw: float,
    delays: Mapping[int, float] | None = None,
) -> Retry | NoRetry:
    """The decision after a try has ended. `lines` is the table as it is now: what drains is not in it. With
    `delays` the quickest goes first, else it is by weight."""
    if against := retry_obstacle(route_policy, retry_policy, attempts):
        return against
    if remaining_ns < max(1, route_policy.min_remaining_ns):
        return TOO_LITTLE_TIME
    tried = {one.backend for one in attempts}
    place = (
        pick_by_weight(weights, tried, draw) if delays is None else pick_fastest(weights, tried, delays, draw)
    )
    return NO_OTHER_BACKEND if place is None else Retry(place)


def attempt_wait_ns(
    route_policy: RouteRetryPolicy,
    retry_policy: int,
    attempts: Sequence[Attempt],
    weights: Mapping[int, float],
    remaining_ns: int,
) -> int:
    """How long the next try is waited for: shorter than all that is left only if another may follow its
    silence, so that nothing is given up early for a try that will never be."""
    next_allowed = (
        retry_policy >= RETRY_ANY_FAILURE
        and route_policy.idempotent
        and len(attempts) < MAX_RETRIES[retry_policy]
    )
    others = {place for place, weight in weights.items() if weight > 0} - {one.backend for one in attempts}
    follows = (
        next_allowed
        and len(others) > 1
        and remaining_ns - route_policy.attempt_timeout_ns >= route_policy.min_remaining_ns
    )
    return route_policy.attempt_timeout_ns if follows else remaining_ns


def retry_after_ns(pace_ns: int, level: float, draw: float) -> int:
    """When one that was turned away may come back: not before levels may have moved (`pace_ns`), later the
    less is let in, and not all at once."""
    return int(pace_ns * (1 + draw) / max(MIN_ADMISSION_RATIO, min(1.0, level)))
