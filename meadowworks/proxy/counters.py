"""What a proxy counts: responses, and requests that failed by route. Read in its status and its log."""

from __future__ import annotations

from collections.abc import Mapping

from meadowworks.runtime import logging as logs

# Counters beside those of status codes. Their names are read in the status reply: they don't change.
CLIENT_DISCONNECTED = "clients gone"
NOT_ADMITTED = "let in no more"
CROSS_ZONE_ATTEMPTS = "tries abroad"
# Kinds of a route's failures, likewise.
ABANDONED_IN_FLIGHT = "broken off"  # answered while an attempt was in flight
RESPONSE_ABORTED = "broken off midway"  # the client did not read its response
CANCELLED_ON_DISCONNECT = "ended, its client gone"
NO_BACKEND_REACHED = "held without an offer"  # no backend was reached for much of the latency target
log = logs.get_logger("proxy")


def proxy_response(status: int) -> str:
    """The counter of responses that the proxy gives itself."""
    return f"own {status}"


def failure_without_backend(status: int) -> str:
    """The kind of failure of a request that reached no backend."""
    return f"{status} without an offer"


class ProxyCounters:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self.responses: dict[str, int] = {}
        self.route_failures: dict[str, dict[str, int]] = {}  # by route and kind
        self._logged: dict[str, int] = {}  # the responses as they were last logged

    def increment(self, counter: str) -> None:
        """Count a response, or what stands in its place."""
        self.responses[counter] = self.responses.get(counter, 0) + 1

    def count_route_failure(self, route_name: str, kind: str) -> None:
        """Count a request of a route that failed."""
        failures = self.route_failures.setdefault(route_name, {})
        failures[kind] = failures.get(kind, 0) + 1

    def log_changes(self, pending_requests: int, retry_windows: Mapping[str, tuple[int, int]]) -> None:
        """Log the counters, if anything has changed since the last time.

        :param pending_requests: requests that are not answered yet
        :param retry_windows: retries and requests in the window of each service's retry budget
        """
        if self.responses != self._logged or pending_requests:
            log.info("responses", counts=dict(self.responses), pending=pending_requests)
            self._logged = dict(self.responses)
        if any(map(any, retry_windows.values())):
            log.info("retry_windows", retries_and_requests=dict(retry_windows))
