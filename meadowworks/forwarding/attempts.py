"""One request's tries as a machine: sent, sent again or not, and what its client is told.

Whether a further try may follow is decided by `attempts`; here stands what each end of a try proves, and
which answer may be given. The rules it keeps: an unsafe request is sent again only with proof that it did not
run, and is answered 503 only with that proof; what is given up is answered at once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from meadowworks.attempts.retry_policy import (
    AFTER_ANY,
    ANSWERED,
    DROPPED,
    LATE,
    SENT,
    Again,
    Stop,
    Try,
    Way,
    again,
    come_back_ns,
    quickest,
    sure,
    wait_ns,
)
from meadowworks.forwarding.response_check import PROMISES

MS = 1_000_000
EARLY = 0.5  # part of the usual wait after which a try has another beside it, where a slot is free
PACE_NS = 60 * MS  # in which room may be found again: what a time to come back is reckoned with
LEAST_NS = 20 * MS  # with less time left no further try begins
SPENT = Stop("no further try is within the service's budget")
GONE = Stop("its client has gone")


@dataclass(frozen=True, slots=True)
class Send:
    """One try: to a backend, waited for until `until_ns` before another may go beside it."""

    number: int
    place: int
    until_ns: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do until a try ends or `until_ns` is there."""

    until_ns: int


@dataclass(frozen=True, slots=True)
class Forward:
    """The answer of this try goes to the client as it is."""

    number: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """An answer of our own. With `back_ns`: it has not run and never will, and may come back then."""

    status: int
    back_ns: int = 0


Step = Send | Wait | Forward | Refuse


@dataclass(slots=True)
class Journey:
    """`limit_ns` is when the client's or the operator's time is over. `policy` as `attempts` numbers it."""

    way: Way
    policy: int
    limit_ns: int
    tries: dict[int, Try] = field(default_factory=dict)
    failed: dict[int, int] = field(default_factory=dict)  # tries whose answer is a backend's own failure
    over: bool = False
    usual_ns: int = 0  # until when the newest try is waited for where no slot is free
    gone: bool = False  # its client has

    def start(self, now: int, lines: Mapping[int, float], delays: Mapping[int, float], chance: float) -> Step:
        if self.limit_ns - now < LEAST_NS:
            return self.refuse(now, chance)
        place = quickest(lines, (), delays, chance)
        # Guards against work for nobody: with no hope of an answer in time it is refused at once.
        if place is None or delays.get(place, 0.0) > self.limit_ns - now:
            return self.refuse(now, chance)
        return self.send(now, place, lines)

    def send(self, now: int, place: int, lines: Mapping[int, float]) -> Send:
        left = self.limit_ns - now
        wait = wait_ns(self.way, self.policy, [*self.tries.values()], lines, left)
        number = len(self.tries) + 1
        self.usual_ns = now + wait
        until = now + (int(EARLY * wait) if wait < left else wait)
        self.tries[number] = Try(place, SENT, until)
        return Send(number, place, until)

    def ended(
        self,
        now: int,
        number: int,
        state: int,
        status: int,
        lines: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        budget: Callable[[], bool],
    ) -> Step:
        """A try has ended; `status` is its answer's, 0 if it has none. `budget` takes a further one out of
        the service's budget, if there is room."""
        self.tries[number].state = state
        if state == ANSWERED:
            return Forward(number)
        if state == DROPPED and status and status not in PROMISES:
            self.failed[number] = status
        if any(one.state in (SENT, LATE) for one in self.tries.values()):
            return self.wait(now)
        return self.follow(now, lines, delays, chance, budget)

    def due(
        self,
        now: int,
        lines: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        budget: Callable[[], bool],
        free: bool = True,
    ) -> Step:
        """A try was waited for long enough: another may go beside it, whose answer counts as well; sooner
        where a slot is `free`, so that it takes nobody's turn. At the limit all is over."""
        if now >= self.limit_ns:
            return self.refuse(now, chance)
        for one in self.tries.values():
            if one.state == SENT and one.due_ns <= now < self.usual_ns and not free:
                one.due_ns = self.usual_ns
            elif one.state == SENT and one.due_ns <= now:
                one.state = LATE
                found = self.another(now, lines, delays, chance, budget)
                if isinstance(found, Again):
                    return self.send(now, found.backend, lines)
        return self.wait(now)

    def left(self) -> bool:
        """Its client has gone: nothing is sent any more. Whether what is under way may be ended: an unsafe
        request that may have run goes on, as its client has wanted it."""
        self.gone = True
        return self.way.repeatable

    def wait(self, now: int) -> Wait:
        due = [one.due_ns for one in self.tries.values() if one.state == SENT and one.due_ns > now]
        return Wait(min([*due, self.limit_ns]))

    def another(
        self,
        now: int,
        lines: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        budget: Callable[[], bool],
    ) -> Again | Stop:
        if self.gone:
            return GONE
        tries = [*self.tries.values()]
        found = again(self.way, self.policy, tries, lines, self.limit_ns - now, chance, delays)
        return found if isinstance(found, Stop) or budget() else SPENT

    def follow(
        self,
        now: int,
        lines: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        budget: Callable[[], bool],
    ) -> Step:
        found = self.another(now, lines, delays, chance, budget)
        if isinstance(found, Again):
            return self.send(now, found.backend, lines)
        if self.failed:  # the backend's own failure is the answer
            return Forward(next(iter(self.failed)))
        return self.refuse(now, chance)

    def refuse(self, now: int, chance: float) -> Refuse:
        self.over = True
        if sure([*self.tries.values()]):
            return Refuse(503, come_back_ns(PACE_NS, 1.0, chance))
        return Refuse(504 if now >= self.limit_ns else 502)


def way(safe: bool, limit_ns: int, wait: int) -> Way:
    """What `attempts` reads of a route."""
    return Way(repeatable=safe, limit_ns=limit_ns, wait_ns=wait, least_ns=LEAST_NS, hold_ns=0)


def policy(safe: bool, tries: int, jammed: bool) -> int:
    """The way of trying again, by what the operator allows; in a jam none."""
    if tries <= 1 or jammed:
        return 0
    return 1 if not safe else AFTER_ANY + (tries > 2)
