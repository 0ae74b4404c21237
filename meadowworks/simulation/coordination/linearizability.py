"""A search for a linearization of a small history of one key or one lock.

The search is that of Wing and Gong with the memory of Lowe: it tries the calls in all orders that respect
real time and keeps the states that it has visited. A call in doubt may take effect at any time after it was
sent, or never. The cost is exponential in the number of overlapping calls, so histories should be small.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from meadowworks.coordination.commands import AcquireLock, PutCell, ReleaseLock, RenewLock
from meadowworks.coordination.results import (
    Cell,
    CellWritten,
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    LockRenewed,
    RevisionMismatch,
)
from meadowworks.simulation.coordination.history import Call, KeyMissing, Overloaded, Unavailable, is_in_doubt
from meadowworks.simulation.event_scheduler import MS

NEVER_NS = 1 << 62
State = TypeVar("State")


@dataclass(frozen=True, slots=True)
class Step(Generic[State]):
    """The state after a call, which takes effect at `earliest_ns` or later."""

    state: State
    earliest_ns: int = 0


class Model(Protocol[State]):
    """A sequential specification."""

    @property
    def initial_state(self) -> State:
        """The state before the first call."""

    def steps(self, state: State, call: Call) -> Iterator[Step[State]]:
        """Return the steps that explain the outcome of a call in a state, if there are any."""


def is_key_linearizable(calls: Sequence[Call]) -> bool:
    """Return whether the calls of one key are linearizable."""
    model = KeyModel(calls)
    return is_linearizable(model, [call for call in calls if model.can_be_noticed(call)])


def is_lock_linearizable(calls: Sequence[Call]) -> bool:
    """Return whether the calls of one lock are linearizable."""
    return is_linearizable(LockModel(), calls)


def is_linearizable(model: Model[State], calls: Sequence[Call]) -> bool:
    """Return whether some order of the calls explains all outcomes and respects real time."""
    relevant = [call for call in calls if not isinstance(call.outcome, Overloaded | Unavailable)]
    relevant.sort(key=lambda call: call.sent_ns)
    return _Search(model, relevant).run()


class _Search(Generic[State]):
    def __init__(self, model: Model[State], calls: list[Call]) -> None:
        self._model, self._calls = model, calls
        self._required = sum(1 << i for i, call in enumerate(calls) if not is_in_doubt(call.outcome))
        self._visited: dict[tuple[int, State], int] = {}  # by calls done and state: the earliest time

    def run(self) -> bool:
        """Return whether a linearization exists."""
        stack = [(0, Step(self._model.initial_state))]
        while stack:
            done, step = stack.pop()
            if done & self._required == self._required:
                return True
            if self._visited.get((done, step.state), NEVER_NS) <= step.earliest_ns:
                continue
            self._visited[done, step.state] = step.earliest_ns
            stack.extend(self._successors(done, step))
        return False

    def _successors(self, done: int, step: Step[State]) -> Iterator[tuple[int, Step[State]]]:
        """Return the states after each call that may be the next one."""
        remaining = [i for i in range(len(self._calls)) if not done & 1 << i]
        latest_ns = min(self._deadline_ns(i) for i in remaining)
        for i in remaining:
            call = self._calls[i]
            if call.sent_ns > latest_ns:
                return  # the calls are sorted by the time at which they were sent
            for next_step in self._model.steps(step.state, call):
                earliest_ns = max(step.earliest_ns, call.sent_ns, next_step.earliest_ns)
                if earliest_ns <= latest_ns:
                    yield done | 1 << i, Step(next_step.state, earliest_ns)

    def _deadline_ns(self, index: int) -> int:
        """Return the time by which a call has taken effect."""
        call = self._calls[index]
        if call.answered_ns is None or is_in_doubt(call.outcome):
            return NEVER_NS
        return call.answered_ns


# -- a key


@dataclass(frozen=True, slots=True)
class KeyState:
    """The value and revision of a key, and what each put got: its revision, or None if it was refused."""

    value: str = ""
    revision: int = 0
    results: frozenset[tuple[str, int | None]] = frozenset()


class KeyModel:
    """One key with puts, conditional puts and reads.

    The revision of a put in doubt is unknown until a later answer shows it, so `known_revisions` holds all
    revisions that answers show, by value. A put without one gets any of the revisions that mismatches name.
    """

    def __init__(self, calls: Sequence[Call]) -> None:
        self.initial_state = KeyState()
        self._known_revisions: dict[str, int] = {}
        named = set()
        for call in calls:
            match call.arguments, call.outcome:
                case PutCell(value=value), CellWritten(revision):
                    self._known_revisions[value] = revision
                case _, Cell(value, revision):
                    self._known_revisions[value] = revision
                case _, RevisionMismatch(revision):
                    named.add(revision)
        self._named_revisions = sorted(named - set(self._known_revisions.values()) - {0})

    def can_be_noticed(self, call: Call) -> bool:
        """Return whether some answer may depend on a call; the search leaves out the others."""
        if not isinstance(call.arguments, PutCell) or not is_in_doubt(call.outcome):
            return True
        return call.arguments.value in self._known_revisions or bool(self._named_revisions)

    def steps(self, state: KeyState, call: Call) -> Iterator[Step[KeyState]]:
        """Return the steps that explain the outcome of a call in a state."""
        match call.arguments, call.outcome:
            case PutCell(value=value, expected_revision=expected), _:
                yield from (Step(s) for s in self._put(state, call, value, expected))
            case _, Cell(value, revision):
                if (value, revision) == (state.value, state.revision):
                    yield Step(state)
            case _, KeyMissing():
                if state.revision == 0:
                    yield Step(state)

    def _put(self, state: KeyState, call: Call, value: str, expected: int | None) -> Iterator[KeyState]:
        earlier = dict(state.results)
        if value in earlier:
            if _explains_copy(call, earlier[value], state):
                yield state
        elif expected is not None and expected != state.revision:
            if _explains_refusal(call, state):
                yield KeyState(state.value, state.revision, state.results | {(value, None)})
        else:
            for revision in self._possible_revisions(state, value):
                if _explains_write(call, revision):
                    yield KeyState(value, revision, state.results | {(value, revision)})

    def _possible_revisions(self, state: KeyState, value: str) -> list[int]:
        """Return the revisions that a put may get; the lowest possible one if no answer shows it."""
        if value in self._known_revisions:
            revision = self._known_revisions[value]
            return [revision] if revision > state.revision else []
        return [*(r for r in self._named_revisions if r > state.revision), state.revision + 1]


def _explains_write(call: Call, revision: int) -> bool:
    return is_in_doubt(call.outcome) or call.outcome == CellWritten(revision)


def _explains_refusal(call: Call, state: KeyState) -> bool:
    return is_in_doubt(call.outcome) or call.outcome == RevisionMismatch(state.revision)


def _explains_copy(call: Call, first_result: int | None, state: KeyState) -> bool:
    """Return whether the copy of a put may end as it did; a refusal may name an earlier revision."""
    if first_result is not None:
        return _explains_write(call, first_result)
    if isinstance(call.outcome, RevisionMismatch):
        return call.outcome.revision <= state.revision
    return is_in_doubt(call.outcome)


# -- a lock


@dataclass(frozen=True, slots=True)
class LockState:
    """The hold of a lock; `owner` is empty while there is none.

    `fence` is None while it is unknown, because the grant is in doubt; it is above `highest_fence` then. The
    hold may run out at `kept_until_ns`.
    """

    owner: str = ""
    fence: int | None = None
    kept_until_ns: int = 0
    highest_fence: int = 0


class LockModel:
    """One lock. A hold may run out from its hold time after its latest extension was sent, or later."""

    initial_state = LockState()

    def steps(self, state: LockState, call: Call) -> Iterator[Step[LockState]]:
        """Return the steps that explain the outcome of a call in a state."""
        for next_state in self._steps_now(state, call):
            yield Step(next_state)
        if state.owner:
            expired = LockState(highest_fence=state.highest_fence)
            for next_state in self._steps_now(expired, call):
                yield Step(next_state, state.kept_until_ns)

    def _steps_now(self, state: LockState, call: Call) -> Iterator[LockState]:
        match call.arguments:
            case AcquireLock(owner=owner, hold_ms=hold_ms):
                yield from self._acquire(state, call, owner, call.sent_ns + hold_ms * MS)
            case RenewLock(owner=owner, fence=fence, hold_ms=hold_ms):
                yield from self._renew(state, call, (owner, fence), call.sent_ns + hold_ms * MS)
            case ReleaseLock(owner=owner, fence=fence):
                yield from self._release(state, call, (owner, fence))

    def _acquire(self, state: LockState, call: Call, owner: str, until_ns: int) -> Iterator[LockState]:
        if state.owner and state.owner != owner:
            if isinstance(call.outcome, LockRefused) or is_in_doubt(call.outcome):
                yield state
        elif isinstance(call.outcome, LockGranted):
            fence = call.outcome.fence
            is_possible = fence > state.highest_fence if state.fence is None else fence == state.fence
            if is_possible:
                yield LockState(owner, fence, max(state.kept_until_ns, until_ns), fence)
        elif is_in_doubt(call.outcome):
            until_ns = max(state.kept_until_ns, until_ns)
            yield LockState(owner, state.fence, until_ns, state.highest_fence)

    def _renew(
        self, state: LockState, call: Call, holder: tuple[str, int], until_ns: int
    ) -> Iterator[LockState]:
        is_holder = (state.owner, state.fence) == holder
        if is_holder and (isinstance(call.outcome, LockRenewed) or is_in_doubt(call.outcome)):
            until_ns = max(state.kept_until_ns, until_ns)
            yield LockState(state.owner, state.fence, until_ns, state.highest_fence)
        if not is_holder and (isinstance(call.outcome, LockLost) or is_in_doubt(call.outcome)):
            yield state

    def _release(self, state: LockState, call: Call, holder: tuple[str, int]) -> Iterator[LockState]:
        if not (isinstance(call.outcome, LockReleased) or is_in_doubt(call.outcome)):
            return
        if (state.owner, state.fence) == holder:
            yield LockState(highest_fence=state.highest_fence)
        else:
            yield state
