"""The times at which the leader proposes that holds expire."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from meadowworks.coordination.commands import ExpireLock
from meadowworks.coordination.results import Hold

NS_PER_MS = 1_000_000
RETRY_NS = 500_000_000  # if a hold still stands after its expiry was proposed
MIN_STALE_DEADLINES = 64  # deadlines of earlier extensions that are kept at least


class Deadline(NamedTuple):
    """The time at which a hold expires unless it was extended after the log index `extended_at`."""

    time_ns: int
    name: str
    extended_at: int


class HoldDeadlines:
    """The deadlines of all holds by the clock of one leader.

    A hold expires `hold_ms` after the leader applied its latest grant or renewal. The holder counts from
    the earlier time at which it sent the call.
    """

    def __init__(self) -> None:
        self._extensions: dict[str, int] = {}  # by lock name, the log index of the latest grant or renewal
        self._deadlines: list[Deadline] = []  # a heap, which also contains deadlines of earlier extensions

    def __len__(self) -> int:
        return len(self._extensions)

    def clear(self) -> None:
        """Forget all holds."""
        self._extensions.clear()
        self._deadlines.clear()

    def restart(self, now_ns: int, holds: Iterable[Hold]) -> None:
        """Give each hold its whole duration from now; a new leader does not know how much has passed."""
        self.clear()
        for hold in holds:
            self.update(now_ns, hold.name, hold)

    def update(self, now_ns: int, name: str, hold: Hold | None) -> None:
        """Record the hold of a lock after a command for it was applied; None if nobody holds it."""
        if hold is None:
            self._extensions.pop(name, None)
        elif self._extensions.get(name) != hold.extended_at:
            self._extensions[name] = hold.extended_at
            self._add(Deadline(now_ns + hold.hold_ms * NS_PER_MS, name, hold.extended_at))

    def take_due(self, now_ns: int) -> list[ExpireLock]:
        """Return the commands for the holds that have expired.

        A hold that still stands is returned again after `RETRY_NS`.
        """
        due = []
        while self._deadlines and self._deadlines[0].time_ns <= now_ns:
            deadline = heapq.heappop(self._deadlines)
            if self._is_current(deadline):
                due.append(deadline)
        for deadline in due:
            self._add(deadline._replace(time_ns=now_ns + RETRY_NS))
        return [ExpireLock(deadline.name, deadline.extended_at) for deadline in due]

    def _add(self, deadline: Deadline) -> None:
        heapq.heappush(self._deadlines, deadline)
        if len(self._deadlines) > 2 * len(self._extensions) + MIN_STALE_DEADLINES:
            self._deadlines = [deadline for deadline in self._deadlines if self._is_current(deadline)]
            heapq.heapify(self._deadlines)

    def _is_current(self, deadline: Deadline) -> bool:
        return self._extensions.get(deadline.name) == deadline.extended_at
