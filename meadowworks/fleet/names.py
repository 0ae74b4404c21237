"""What both adapters do at the door: names become small indices, and the list's words those of the module."""

from __future__ import annotations

ENDPOINT_STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class NameIndex:
    """Gives each name an index when it first appears, and keeps both ways until it is freed. No index is
    given out again: what still speaks of the old one cannot mean another."""

    def __init__(self) -> None:
        self.name_by_index: dict[int, str] = {}
        self.index_by_name: dict[str, int] = {}
        self.next_index = 0

    def index(self, name: str) -> int:
        known = self.index_by_name.get(name)
        if known is None:
            known = self.index_by_name[name] = self.next_index
            self.name_by_index[known] = name
            self.next_index += 1
        return known

    def release(self, index: int) -> None:
        del self.index_by_name[self.name_by_index.pop(index)]
