"""What is given in each world of the model: a route, its backends and clients, and which faults may come."""

from __future__ import annotations

from dataclasses import dataclass, replace

from meadowworks.attempts.retry_policy import RouteRetryPolicy

# In units of the model's clock: as few as let an attempt be overdue and still be followed by another in time.
TIMEOUT_UNITS = 3
ATTEMPT_TIMEOUT_UNITS = 1
MIN_REMAINING_UNITS = 2
REPLY_RETENTION_UNITS = 1
ADMISSION_INTERVAL_UNITS = 10

# Stated here once more, so that the model notices if the product's own table of retry policies changes.
MAX_RETRIES_BY_POLICY = (0, 1, 1, 2)
NO_RETRIES = 0
FIRST_POLICY_FOR_ANY_FAILURE = 2

MAX_REQUESTS = 2  # of one call
ROUTE = 0  # the only one


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a world begins, and what may happen in it.

    :ivar retry_policy: that the route's table orders.
    :ivar requests_per_call: of each call, the client's first and its own repeats, `MAX_REQUESTS` at most.
    :ivar max_crashes: of proxies.
    :ivar policy_may_change: to no retries, while calls are in flight.
    :ivar max_kept_replies: that a proxy keeps for repeats.
    """

    idempotent: bool
    retry_policy: int
    backend_count: int = 2
    proxy_count: int = 1
    requests_per_call: tuple[int, ...] = (2,)
    max_crashes: int = 1
    policy_may_change: bool = True
    backends_may_crash: bool = True
    max_kept_replies: int = 1

    @property
    def route_policy(self) -> RouteRetryPolicy:
        """What the route says about attempts."""
        return RouteRetryPolicy(
            self.idempotent,
            TIMEOUT_UNITS,
            ATTEMPT_TIMEOUT_UNITS,
            MIN_REMAINING_UNITS,
            REPLY_RETENTION_UNITS,
        )


def scenarios(large: bool) -> tuple[Scenario, ...]:
    """The scenarios to explore, by the indices that counterexamples name."""
    chosen = [
        Scenario(idempotent, retry_policy)
        for idempotent in (False, True)
        for retry_policy in range(len(MAX_RETRIES_BY_POLICY))
    ]
    chosen.append(Scenario(False, 1, max_kept_replies=0))
    if large:
        chosen = [replace(scenario, backend_count=3) for scenario in chosen]  # enough for two retries
        two_calls = Scenario(
            False,
            1,
            backend_count=3,
            proxy_count=2,
            requests_per_call=(1, 1),
            policy_may_change=False,
            backends_may_crash=False,
        )
        chosen += [two_calls, replace(two_calls, idempotent=True, max_crashes=0)]
    return tuple(chosen)


def waiter_number(key: int, index: int) -> int:
    """Return the number by which a machine knows a call's request."""
    return key * MAX_REQUESTS + index


def request_index(waiter: int) -> int:
    """Return the place of a request in its call, by the number that a machine knows."""
    return waiter % MAX_REQUESTS
