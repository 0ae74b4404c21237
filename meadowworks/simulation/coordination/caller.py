"""The base of the callers of coordination: state machines without I/O that make one call at a time.

An input is a wake-up or an answer; `take_commands` returns what the driver has to do. After a failure, a 429,
a 5xx or a second of silence a caller turns to another node.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from meadowworks.simulation.coordination.history import (
    Arguments,
    Call,
    InternalFailure,
    NoAnswer,
    Outcome,
    Overloaded,
    Unavailable,
    WatchGroupCall,
)
from meadowworks.simulation.event_scheduler import MS, SECOND

SILENCE_TIMEOUT_NS = SECOND
RETRY_PAUSE_NS = 20 * MS

# -- commands


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send a call to a node, and pass its answer to `Caller.on_answer`."""

    call_id: int
    address: str
    arguments: Arguments


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call `Caller.wake` at a time."""

    time_ns: int


CallerCommand = SendCall | WakeAt

# -- what a caller does next


@dataclass(frozen=True, slots=True)
class MakeCall:
    """Make a call."""

    arguments: Arguments


@dataclass(frozen=True, slots=True)
class Pause:
    """Do nothing until a time; answers wait until then."""

    until_ns: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Make no more calls."""


CallerStep = MakeCall | Pause | Stop


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that waits for its answer, at most until `deadline_ns`."""

    call_id: int
    arguments: Arguments
    sent_ns: int
    deadline_ns: int


class Caller:
    """Makes the calls that a subclass chooses, and records them in a history.

    :param name: the name in the history, which also is the owner of its locks.
    :param addresses: the nodes.
    :param calls: the calls of the history, to which each finished call is added.
    """

    def __init__(self, name: str, addresses: Sequence[str], rng: random.Random, calls: list[Call]) -> None:
        self.name = name
        self.random = rng
        self._addresses = addresses
        self._calls = calls
        self._address = rng.choice(addresses)
        self._pending: PendingCall | None = None
        self._late_answer: tuple[int, Outcome] | None = None  # arrived during a pause
        self._asleep_until_ns = 0
        self._last_call_id = 0
        self._commands: list[CallerCommand] = []
        self._has_stopped = False

    # -- what subclasses define

    def next_step(self, now_ns: int) -> CallerStep:
        """Return what to do next, while no call is pending."""
        raise NotImplementedError

    def on_outcome(self, now_ns: int, call: Call) -> None:
        """Handle the end of a call."""
        raise NotImplementedError

    # -- inputs

    def wake(self, now_ns: int) -> None:
        """Go on, or end the pending call if it has been silent for too long."""
        if self._has_stopped or now_ns < self._asleep_until_ns:
            return
        if self._late_answer is not None:
            (call_id, outcome), self._late_answer = self._late_answer, None
            self.on_answer(now_ns, call_id, outcome)
        elif self._pending is None:
            self._proceed(now_ns)
        elif now_ns >= self._pending.deadline_ns:
            self._finish(now_ns, self._pending, NoAnswer())

    def on_answer(self, now_ns: int, call_id: int, outcome: Outcome) -> None:
        """Handle the answer to a call, unless the caller has given that call up."""
        if self._has_stopped or self._pending is None or self._pending.call_id != call_id:
            return
        if now_ns < self._asleep_until_ns:
            self._late_answer = call_id, outcome
            return
        self._finish(now_ns, self._pending, outcome)

    def stop(self, now_ns: int) -> None:
        """End the caller; the outcome of its pending call stays unknown."""
        if self._pending is not None:
            self._record(now_ns, self._pending, NoAnswer())
        self._has_stopped, self._pending = True, None

    def take_commands(self) -> list[CallerCommand]:
        """Return the commands since the last call."""
        commands, self._commands = self._commands, []
        return commands

    def has_stopped(self) -> bool:
        """Return whether the caller makes no more calls."""
        return self._has_stopped

    # -- for subclasses

    def sleep_until(self, time_ns: int) -> None:
        """Pause the caller, also while a call is pending, as if its process were suspended."""
        self._asleep_until_ns = time_ns
        self._commands.append(WakeAt(time_ns))

    # -- internal work

    def _proceed(self, now_ns: int) -> None:
        match self.next_step(now_ns):
            case MakeCall(arguments):
                self._send(now_ns, arguments)
            case Pause(until_ns):
                self.sleep_until(max(until_ns, now_ns + 1))
            case Stop():
                self._has_stopped = True

    def _send(self, now_ns: int, arguments: Arguments) -> None:
        self._last_call_id += 1
        deadline_ns = now_ns + SILENCE_TIMEOUT_NS
        if isinstance(arguments, WatchGroupCall):
            deadline_ns += arguments.wait_ms * MS
        self._pending = PendingCall(self._last_call_id, arguments, now_ns, deadline_ns)
        self._commands += [SendCall(self._last_call_id, self._address, arguments), WakeAt(deadline_ns)]

    def _finish(self, now_ns: int, pending: PendingCall, outcome: Outcome) -> None:
        self._pending = None
        call = self._record(now_ns, pending, outcome)
        if isinstance(outcome, InternalFailure | NoAnswer | Overloaded | Unavailable):
            self._turn_to_another_node()
        self.on_outcome(now_ns, call)
        if now_ns >= self._asleep_until_ns:
            self._proceed(now_ns)

    def _record(self, now_ns: int, pending: PendingCall, outcome: Outcome) -> Call:
        answered_ns = None if isinstance(outcome, NoAnswer) else now_ns
        call = Call(self.name, pending.arguments, pending.sent_ns, answered_ns, outcome)
        self._calls.append(call)
        return call

    def _turn_to_another_node(self) -> None:
        others = [address for address in self._addresses if address != self._address]
        if others:
            self._address = self.random.choice(others)
