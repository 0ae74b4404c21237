"""The states of a backend instance and the value that control-plane nodes publish for it.

An instance is one process of a backend; a restarted process is a new instance with a new id. The
state changes from up to draining to gone, never in the other direction.
"""

from __future__ import annotations

from typing import Any, NamedTuple

UP, DRAINING, GONE = "up", "draining", "gone"
SUSPECT = "quiet"  # up, but without recent heartbeats; derived from the reports, never published
STATE_RANK = {UP: 0, DRAINING: 1, GONE: 2}
BACKEND_KEY_PREFIX = "b/"  # key of a published instance: this prefix and the instance id


class BackendValue(NamedTuple):
    """The published value of an instance; messages and the disk hold its fields by position.

    The fields are as received from another node and may be of any type: the reader has to convert them.

    :ivar sequence: increases with each heartbeat, which makes a late heartbeat detectable.
    :ivar warmup_ms: the duration of slow start, with a reduced share of requests.
    :ivar is_suspect: 1 if the publishing node has received no heartbeat recently.
    """

    service: Any
    address: Any
    zone: Any
    capacity: Any
    state: Any
    sequence: Any
    warmup_ms: Any
    is_suspect: Any


STATE_INDEX = BackendValue._fields.index("state")


def parse_drain(raw: Any) -> BackendValue | None:
    """Parse a published value.

    :returns: the value if its instance is draining or gone; None for any other or malformed value.
    """
    try:
        fields = tuple(raw)
        is_drain = len(fields) == len(BackendValue._fields) and STATE_RANK.get(fields[STATE_INDEX], 0) > 0
    except TypeError:
        return None
    return BackendValue._make(fields) if is_drain else None


def furthest_state(*states: str) -> str:
    """Return the last of the states in the order up, draining, gone."""
    return max(states, key=STATE_RANK.__getitem__)
