"""Checks before the start of a run whether the machine has enough memory for its processes."""

from __future__ import annotations

from pathlib import Path

MEMORY_INFO_FILE = Path("/proc/meminfo")
MEMORY_PER_PROCESS_MB = 64  # above the resident memory of a node with a small configuration
MAX_MEMORY_SHARE = 0.5  # of the machine
KIB_PER_MB = 1024


def find_memory_shortage(processes: int, memory_info: str) -> str | None:
    """Return why a number of processes does not fit into the memory; None if it does.

    :param memory_info: the text of `/proc/meminfo`.
    """
    allowed_mb = min(
        _read_field_mb(memory_info, "MemTotal") * MAX_MEMORY_SHARE,
        _read_field_mb(memory_info, "MemAvailable"),
    )
    needed_mb = processes * MEMORY_PER_PROCESS_MB
    if needed_mb <= allowed_mb:
        return None
    return f"{processes} processes need {needed_mb} MB of memory, and {allowed_mb:.0f} MB may be used"


def _read_field_mb(memory_info: str, name: str) -> float:
    """Return a field of `/proc/meminfo`; 0 if it is missing."""
    for line in memory_info.splitlines():
        field, _, value = line.partition(":")
        if field == name:
            return int(value.split()[0]) / KIB_PER_MB
    return 0.0
