"""Whether a call is tried again, and where; when one that is turned away may come back.

Source: the ways of trying again, 0 to 3, as a controller orders them by route. 0: never. 1: one further try,
at another backend, after proof that the first never ran. 2: one after any failure. 3: two after any failure.
A mutating call is repeated after proof alone, whatever the order says.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass

FURTHER = (0, 1, 1, 2)  # further tries at most, by way of trying again
AFTER_ANY = 2  # from this way on a repeatable call is tried again after any failure
FLOOR = 0.1  # the least level that a time to come back is reckoned with: the least that is ever ordered

SENT, ANSWERED, UNRUN, DROPPED, LATE, CANCELLED = range(6)  # what is known of a try


@dataclass(frozen=True, slots=True)
class Way:
    """A row a route: what is read of it. Times in nanoseconds."""

    repeatable: bool  # else mutating: must never run twice
    limit_ns: int  # from a call's coming to its final answer
    wait_ns: (
        int  # that a try which may be followed by another is waited for; the last one has all that is left
    )
    least_ns: int  # with less time left no further try begins
    hold_ns: int  # that an answer is kept for the client's own repeats


@dataclass(slots=True)
class Try:
    backend: int
    state: int
    due_ns: int  # until when it is waited for


@dataclass(frozen=True, slots=True)
class Again:
    backend: int


@dataclass(frozen=True, slots=True)
class Stop:
    """No further try; `why` is one of the words below."""

    why: str


ENOUGH = Stop("as many tries as the way allows")
MAY_HAVE_RUN = Stop("a try may have run")
NO_TIME = Stop("no time left")
NO_LINE = Stop("no other backend")


def pick(lines: Mapping[int, float], tried: Container[int], chance: float) -> int | None:
    """A backend of the table by weight, none that was tried. `chance` is from 0 up to, not with, 1."""
    open_to = sorted((place, weight) for place, weight in lines.items() if place not in tried and weight > 0)
    point = chance * sum(weight for _, weight in open_to)
    for place, weight in open_to:
        point -= weight
        if point < 0:
            return place
    return open_to[-1][0] if open_to else None  # what rounding left over


def quickest(
    lines: Mapping[int, float],
    tried: Container[int],
    delays: Mapping[int, float],
    chance: float,
) -> int | None:
    """The backend of the table, none that was tried, that is expected to answer first; `delays` holds the
    times, in any one unit. Among equals by weight."""
    open_to = {p: delays.get(p, 0.0) for p, w in lines.items() if w > 0 and p not in tried}
    least = min(open_to.values(), default=0.0)
    return pick({p: lines[p] for p, delay in open_to.items() if delay <= least * 1.0001}, (), chance)


def sure(tries: Sequence[Try]) -> bool:
    """Whether there is proof that none of them ran."""
    return all(one.state == UNRUN for one in tries)


def may_follow(way: Way, policy: int, tries: Sequence[Try]) -> Stop | None:
    """What stands against a further try, time and lines aside; nothing if it may be. All tries have ended."""
    if len(tries) > FURTHER[policy]:
        return ENOUGH
    if not sure(tries) and not (way.repeatable and policy >= AFTER_ANY):
        return MAY_HAVE_RUN
    return None


def again(
    way: Way,
    policy: int,
    tries: Sequence[Try],
    lines: Mapping[int, float],
    left_ns: int,
    chance: float,
    delays: Mapping[int, float] | None = None,
) -> Again | Stop:
    """The decision after a try has ended. `lines` is the table as it is now: what drains is not in it. With
    `delays` the quickest goes first, else it is by weight."""
    if against := may_follow(way, policy, tries):
        return against
    if left_ns < max(1, way.least_ns):
        return NO_TIME
    tried = {one.backend for one in tries}
    place = pick(lines, tried, chance) if delays is None else quickest(lines, tried, delays, chance)
    return NO_LINE if place is None else Again(place)


def wait_ns(way: Way, policy: int, tries: Sequence[Try], lines: Mapping[int, float], left_ns: int) -> int:
    """How long the next try is waited for: shorter than all that is left only if another may follow its
    silence, so that nothing is given up early for a try that will never be."""
    next_allowed = policy >= AFTER_ANY and way.repeatable and len(tries) < FURTHER[policy]
    others = {place for place, weight in lines.items() if weight > 0} - {one.backend for one in tries}
    follows = next_allowed and len(others) > 1 and left_ns - way.wait_ns >= way.least_ns
    return way.wait_ns if follows else left_ns


def come_back_ns(pace_ns: int, level: float, chance: float) -> int:
    """When one that was turned away may come back: not before levels may have moved (`pace_ns`), later the
    less is let in, and not all at once."""
    return int(pace_ns * (1 + chance) / max(FLOOR, min(1.0, level)))
