"""Load reports: what a proxy counts of the responses that it forwards, summed by zone in the control plane.

A proxy sums between its pulls. A control-plane node adds up what the proxies of a zone have reported over a
second, and publishes that as an update. So the bytes between zones do not grow with the number of proxies.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

LOAD_REPORT_PREFIX = "f/"  # of the keys under which zones' reports are published
# Places in the sums of a backend.
ATTEMPTS, FAILURES, ELAPSED_MS, LOAD_SAMPLES, RUNNING, WAITING = range(6)


class BackendSums(NamedTuple):
    """The sums of one backend, as they stand in a report.

    `elapsed_ms` is of the attempts that were answered; `running` and `waiting` are the requests there, summed
    over the `load_samples` times that a response said them.
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
    """Sums by backend, and requests by service."""

    backend_counts: dict[str, list[float]] = field(default_factory=dict)
    service_requests: dict[str, int] = field(default_factory=dict)

    def record_attempt(self, backend_id: str, answered: bool, elapsed_ms: float) -> None:
        """Count an attempt that has ended."""
        counts = self._counts(backend_id)
        counts[ATTEMPTS] += 1
        counts[FAILURES] += not answered
        counts[ELAPSED_MS] += elapsed_ms if answered else 0.0

    def record_backend_load(self, backend_id: str, running: int, waiting: int) -> None:
        """Count what a response said of its backend's load."""
        counts = self._counts(backend_id)
        counts[LOAD_SAMPLES] += 1
        counts[RUNNING] += running
        counts[WAITING] += waiting

    def record_request(self, service: str) -> None:
        """Count a request of a service."""
        self.service_requests[service] = self.service_requests.get(service, 0) + 1

    def merge(self, packed: Any) -> None:
        """Add a report as `pack` has made it.

        :raises ValueError: it is malformed
        :raises TypeError: it is malformed
        """
        backends, services = packed
        for backend_id, *added in backends:
            if len(added) != 6 or not all(isinstance(count, int) for count in added):
                raise ValueError("a backend's sums are malformed")
            counts = self._counts(str(backend_id))
            for place, count in enumerate(added):
                counts[place] += count
        for service, requests in services:
            self.service_requests[str(service)] = self.service_requests.get(str(service), 0) + int(requests)

    def pack(self) -> list[Any]:
        """The report as it goes over the wire: the sums of backends, and the requests of services."""
        return [
            [list(sums) for sums in self.backend_sums()],
            [[service, requests] for service, requests in self.service_requests.items()],
        ]

    def backend_sums(self) -> list[BackendSums]:
        """The sums of backends, in whole milliseconds."""
        return [BackendSums(name, *map(round, counts)) for name, counts in self.backend_counts.items()]

    def _counts(self, backend_id: str) -> list[float]:
        return self.backend_counts.setdefault(backend_id, [0] * 6)

    def __bool__(self) -> bool:
        return bool(self.backend_counts or self.service_requests)
