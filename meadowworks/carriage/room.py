"""How many bytes of bodies a junction holds for all its clients together."""

from __future__ import annotations


class Room:
    """`most` bytes. Guards against many large bodies at once, each within its own bound."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def take(self, size: int) -> bool:
        """Whether so many bytes more may be held; they are counted if so."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        self.held -= size
