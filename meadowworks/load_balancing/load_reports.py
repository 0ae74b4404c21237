"""What a junction counts of the answers that it forwards, and what a signalbox makes of a zone's junctions.

A junction sums over its pulls; a signalbox adds up what the junctions of a zone have told it over a second
and says that as its own news. So the bytes between zones do not grow with the number of junctions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

LOAD_REPORT_PREFIX = "f/"  # of the keys under which zones' figures are said


@dataclass(slots=True)
class LoadReport:
    """By backend: tries, failures and milliseconds of the good ones, summed, then how often it told its load,
    and the calls running and waiting there, summed; calls asked by service."""

    backend_counts: dict[str, list[float]] = field(default_factory=dict)
    service_requests: dict[str, int] = field(default_factory=dict)

    def record_attempt(self, backend_id: str, answered: bool, elapsed_ms: float) -> None:
        one = self.backend_counts.setdefault(backend_id, [0] * 6)
        one[0] += 1
        one[1] += not answered
        one[2] += elapsed_ms if answered else 0.0

    def record_backend_load(self, backend_id: str, running: int, waiting: int) -> None:
        one = self.backend_counts.setdefault(backend_id, [0] * 6)
        one[3] += 1
        one[4] += running
        one[5] += waiting

    def record_request(self, service: str) -> None:
        self.service_requests[service] = self.service_requests.get(service, 0) + 1

    def merge(self, raw: Any) -> None:
        """What a junction told. Raises ValueError or TypeError for what is malformed."""
        met, asked = raw
        for ident, *counts in met:
            if len(counts) != 6 or not all(isinstance(c, int) for c in counts):
                raise ValueError("no figures")
            one = self.backend_counts.setdefault(str(ident), [0] * 6)
            for place, count in enumerate(counts):
                one[place] += count
        for service, calls in asked:
            self.service_requests[str(service)] = self.service_requests.get(str(service), 0) + int(calls)

    def pack(self) -> list[Any]:
        return [
            [[ident, *map(round, counts)] for ident, counts in self.backend_counts.items()],
            [[s, n] for s, n in self.service_requests.items()],
        ]

    def __bool__(self) -> bool:
        return bool(self.backend_counts or self.service_requests)
