"""Whether a call is retried, and where; when one that is rejected may come back.

Source: the retry policies 0 to 3, as a controller orders them by route. 0: none. 1: one retry, at another
backend, after proof that the first attempt never ran. 2: one after any failure. 3: two after any failure. A
call that is not idempotent is retried after proof alone, whatever the order says.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass

MAX_RETRIES = (0, 1, 1, 2)  # by retry policy
RETRY_ANY_FAILURE = 2  # from this retry policy on an idempotent call is retried after any failure
MIN_ADMISSION_RATIO = 0.1  # the least that is ever ordered; a time to come back is computed with no less
TIE_TOLERANCE = 1.0001  # delays within this factor of the least count as equal

SENT, ANSWERED, NEVER_RAN, FAILED, OVERDUE, CANCELLED = range(6)  # what is known of an attempt


@dataclass(frozen=True, slots=True)
class RouteRetryPolicy:
    """What a route says about attempts.

    :ivar idempotent: else the call must never run twice.
    :ivar timeout_ns: from a call's arrival to its final answer.
    :ivar attempt_timeout_ns: for which an attempt that may be followed by another is waited for; the last one
        has all that is left.
    :ivar min_remaining_ns: with less time left there is no retry.
    :ivar reply_retention_ns: for which an answer is kept for the client's own repeats.
    """

    idempotent: bool
    timeout_ns: int
    attempt_timeout_ns: int
    min_remaining_ns: int
    reply_retention_ns: int


@dataclass(slots=True)
class Attempt:
    """One attempt; `state` is one of the constants above."""

    backend: int
    state: int
    wait_until_ns: int


@dataclass(frozen=True, slots=True)
class Retry:
    """Try this backend next."""

    backend: int


@dataclass(frozen=True, slots=True)
class NoRetry:
    """No retry, for one of the reasons below."""

    reason: str


RETRIES_EXHAUSTED = NoRetry("as many retries as the policy allows")
MAY_HAVE_RUN = NoRetry("an attempt may have run")
TOO_LITTLE_TIME = NoRetry("no time left")
NO_OTHER_BACKEND = NoRetry("no other backend")


def pick_by_weight(weights: Mapping[int, float], tried: Container[int], random_fraction: float) -> int | None:
    """A backend of the table by weight, none that was tried.

    :param random_fraction: a random number from 0 up to, not with, 1.
    :returns: the backend; None if there is none left.
    """
    candidates = sorted((b, weight) for b, weight in weights.items() if b not in tried and weight > 0)
    point = random_fraction * sum(weight for _, weight in candidates)
    for backend, weight in candidates:
        point -= weight
        if point < 0:
            return backend
    return candidates[-1][0] if candidates else None  # what rounding left over


def pick_fastest(
    weights: Mapping[int, float],
    tried: Container[int],
    delays: Mapping[int, float],
    random_fraction: float,
) -> int | None:
    """The backend, none that was tried, that is expected to answer first; among equals by weight.

    :param delays: the expected times, in any one unit; 0 where there is none.
    :returns: the backend; None if there is none left.
    """
    candidates = {b: delays.get(b, 0.0) for b, w in weights.items() if w > 0 and b not in tried}
    least = min(candidates.values(), default=0.0)
    fastest = {b: weights[b] for b, delay in candidates.items() if delay <= least * TIE_TOLERANCE}
    return pick_by_weight(fastest, (), random_fraction)


def none_ran(attempts: Sequence[Attempt]) -> bool:
    """Whether there is proof that none of them ran."""
    return all(attempt.state == NEVER_RAN for attempt in attempts)


def retry_obstacle(
    route_policy: RouteRetryPolicy, retry_policy: int, attempts: Sequence[Attempt]
) -> NoRetry | None:
    """What forbids a retry, time and backends aside; None if nothing does. All attempts have ended."""
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
    random_fraction: float,
    delays: Mapping[int, float] | None = None,
) -> Retry | NoRetry:
    """The decision after an attempt has ended.

    :param weights: the table as it is now: what drains is not in it.
    :param delays: if given, the fastest backend is next, else one by weight.
    """
    if obstacle := retry_obstacle(route_policy, retry_policy, attempts):
        return obstacle
    if remaining_ns < max(1, route_policy.min_remaining_ns):
        return TOO_LITTLE_TIME
    tried = {attempt.backend for attempt in attempts}
    if delays is None:
        backend = pick_by_weight(weights, tried, random_fraction)
    else:
        backend = pick_fastest(weights, tried, delays, random_fraction)
    return NO_OTHER_BACKEND if backend is None else Retry(backend)


def attempt_wait_ns(
    route_policy: RouteRetryPolicy,
    retry_policy: int,
    attempts: Sequence[Attempt],
    weights: Mapping[int, float],
    remaining_ns: int,
) -> int:
    """How long the next attempt is waited for.

    That is less than all that remains only if another may follow its silence, so that nothing is given up
    early for an attempt that will never be.
    """
    allowed = (
        retry_policy >= RETRY_ANY_FAILURE
        and route_policy.idempotent
        and len(attempts) < MAX_RETRIES[retry_policy]
    )
    others = {b for b, weight in weights.items() if weight > 0} - {attempt.backend for attempt in attempts}
    left_ns = remaining_ns - route_policy.attempt_timeout_ns
    may_follow = allowed and len(others) > 1 and left_ns >= route_policy.min_remaining_ns
    return route_policy.attempt_timeout_ns if may_follow else remaining_ns


def retry_after_ns(admission_interval_ns: int, admission_ratio: float, random_fraction: float) -> int:
    """When a rejected call may come back.

    :param admission_interval_ns: limits do not move faster than this, so not before; later the less is
        admitted, and not all at once.
    """
    return int(
        admission_interval_ns * (1 + random_fraction) / max(MIN_ADMISSION_RATIO, min(1.0, admission_ratio))
    )
