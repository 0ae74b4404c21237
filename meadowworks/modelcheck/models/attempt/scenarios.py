"""The scenarios: a route, its backends and clients, and the faults that can happen."""

from __future__ import annotations

from dataclasses import dataclass, replace

from meadowworks.attempts.retry_policy import RouteRetryPolicy

# Units of the model's clock. The smallest values that leave time for a retry after an overdue attempt.
TIMEOUT_UNITS = 3
ATTEMPT_TIMEOUT_UNITS = 1
MIN_REMAINING_UNITS = 2
REPLY_RETENTION_UNITS = 1
ADMISSION_INTERVAL_UNITS = 10

# Repeats the product's table of retry policies, so that a change of that table breaks a property.
MAX_RETRIES_BY_POLICY = (0, 1, 1, 2)
NO_RETRIES = 0
FIRST_POLICY_FOR_ANY_FAILURE = 2

MAX_REQUESTS = 2  # of one call
ROUTE = 0  # the only one


@dataclass(frozen=True, slots=True)
class Scenario:
    """An initial state and the events that can follow it.

    :ivar retry_policy: initial policy of the route's table, an index of `MAX_RETRIES_BY_POLICY`.
    :ivar requests_per_call: for each call, the first request and its repeats, at most `MAX_REQUESTS`.
    :ivar max_crashes: limit of proxy crashes.
    :ivar policy_may_change: whether the policy can change to no retries while calls are in flight.
    :ivar max_kept_replies: number of replies that a proxy keeps for repeats.
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
        """The route's configuration of attempts."""
        return RouteRetryPolicy(
            self.idempotent,
            TIMEOUT_UNITS,
            ATTEMPT_TIMEOUT_UNITS,
            MIN_REMAINING_UNITS,
            REPLY_RETENTION_UNITS,
        )


def scenarios(large: bool) -> tuple[Scenario, ...]:
    """Return the scenarios to explore; counterexamples refer to them by index."""
    table = [
        Scenario(idempotent, retry_policy)
        for idempotent in (False, True)
        for retry_policy in range(len(MAX_RETRIES_BY_POLICY))
    ]
    table.append(Scenario(False, 1, max_kept_replies=0))
    if large:
        table = [replace(scenario, backend_count=3) for scenario in table]  # enough for two retries
        two_calls = Scenario(
            False,
            1,
            backend_count=3,
            proxy_count=2,
            requests_per_call=(1, 1),
            policy_may_change=False,
            backends_may_crash=False,
        )
        table += [two_calls, replace(two_calls, idempotent=True, max_crashes=0)]
    return tuple(table)


def waiter_number(key: int, index: int) -> int:
    """Return the number that identifies a call's request at a machine."""
    return key * MAX_REQUESTS + index


def request_index(waiter: int) -> int:
    """Return the index of a request in its call from its waiter number."""
    return waiter % MAX_REQUESTS
