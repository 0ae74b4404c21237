"""A caller that competes for locks and holds them for an instant, for long, or beyond its own end."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from meadowworks.coordination.commands import AcquireLock, ReleaseLock, RenewLock
from meadowworks.coordination.results import LockGranted, LockLost, LockRefused, LockReleased, LockRenewed
from meadowworks.simulation.coordination.caller import RETRY_PAUSE_NS, Caller, CallerStep, MakeCall, Pause
from meadowworks.simulation.coordination.history import Call
from meadowworks.simulation.event_scheduler import MS, SECOND

HOLD_MS = (500, 3000)
IDLE_MS = (5, 1500)
ASK_AGAIN_MS = (20, 300)
BRIEF_HOLD_MS = (0, 100)
LONG_HOLD_MS = (1000, 8000)
SLEEP_BEYOND_HOLD_MS = (1, 4000)
RENEWALS_PER_HOLD = 3
MAX_REFUSALS, MAX_FAILURES = 20, 8


class HoldPlan(Enum):
    """What a caller does with a lock."""

    BRIEF = auto()  # release it soon
    LONG = auto()  # renew it for some seconds, then release it
    DIE = auto()  # forget the hold, and start again under the same name
    SLEEP = auto()  # sleep beyond the end of the hold while a renewal is pending


HOLD_PLANS = (HoldPlan.BRIEF, HoldPlan.BRIEF, HoldPlan.LONG, HoldPlan.LONG, HoldPlan.DIE, HoldPlan.SLEEP)


@dataclass(slots=True)
class OwnHold:
    """A hold as its holder counts it."""

    name: str
    fence: int
    hold_ms: int
    until_ns: int
    renew_ns: int
    release_ns: int
    plan: HoldPlan


class LockCaller(Caller):
    """Acquires a random lock, uses it as planned, and starts again.

    A release without an answer is repeated until it is answered.
    """

    def __init__(
        self, name: str, addresses: Sequence[str], rng: random.Random, calls: list[Call], locks: Sequence[str]
    ) -> None:
        super().__init__(name, addresses, rng, calls)
        self._locks = locks
        self._wanted: AcquireLock | None = None
        self._refusals = self._failures = 0
        self._hold: OwnHold | None = None
        self._release: ReleaseLock | None = None
        self._idle_until_ns = 0

    def next_step(self, now_ns: int) -> CallerStep:
        """Release, renew or acquire a lock, or wait until that is due."""
        if self._release is not None:
            return MakeCall(self._release)
        if self._hold is not None:
            return self._use_hold(now_ns, self._hold)
        if now_ns < self._idle_until_ns:
            return Pause(self._idle_until_ns)
        if self._wanted is None:
            hold_ms = self.random.randrange(*HOLD_MS)
            self._wanted = AcquireLock(self.random.choice(self._locks), self.name, hold_ms)
            self._refusals = self._failures = 0
        return MakeCall(self._wanted)

    def on_outcome(self, now_ns: int, call: Call) -> None:
        """Handle the end of a call."""
        match call.arguments, call.outcome:
            case AcquireLock(name=name, hold_ms=hold_ms), LockGranted(fence):
                self._wanted = None
                self._begin_hold(now_ns, name, fence, hold_ms, call.sent_ns)
            case AcquireLock(), LockRefused():
                self._refusals += 1
                self._wait_to_ask_again(now_ns, self._refusals >= MAX_REFUSALS)
            case AcquireLock(), _:
                self._failures += 1
                self._wait_to_ask_again(now_ns, self._failures >= MAX_FAILURES)
            case RenewLock(), LockRenewed() if self._hold is not None and now_ns < self._hold.until_ns:
                self._extend(call.sent_ns, self._hold)
            case RenewLock(), LockRenewed() | LockLost():
                self._give_up(now_ns)
            case RenewLock(), _ if self._hold is not None:
                self._hold.renew_ns = now_ns + RETRY_PAUSE_NS
            case ReleaseLock(), LockReleased():
                self._release = None
                self._give_up(now_ns)

    def _begin_hold(self, now_ns: int, name: str, fence: int, hold_ms: int, sent_ns: int) -> None:
        plan = self.random.choice(HOLD_PLANS)
        duration_ms = BRIEF_HOLD_MS if plan is HoldPlan.BRIEF else LONG_HOLD_MS
        release_ns = now_ns + self.random.randrange(*duration_ms) * MS
        self._hold = OwnHold(name, fence, hold_ms, 0, 0, release_ns, plan)
        self._extend(sent_ns, self._hold)

    def _extend(self, sent_ns: int, hold: OwnHold) -> None:
        hold.until_ns = max(hold.until_ns, sent_ns + hold.hold_ms * MS)
        hold.renew_ns = sent_ns + hold.hold_ms * MS // RENEWALS_PER_HOLD

    def _use_hold(self, now_ns: int, hold: OwnHold) -> CallerStep:
        if now_ns >= hold.until_ns:
            self._give_up(now_ns)
            return Pause(self._idle_until_ns)
        if now_ns >= hold.release_ns:
            if hold.plan is HoldPlan.DIE:
                self._give_up(now_ns)
                return Pause(self._idle_until_ns)
            self._hold = None
            self._release = ReleaseLock(hold.name, self.name, hold.fence)
            return MakeCall(self._release)
        if now_ns < hold.renew_ns:
            return Pause(min(hold.renew_ns, hold.release_ns))
        if hold.plan is HoldPlan.SLEEP:
            beyond_ns = self.random.randrange(*SLEEP_BEYOND_HOLD_MS) * MS
            self.sleep_until(hold.until_ns + beyond_ns)
        return MakeCall(RenewLock(hold.name, self.name, hold.fence, hold.hold_ms))

    def _give_up(self, now_ns: int) -> None:
        self._hold = None
        self._idle_until_ns = now_ns + self.random.randrange(*IDLE_MS) * MS

    def _wait_to_ask_again(self, now_ns: int, has_had_enough: bool) -> None:
        self._idle_until_ns = now_ns + self.random.randrange(*ASK_AGAIN_MS) * MS
        if has_had_enough:
            self._wanted = None
            self._idle_until_ns = now_ns + SECOND
