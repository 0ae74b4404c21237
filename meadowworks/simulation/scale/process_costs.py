"""Processor time by function, and the memory of an object."""

from __future__ import annotations

import gc
import pstats
import tracemalloc
from collections.abc import Callable
from cProfile import Profile
from pathlib import Path
from typing import Any

FUNCTIONS_SHOWN = 24


def profile_by_function(profile: Profile) -> list[dict[str, Any]]:
    """Return the functions with the most processor time, as fractions of the total.

    `whole` includes the function's callees, `own` doesn't. The profiler adds time to each call, so the
    figures of small functions are too high.
    """
    stats = pstats.Stats(profile).get_stats_profile()
    by_time = sorted(stats.func_profiles.items(), key=lambda pair: -pair[1].cumtime)
    return [
        {
            "function": f"{Path(row.file_name).parent.name}/{Path(row.file_name).stem}.{name}",
            "calls": row.ncalls,
            "own": row.tottime / stats.total_tt,
            "whole": row.cumtime / stats.total_tt,
        }
        for name, row in by_time[:FUNCTIONS_SHOWN]
    ]


def traced_memory_mb(build: Callable[[], object]) -> dict[str, float]:
    """Return the memory that a built object holds, and the peak memory while building it, in MB."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return {"held_mb": (now - before) / 1e6, "peak_mb": (peak - before) / 1e6}
