"""How many bytes of bodies and answers a junction holds for all its clients together."""

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


class Share:
    """What one request holds of a room: given back as a whole, and again if more has been taken since."""

    def __init__(self, room: Room) -> None:
        self.room, self.held = room, 0

    def take(self, size: int) -> bool:
        if not self.room.take(size):
            return False
        self.held += size
        return True

    def give(self) -> None:
        held, self.held = self.held, 0
        self.room.give(held)
