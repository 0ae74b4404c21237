"""The metrics of a backend directory, exported by control-plane nodes and proxies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from meadowworks.registry.backends import BackendDirectory
from meadowworks.runtime.metrics import MetricFamily, Sample, gauge


def backend_metrics(backends: BackendDirectory) -> Iterator[MetricFamily]:
    """Yield the number of instances by service and state."""
    counts = Counter((instance.service, instance.state) for instance in backends.instances.values())
    yield gauge(
        "meadowworks_backends",
        "Backend instances known here, by service and state.",
        *(Sample(count, labels) for labels, count in sorted(counts.items())),
        labels=("service", "state"),
    )
