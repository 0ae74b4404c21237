"""Where a program's metrics are asked for.

What answers is imported at the first scrape (`runtime.metrics`, the programs' own `metrics`, and the library
behind them), so that a start does not pay for it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from meadowworks.runtime.asgi import Send

METRICS_PATH = "/metrics"
MetricsSender: TypeAlias = Callable[[Send], Awaitable[None]]
