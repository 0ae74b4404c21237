"""Decides whether and where a call is retried, and when a rejected one may be sent again.

A controller orders a retry policy for each route. 0: no retry. 1: one retry, at another backend, after proof
that the first attempt never ran. 2: one retry after any failure. 3: two retries after any failure. With any
policy, a call that is not idempotent is retried only after such proof.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass

MAX_RETRIES = (0, 1, 1, 2)  # by retry policy
RETRY_ANY_FAILURE = 2  # from this policy on, idempotent calls are retried after any failure
MIN_ADMISSION_RATIO = 0.1  # the least that is ever ordered; retry delays are computed with no less
TIE_TOLERANCE = 1.0001  # delays within this factor of the shortest one count as equal

SENT, ANSWERED, NEVER_RAN, FAILED, OVERDUE, CANCELLED = range(6)  # states of an attempt


@dataclass(frozen=True, slots=True)
class RouteRetryPolicy:
    """The settings of a route for attempts and retries.

    :ivar idempotent: whether calls may run more than once.
    :ivar timeout_ns: from a call's arrival to its final reply.
    :ivar attempt_timeout_ns: how long to wait for an attempt that a retry may follow; the last attempt has
        all the remaining time.
    :ivar min_remaining_ns: the shortest remaining time in which a retry is sent.
    :ivar reply_retention_ns: how long an outcome is kept for repeated requests.
    """

    idempotent: bool
    timeout_ns: int
    attempt_timeout_ns: int
    min_remaining_ns: int
    reply_retention_ns: int


@dataclass(slots=True)
class Attempt:
    """An attempt; `state` is one of the constants from `SENT` to `CANCELLED`."""

    backend: int
    state: int
    wait_until_ns: int


@dataclass(frozen=True, slots=True)
class Retry:
    """The decision to retry at a backend."""

    backend: int


@dataclass(frozen=True, slots=True)
class NoRetry:
    """The decision not to retry, with its reason."""

    reason: str


RETRIES_EXHAUSTED = NoRetry("the retry policy allows no more retries")
MAY_HAVE_RUN = NoRetry("an attempt may have run")
TOO_LITTLE_TIME = NoRetry("too little time left")
NO_OTHER_BACKEND = NoRetry("no other backend")


def pick_by_weight(weights: Mapping[int, float], tried: Container[int], random_fraction: float) -> int | None:
    """Pick a backend that was not tried yet, with a probability in proportion to its weight.

    :param random_fraction: a random number, at least 0 and less than 1.
    :returns: the backend; None if none is left.
    """
    candidates = sorted((b, weight) for b, weight in weights.items() if b not in tried and weight > 0)
    point = random_fraction * sum(weight for _, weight in candidates)
    for backend, weight in candidates:
        point -= weight
        if point < 0:
            return backend
    return candidates[-1][0] if candidates else None  # reached by rounding errors


def pick_fastest(
    weights: Mapping[int, float],
    tried: Container[int],
    delays: Mapping[int, float],
    random_fraction: float,
) -> int | None:
    """Pick the backend with the shortest expected delay that was not tried yet; among equal ones by weight.

    :param delays: expected delays in any unit; 0 for a backend without one.
    :param random_fraction: a random number, at least 0 and less than 1.
    :returns: the backend; None if none is left.
    """
    candidates = {b: delays.get(b, 0.0) for b, w in weights.items() if w > 0 and b not in tried}
    shortest = min(candidates.values(), default=0.0)
    fastest = {b: weights[b] for b, delay in candidates.items() if delay <= shortest * TIE_TOLERANCE}
    return pick_by_weight(fastest, (), random_fraction)


def proven_not_run(attempts: Sequence[Attempt]) -> bool:
    """Return whether there is proof that no attempt was executed."""
    return all(attempt.state == NEVER_RAN for attempt in attempts)


def retry_obstacle(
    route_policy: RouteRetryPolicy, retry_policy: int, attempts: Sequence[Attempt]
) -> NoRetry | None:
    """Return why the ended attempts forbid a retry, apart from time and backends; None if they do not."""
    if len(attempts) > MAX_RETRIES[retry_policy]:
        return RETRIES_EXHAUSTED
    if not proven_not_run(attempts) and not (route_policy.idempotent and retry_policy >= RETRY_ANY_FAILURE):
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
    """Decide whether and where to retry after an attempt has ended.

    :param weights: the current table, without draining backends.
    :param random_fraction: a random number, at least 0 and less than 1.
    :param delays: expected delays by backend, of which the shortest is chosen; None: choose by weight.
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
    """Return how long to wait for the next attempt.

    This is less than the remaining time only if a retry may follow, so that no call is given up early.
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
    """Return the delay after which a rejected call may be sent again.

    The delay is longer at lower admission ratios, and random, so that clients do not return all at once.

    :param admission_interval_ns: the shortest delay, as admission ratios do not change faster.
    :param random_fraction: a random number, at least 0 and less than 1.
    """
    return int(
        admission_interval_ns * (1 + random_fraction) / max(MIN_ADMISSION_RATIO, min(1.0, admission_ratio))
    )
