"""What one program costs: processor time by part, messages and bytes."""

from __future__ import annotations

import time
from collections.abc import Callable
from cProfile import Profile
from dataclasses import dataclass, field
from typing import TypeVar

Value = TypeVar("Value")


@dataclass(slots=True)
class ResourceMeter:
    """The costs of one program; bytes are those of message bodies.

    `cpu_ns` sums processor time by the part of the work, `turn_ns` that of the work at hand. A `profile` is
    shared by the programs of a role.
    """

    cpu_ns: dict[str, int] = field(default_factory=dict)
    turn_ns: int = 0
    in_bytes: int = 0
    out_bytes: int = 0
    in_messages: int = 0
    out_messages: int = 0
    profile: Profile | None = None

    def timed(self, part: str, work: Callable[[], Value]) -> Value:
        """Do a part of the work and add its processor time."""
        start = time.process_time_ns()
        try:
            return self.profile.runcall(work) if self.profile else work()
        finally:
            spent = time.process_time_ns() - start
            self.turn_ns += spent
            self.cpu_ns[part] = self.cpu_ns.get(part, 0) + spent

    def take_turn_ns(self) -> int:
        """Return the processor time of the work at hand, and begin anew."""
        spent, self.turn_ns = self.turn_ns, 0
        return spent

    def received(self, size: int) -> None:
        """Count a message that came in."""
        self.in_messages += 1
        self.in_bytes += size

    def sent(self, size: int) -> None:
        """Count a message that went out."""
        self.out_messages += 1
        self.out_bytes += size

    def clear(self) -> None:
        """Forget what was counted so far."""
        self.cpu_ns.clear()
        self.in_bytes = self.out_bytes = self.in_messages = self.out_messages = 0
