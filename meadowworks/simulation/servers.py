"""Stand-in servers, as flows: calls arrive by the fraction, wait up to a bound, are answered at what the
server can do at its age. A model of the rules' words, not a measurement of real machines."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowworks.policy.interface import Settings

SECOND = 1_000_000_000
TIP_OVER_NS = 2 * SECOND  # a cold server that is sent too much for so long falls over
SLACK = 1.1  # for what is uneven within a step
WAITS_S = 0.5  # of its work may wait at a server; what comes beyond is turned away


@dataclass(slots=True)
class Server:
    """`power` in calls a second once warm; `since_ns` its last start, 0 long ago."""

    name: str
    zone: str
    power: float
    settings: Settings
    weight: float = 2.0
    since_ns: int = 0
    state: str = "in_service"  # as discovery has it
    up: bool = True
    waiting: float = 0.0  # calls, with those that a step takes in
    queued: float = 0.0  # of them, beyond what it answers within the step
    sent: deque[tuple[int, float, float]] = field(default_factory=deque)  # when, calls, what it could do
    pushed: float = 0.0  # the most sent within the span while cold, in times of what it could do

    def can(self, now: int) -> float:
        """Calls a second at its age: from the cold share evenly to all."""
        age = (now - self.since_ns) / self.settings.slow_start_ns if self.since_ns else 1.0
        return self.power * min(
            1.0, self.settings.slow_start_share + (1 - self.settings.slow_start_share) * age
        )

    def cold(self, now: int) -> bool:
        return bool(self.since_ns) and now - self.since_ns < self.settings.slow_start_ns

    def take(self, now: int, calls: float, step_ns: int) -> tuple[float, int]:
        """The part of the calls that it turns away, and how long the others take, in nanoseconds."""
        if not self.up:
            return 1.0, 0
        can = self.can(now)
        self.watch(now, calls, can * step_ns / SECOND)
        if self.state != "in_service":
            return 1.0, 0  # it finishes what it has
        self.waiting = max(0.0, self.waiting - can * step_ns / SECOND)
        room = max(0.0, can * (WAITS_S + step_ns / SECOND) - self.waiting)
        self.waiting += min(calls, room)
        self.queued = max(0.0, self.waiting - can * step_ns / SECOND)
        return max(0.0, 1 - room / calls) if calls else 0.0, int((0.05 + self.waiting / can) * SECOND)

    def watch(self, now: int, calls: float, could: float) -> None:
        """Notes how far it is pushed while it is cold."""
        self.sent.append((now, calls, could))
        while self.sent[0][0] <= now - TIP_OVER_NS:
            self.sent.popleft()
        if self.cold(now) and now - self.since_ns >= TIP_OVER_NS:
            all_could = sum(c for _, _, c in self.sent)
            self.pushed = max(self.pushed, sum(s for _, s, _ in self.sent) / max(all_could, 1e-9))
