"""What all adapters of the policy do with names: indices for them, and the policy's words for states."""

from __future__ import annotations

# Discovery's words for the state of an endpoint, and the policy's.
ENDPOINT_STATE_BY_STATUS = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class NameIndex:
    """Gives each name a small index when it first appears, and keeps both directions until it is released.

    No index is given out again: what still speaks of the old name cannot mean another.
    """

    def __init__(self) -> None:
        self.name_by_index: dict[int, str] = {}
        self.index_by_name: dict[str, int] = {}
        self.next_index = 0

    def index(self, name: str) -> int:
        """The index of a name, a new one if it has none."""
        known = self.index_by_name.get(name)
        if known is None:
            known = self.index_by_name[name] = self.next_index
            self.name_by_index[known] = name
            self.next_index += 1
        return known

    def release(self, index: int) -> None:
        """Forgets an index and its name.

        :raises KeyError: if it is not known.
        """
        del self.index_by_name[self.name_by_index.pop(index)]
