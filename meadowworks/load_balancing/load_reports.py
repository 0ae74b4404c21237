"""Load reports: counts of the attempts and requests at a proxy, which the control plane sums by zone.

A proxy sends its counts with each pull. A control-plane node adds up the reports of a zone's proxies over a
second and publishes the sums as one update, so that traffic between zones does not grow with the number of
proxies.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

LOAD_REPORT_PREFIX = "f/"  # of the keys under which reports of zones are published
# Positions in the sums of a backend.
ATTEMPTS, FAILURES, ELAPSED_MS, LOAD_SAMPLES, RUNNING, WAITING = range(6)


class BackendSums(NamedTuple):
    """The sums of one backend in a report.

    :ivar elapsed_ms: total time of the answered attempts.
    :ivar load_samples: number of responses that stated the load of the backend.
    :ivar running: requests running there, summed over these responses.
    :ivar waiting: requests waiting there, summed over these responses.
    """

    instance_id: str
    attempts: int
    failures: int
    elapsed_ms: int
    load_samples: int
    running: int
    waiting: int


@dataclass(slots=True)
class LoadReport:
    """Counts by backend, and requests by service."""

    backend_counts: dict[str, list[float]] = field(default_factory=dict)
    service_requests: dict[str, int] = field(default_factory=dict)

    def record_attempt(self, backend_id: str, answered: bool, elapsed_ms: float) -> None:
        """Count an attempt that has ended."""
        counts = self._counts(backend_id)
        counts[ATTEMPTS] += 1
        counts[FAILURES] += not answered
        counts[ELAPSED_MS] += elapsed_ms if answered else 0.0

    def record_backend_load(self, backend_id: str, running: int, waiting: int) -> None:
        """Count the load that a response stated of its backend."""
        counts = self._counts(backend_id)
        counts[LOAD_SAMPLES] += 1
        counts[RUNNING] += running
        counts[WAITING] += waiting

    def record_request(self, service: str) -> None:
        """Count a request of a service."""
        self.service_requests[service] = self.service_requests.get(service, 0) + 1

    def merge(self, packed: Any) -> None:
        """Add the counts of a report that `pack` has encoded.

        :raises ValueError: if a value of the report is malformed.
        :raises TypeError: if the structure of the report is malformed.
        """
        backends, services = packed
        for backend_id, *added in backends:
            if len(added) != 6 or not all(isinstance(count, int) for count in added):
                raise ValueError(f"the sums of backend {backend_id!r} are not 6 integers")
            counts = self._counts(str(backend_id))
            for position, count in enumerate(added):
                counts[position] += count
        for service, requests in services:
            self.service_requests[str(service)] = self.service_requests.get(str(service), 0) + int(requests)

    def pack(self) -> list[Any]:
        """Return the report in its wire format: the sums of backends, and the requests of services."""
        return [
            [list(sums) for sums in self.backend_sums()],
            [[service, requests] for service, requests in self.service_requests.items()],
        ]

    def backend_sums(self) -> list[BackendSums]:
        """Return the sums of all backends, with times rounded to milliseconds."""
        return [BackendSums(name, *map(round, counts)) for name, counts in self.backend_counts.items()]

    def _counts(self, backend_id: str) -> list[float]:
        return self.backend_counts.setdefault(backend_id, [0] * 6)

    def __bool__(self) -> bool:
        return bool(self.backend_counts or self.service_requests)
