"""Figures of a program in the Prometheus text format, written by `prometheus_client`.

The programs count in their own objects. What is told here is read from these when somebody asks, so neither a
request nor a start costs anything for it: the programs import this module at the first scrape.
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
MAX_RSS_UNIT_BYTES = 1024  # of `ru_maxrss`, getrusage(2)


class MetricKind(Enum):
    """What the values of a metric do: a counter only rises within the life of a process."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric.

    :ivar labels: the values of the metric's labels, in their order.
    """

    value: float
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MetricFamily:
    """A metric with all its values.

    :ivar name: by the conventions of Prometheus, with its unit; a counter's without the ending `_total`.
    :ivar label_names: what tells its values apart.
    """

    name: str
    help: str
    kind: MetricKind
    samples: tuple[Sample, ...]
    label_names: tuple[str, ...] = ()


MetricSource = Callable[[], Iterable[MetricFamily]]


def counter(name: str, help_text: str, *samples: Sample, labels: tuple[str, ...] = ()) -> MetricFamily:
    """A metric that only rises."""
    return MetricFamily(name, help_text, MetricKind.COUNTER, samples, labels)


def gauge(name: str, help_text: str, *samples: Sample, labels: tuple[str, ...] = ()) -> MetricFamily:
    """A metric that rises and falls."""
    return MetricFamily(name, help_text, MetricKind.GAUGE, samples, labels)


def process_metrics() -> Iterator[MetricFamily]:
    """What the system has charged to this process."""
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
    """The text that a scrape is answered with."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Families(families))
    return generate_latest(registry)


class _Families(Collector):
    """Hands families to the library."""

    def __init__(self, families: Iterable[MetricFamily]) -> None:
        self._families = families

    def collect(self) -> Iterable[Metric]:
        """The families as the library has them."""
        return [_library_metric(family) for family in self._families]


def _library_metric(family: MetricFamily) -> Metric:
    made_by = CounterMetricFamily if family.kind is MetricKind.COUNTER else GaugeMetricFamily
    metric = made_by(family.name, family.help, labels=family.label_names)
    for sample in family.samples:
        metric.add_metric(sample.labels, sample.value)
    return metric


async def send_metrics(send: Send, source: MetricSource) -> None:
    """Answer a scrape."""
    text = render_metrics([*source(), *process_metrics()])
    await send_response(send, 200, text, [(b"content-type", CONTENT_TYPE)])
