"""The callers of a soak: those that run during the faults, and those that close the run."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from meadowworks.coordination.commands import AcquireLock, IssueNumber
from meadowworks.simulation.coordination.caller import Caller
from meadowworks.simulation.coordination.closing_caller import ClosingCaller
from meadowworks.simulation.coordination.history import Call, ReadCellCall, WatchGroupCall
from meadowworks.simulation.coordination.key_callers import NumberCaller, PutCaller, ReadCaller, WatchCaller
from meadowworks.simulation.coordination.lock_caller import LockCaller

GROUPS = tuple(f"g{number}." for number in range(1, 5))
KEYS_PER_GROUP = 8
KEYS = tuple(f"{group}{number}" for group in GROUPS for number in range(KEYS_PER_GROUP))
LOCKS = tuple(f"l{number}" for number in range(1, 9))
COUNTERS = ("n1", "n2")
CLOSING_HOLD_MS = 1000
CLOSING_WAIT_MS = 500


@dataclass(frozen=True, slots=True)
class CallerFactory:
    """Makes the callers of one run.

    :ivar addresses: of the nodes; the callers follow its changes.
    :ivar calls: gets the finished calls.
    """

    seed: int
    addresses: Sequence[str]
    calls: list[Call]

    def busy_callers(self, count: int) -> list[Caller]:
        """Return callers that call without end, of all roles in turn."""
        return [ROLES[number % len(ROLES)](self, number) for number in range(count)]

    def closing_callers(self, watchers: Sequence[WatchCaller]) -> list[Caller]:
        """Return callers that ask for all keys, numbers and locks, and that resume the watches."""
        closing: list[Caller] = [
            *(self._closing(f"c-read-{key}", ReadCellCall(key)) for key in KEYS),
            *(self._closing(f"c-number-{name}", IssueNumber(name)) for name in COUNTERS),
        ]
        for name in LOCKS:
            owner = f"c-lock-{name}"
            closing.append(self._closing(owner, AcquireLock(name, owner, CLOSING_HOLD_MS)))
        for watcher in watchers:
            resumed = WatchGroupCall(watcher.group, watcher.saved_revision, CLOSING_WAIT_MS)
            closing.append(self._closing(watcher.name, resumed))
        return closing

    def random(self, name: str) -> random.Random:
        """Return the source of chance of a caller."""
        return random.Random(f"{self.seed}.{name}")

    def _closing(
        self, name: str, arguments: AcquireLock | IssueNumber | ReadCellCall | WatchGroupCall
    ) -> Caller:
        return ClosingCaller(name, self.addresses, self.random(f"closing.{name}"), self.calls, arguments)


def _lock_caller(factory: CallerFactory, number: int) -> Caller:
    name = f"a{number}.lock"
    return LockCaller(name, factory.addresses, factory.random(name), factory.calls, LOCKS)


def _put_caller(factory: CallerFactory, number: int) -> Caller:
    name = f"a{number}.put"
    return PutCaller(name, factory.addresses, factory.random(name), factory.calls, KEYS)


def _read_caller(factory: CallerFactory, number: int) -> Caller:
    name = f"a{number}.read"
    return ReadCaller(name, factory.addresses, factory.random(name), factory.calls, KEYS)


def _number_caller(factory: CallerFactory, number: int) -> Caller:
    name = f"a{number}.number"
    return NumberCaller(name, factory.addresses, factory.random(name), factory.calls, COUNTERS)


def _watch_caller(factory: CallerFactory, number: int) -> Caller:
    name = f"a{number}.watch"
    group = GROUPS[number % len(GROUPS)]
    return WatchCaller(name, factory.addresses, factory.random(name), factory.calls, group)


ROLES: tuple[Callable[[CallerFactory, int], Caller], ...] = (
    _lock_caller,
    _put_caller,
    _read_caller,
    _number_caller,
    _watch_caller,
    _lock_caller,
    _put_caller,
    _lock_caller,
)
