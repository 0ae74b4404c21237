"""What both adapters do at the door: names become small indices, and the list's words those of the module."""

from __future__ import annotations

STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class Names:
    """Gives each name an index when it first appears, and keeps both ways."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.places: dict[str, int] = {}

    def index(self, name: str) -> int:
        known = self.places.get(name)
        if known is None:
            known = self.places[name] = len(self.names)
            self.names.append(name)
        return known
