"""The states of a backend instance, and the value under which control-plane nodes publish it.

An instance is one process of a backend; a restart is a new instance with an id of its own. It goes from up
to draining to gone, and never back.
"""

from __future__ import annotations

from typing import Any, NamedTuple

UP, DRAINING, GONE = "up", "draining", "gone"
SUSPECT = "quiet"  # up by all reports, but without a heartbeat for long; never published as a state
STATE_RANK = {UP: 0, DRAINING: 1, GONE: 2}
BACKEND_KEY_PREFIX = "b/"  # of the keys under which instances are published; the id follows


class BackendValue(NamedTuple):
    """The published value of an instance, by place as it stands in messages and on disk.

    Its fields are as another node sent them, and may be of any type: who uses them converts them first.

    :ivar sequence: rises with each heartbeat, so that a late one is known.
    :ivar warmup_ms: for how long the instance gets a reduced share from its start.
    :ivar is_suspect: 1 if the publishing node has had no heartbeat for long.
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
    """Reads a published value.

    :returns: the value if it is of an instance that is draining or gone; None for any other, and for what is
        malformed.
    """
    try:
        fields = tuple(raw)
        is_drain = len(fields) == len(BackendValue._fields) and STATE_RANK.get(fields[STATE_INDEX], 0) > 0
    except TypeError:
        return None
    return BackendValue._make(fields) if is_drain else None


def furthest_state(*states: str) -> str:
    """Returns the state that is the furthest from up to draining to gone."""
    return max(states, key=STATE_RANK.__getitem__)
