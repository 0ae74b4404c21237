"""The metrics of a directory of backends, which both programs tell."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from meadowworks.registry.backends import BackendDirectory
from meadowworks.runtime.metrics import MetricFamily, Sample, gauge


def backend_metrics(backends: BackendDirectory) -> Iterator[MetricFamily]:
    """How many instances of each service are in each state."""
    counts = Counter((one.service, one.state) for one in backends.instances.values())
    yield gauge(
        "meadowworks_backends",
        "Backend instances known here, by service and state.",
        *(Sample(count, labels) for labels, count in sorted(counts.items())),
        labels=("service", "state"),
    )
