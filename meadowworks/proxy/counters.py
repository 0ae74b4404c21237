"""Counters of a proxy: responses, and failed requests by route. They appear in its status and its log."""

from __future__ import annotations

from collections.abc import Mapping

from meadowworks.runtime import logging as logs

# Counters other than those of status codes. The names are part of the status reply and must not change.
CLIENT_DISCONNECTED = "clients gone"
NOT_ADMITTED = "let in no more"
CROSS_ZONE_ATTEMPTS = "tries abroad"
# Kinds of route failures. These names must not change either.
ABANDONED_IN_FLIGHT = "broken off"  # rejected while an attempt was in flight
RESPONSE_ABORTED = "broken off midway"  # the client did not read its response
CANCELLED_ON_DISCONNECT = "ended, its client gone"
NO_BACKEND_REACHED = "held without an offer"  # not sent to any backend for much of the latency target
log = logs.get_logger("proxy")


def proxy_response(status: int) -> str:
    """Return the counter of responses that the proxy generates with this status."""
    return f"own {status}"


def failure_without_backend(status: int) -> str:
    """Return the failure kind of a request that was rejected with this status and reached no backend."""
    return f"{status} without an offer"


class ProxyCounters:
    """Counts since the process started."""

    def __init__(self) -> None:
        self.responses: dict[str, int] = {}
        self.route_failures: dict[str, dict[str, int]] = {}  # by route and kind
        self._logged: dict[str, int] = {}  # `responses` as last logged

    def increment(self, counter: str) -> None:
        """Increment a counter of responses or of other events."""
        self.responses[counter] = self.responses.get(counter, 0) + 1

    def count_route_failure(self, route_name: str, kind: str) -> None:
        """Count a failed request of a route."""
        failures = self.route_failures.setdefault(route_name, {})
        failures[kind] = failures.get(kind, 0) + 1

    def log_changes(self, pending_requests: int, retry_windows: Mapping[str, tuple[int, int]]) -> None:
        """Log the counters if they have changed since the last call.

        :param pending_requests: the requests without a response so far
        :param retry_windows: retries and requests in the window of each service's retry budget
        """
        if self.responses != self._logged or pending_requests:
            log.info("responses", counts=dict(self.responses), pending=pending_requests)
            self._logged = dict(self.responses)
        if any(map(any, retry_windows.values())):
            log.info("retry_windows", retries_and_requests=dict(retry_windows))
