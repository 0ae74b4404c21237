"""What both adapters do at the door: names become small indices, and the list's words those of the module."""

from __future__ import annotations

STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class Names:
    """Gives each name an index when it first appears, and keeps both ways until it is freed. No index is
    given out again: what still speaks of the old one cannot mean another."""

    def __init__(self) -> None:
        self.names: dict[int, str] = {}
        self.places: dict[str, int] = {}
        self.given = 0

    def index(self, name: str) -> int:
        known = self.places.get(name)
        if known is None:
            known = self.places[name] = self.given
            self.names[known] = name
            self.given += 1
        return known

    def free(self, place: int) -> None:
        del self.places[self.names.pop(place)]
