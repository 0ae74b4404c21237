"""The HTTP path of a program's metrics.

The implementation (`runtime.metrics`, the programs' own `metrics` modules and `prometheus_client`) is
imported at the first scrape, so that it does not delay startup.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from meadowworks.runtime.asgi import Send

METRICS_PATH = "/metrics"
MetricsSender: TypeAlias = Callable[[Send], Awaitable[None]]
