"""Exposition of a program's metrics in the Prometheus text format, using `prometheus_client`.

The programs keep counters in their own objects, which are read at each scrape. Requests and startup have no
extra cost: the programs import this module at the first scrape.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from meadowworks.runtime.asgi import Send
from meadowworks.runtime.response_writer import send_response

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
MAX_RSS_UNIT_BYTES = 1024  # `ru_maxrss` is in kilobytes, see getrusage(2)


class MetricKind(Enum):
    """The Prometheus type of a metric: a counter never decreases within the lifetime of a process."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric.

    :ivar labels: the label values, in the order of the family's `label_names`.
    """

    value: float
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MetricFamily:
    """A metric with all its samples.

    :ivar name: a Prometheus metric name that includes the unit; for a counter, without the suffix `_total`.
    :ivar label_names: the names of the labels that distinguish the samples.
    """

    name: str
    help: str
    kind: MetricKind
    samples: tuple[Sample, ...]
    label_names: tuple[str, ...] = ()


MetricSource = Callable[[], Iterable[MetricFamily]]


def counter(name: str, help_text: str, *samples: Sample, labels: tuple[str, ...] = ()) -> MetricFamily:
    """Return a metric that never decreases."""
    return MetricFamily(name, help_text, MetricKind.COUNTER, samples, labels)


def gauge(name: str, help_text: str, *samples: Sample, labels: tuple[str, ...] = ()) -> MetricFamily:
    """Return a metric that may increase and decrease."""
    return MetricFamily(name, help_text, MetricKind.GAUGE, samples, labels)


def process_metrics() -> Iterator[MetricFamily]:
    """Yield the resource usage of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    processor_s = usage.ru_utime + usage.ru_stime
    yield counter("process_cpu_seconds", "Processor time, user and system.", Sample(processor_s))
    yield gauge(
        "process_max_resident_memory_bytes",
        "The most memory that the process has held.",
        Sample(usage.ru_maxrss * MAX_RSS_UNIT_BYTES),
    )
    yield gauge("process_monotonic_seconds", "The steady clock of the process.", Sample(time.monotonic()))


def render_metrics(families: Iterable[MetricFamily]) -> bytes:
    """Return the response body for a scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_FamilyCollector(families))
    return generate_latest(registry)


class _FamilyCollector(Collector):
    """A `prometheus_client` collector of given families."""

    def __init__(self, families: Iterable[MetricFamily]) -> None:
        self._families = families

    def collect(self) -> Iterable[Metric]:
        """Convert the families to metrics of `prometheus_client`."""
        return [_to_prometheus_metric(family) for family in self._families]


def _to_prometheus_metric(family: MetricFamily) -> Metric:
    metric_class = CounterMetricFamily if family.kind is MetricKind.COUNTER else GaugeMetricFamily
    metric = metric_class(family.name, family.help, labels=family.label_names)
    for sample in family.samples:
        metric.add_metric(sample.labels, sample.value)
    return metric


async def send_metrics(send: Send, source: MetricSource) -> None:
    """Send the response to a scrape."""
    text = render_metrics([*source(), *process_metrics()])
    await send_response(send, 200, text, [(b"content-type", CONTENT_TYPE)])
