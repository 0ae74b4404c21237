"""The resources that one program uses: processor time by part, messages and bytes."""

from __future__ import annotations

import time
from collections.abc import Callable
from cProfile import Profile
from dataclasses import dataclass, field
from typing import TypeVar

Value = TypeVar("Value")


@dataclass(slots=True)
class ResourceMeter:
    """The resources of one program; bytes are those of message bodies.

    `cpu_ns` is the processor time by part of the work, `work_ns` that of the current piece of work. The
    programs of a role share a `profile`.
    """

    cpu_ns: dict[str, int] = field(default_factory=dict)
    work_ns: int = 0
    in_bytes: int = 0
    out_bytes: int = 0
    in_messages: int = 0
    out_messages: int = 0
    profile: Profile | None = None

    def timed(self, part: str, work: Callable[[], Value]) -> Value:
        """Run a part of the work and add its processor time."""
        start = time.process_time_ns()
        try:
            return self.profile.runcall(work) if self.profile else work()
        finally:
            spent = time.process_time_ns() - start
            self.work_ns += spent
            self.cpu_ns[part] = self.cpu_ns.get(part, 0) + spent

    def take_work_ns(self) -> int:
        """Return the processor time of the current piece of work, and reset it."""
        spent, self.work_ns = self.work_ns, 0
        return spent

    def received(self, size: int) -> None:
        """Count a received message."""
        self.in_messages += 1
        self.in_bytes += size

    def sent(self, size: int) -> None:
        """Count a sent message."""
        self.out_messages += 1
        self.out_bytes += size

    def clear(self) -> None:
        """Reset all counts."""
        self.cpu_ns.clear()
        self.in_bytes = self.out_bytes = self.in_messages = self.out_messages = 0
