"""Names as the adapters of the policy translate them: indices for names, and endpoint states."""

from __future__ import annotations

# The policy's endpoint state for each endpoint status of discovery.
ENDPOINT_STATE_BY_STATUS = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class NameIndex:
    """Assigns each name a small index on first use, and maps both ways until the index is released.

    Indices are never reused, so that a late reference to a released index cannot match another name.
    """

    def __init__(self) -> None:
        self.name_by_index: dict[int, str] = {}
        self.index_by_name: dict[str, int] = {}
        self.next_index = 0

    def index(self, name: str) -> int:
        """Return the index of a name; assign a new one if it has none."""
        index = self.index_by_name.get(name)
        if index is None:
            index = self.index_by_name[name] = self.next_index
            self.name_by_index[index] = name
            self.next_index += 1
        return index

    def release(self, index: int) -> None:
        """Remove an index and its name.

        :raises KeyError: if the index is not assigned.
        """
        del self.index_by_name[self.name_by_index.pop(index)]
