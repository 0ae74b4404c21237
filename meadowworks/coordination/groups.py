"""Groups of keys, which share one count of revisions."""

from __future__ import annotations

GROUP_SEPARATOR = "."
NO_REVISION = 0  # of a key or group without a put


def group_of(name: str) -> str:
    """Return the group of a key: its name up to and including the first dot, or all of it without a dot."""
    prefix, separator, _ = name.partition(GROUP_SEPARATOR)
    return prefix + separator
