"""Where processor time goes by function, and what memory an object holds."""

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
    """Return the functions that take most, as parts of all of it.

    `whole` is with what a function calls, `own` without. The profiler slows calls, so small functions come
    out too large.
    """
    stats = pstats.Stats(profile).get_stats_profile()
    by_time = sorted(stats.func_profiles.items(), key=lambda pair: -pair[1].cumtime)
    return [
        {
            "function": f"{Path(one.file_name).parent.name}/{Path(one.file_name).stem}.{name}",
            "calls": one.ncalls,
            "own": one.tottime / stats.total_tt,
            "whole": one.cumtime / stats.total_tt,
        }
        for name, one in by_time[:FUNCTIONS_SHOWN]
    ]


def traced_memory_mb(build: Callable[[], object]) -> dict[str, float]:
    """Return the megabytes that what is built holds, and that its building took at the most."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return {"held_mb": (now - before) / 1e6, "peak_mb": (peak - before) / 1e6}
