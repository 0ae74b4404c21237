"""Lines to backends, kept by life: none is used for another life, and none outlives its own.

Decides which kept line may carry a request, how busy a backend is taken to be, and whom to avoid for a
moment after it could not be reached.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from meadowworks.forwarding.latency_estimate import learn

SECOND = 1_000_000_000
IDLE_NS = 4 * SECOND  # that a line is kept where its backend tells no time
MARGIN_NS = SECOND  # before the time that it tells: guards against a request that crosses its close
KEEP_MOST = 24  # idle lines a life
AVOID_NS = SECOND  # that a backend which could not be reached is passed over
TOLD_NS = 400_000_000  # for so long what a backend told of its load counts, ever less
OTHERS = 0.6  # part of a home backend's calls that are taken to be of other junctions
FAR_NS = 3 * SECOND  # for so long what the figures of its zone say of it does


class Carrier(Protocol):
    def usable(self) -> bool: ...
    def close(self) -> None: ...


L = TypeVar("L", bound=Carrier)


@dataclass(slots=True)
class Stall(Generic[L]):
    """One life."""

    under_way: int = 0  # tries of this junction
    others: float = 0.0  # calls of others, as last told
    told_ns: int = 0
    far: float = 0.0  # calls there by its zone's figures
    far_ns: int = -FAR_NS
    needs: float | None = None  # nanoseconds that it takes for a call alone
    avoid_ns: int = 0
    idle: list[tuple[int, L]] = field(default_factory=list)  # until when, and the line; newest last


class Yard(Generic[L]):
    """Stalls by life."""

    def __init__(self) -> None:
        self.stalls: dict[str, Stall[L]] = {}

    def stall(self, ident: str) -> Stall[L]:
        if (found := self.stalls.get(ident)) is None:
            found = self.stalls[ident] = Stall()
        return found

    def take(self, now: int, ident: str) -> L | None:
        """A kept line that may carry a request."""
        stall = self.stall(ident)
        while stall.idle:
            until, line = stall.idle.pop()
            if now < until and line.usable():
                return line
            line.close()
        return None

    def keep(self, now: int, ident: str, line: L, told_s: int | None) -> None:
        """Keeps a line after a whole answer, for less than its backend says that it will."""
        stall = self.stalls.get(ident)
        span = IDLE_NS if told_s is None else told_s * SECOND - MARGIN_NS
        if stall is None or span <= 0 or len(stall.idle) >= KEEP_MOST or not line.usable():
            return line.close()
        stall.idle.append((now + span, line))

    def begin(self, ident: str) -> None:
        self.stall(ident).under_way += 1

    def end(self, ident: str) -> None:
        if stall := self.stalls.get(ident):
            stall.under_way -= 1

    def told(self, now: int, ident: str, running: int, waiting: int) -> None:
        """What an answer says of its backend's load, this answer's own call left out."""
        if stall := self.stalls.get(ident):
            stall.others = max(0.0, running + waiting - stall.under_way)
            stall.told_ns = now

    def figures(self, now: int, ident: str, calls: float) -> None:
        """What the junctions of its zone say of a backend's load, a moment ago."""
        stall = self.stall(ident)
        stall.far, stall.far_ns = calls, now

    def answered(self, ident: str, spent_ns: int, busy: float, weight: float) -> None:
        """A call was answered that found `busy` others there."""
        if stall := self.stalls.get(ident):
            stall.needs = learn(stall.needs, spent_ns, busy, weight)

    def unreached(self, now: int, ident: str) -> None:
        self.stall(ident).avoid_ns = now + AVOID_NS

    def busy(self, now: int, ident: str, home: bool) -> float:
        """Calls that it is taken to be at work on: this junction's, and others' as it told. As that grows
        old, what the zones' figures say takes its place: guards against a backend that looks idle because
        it is too busy to answer."""
        stall = self.stalls.get(ident)
        if stall is None:
            return 0.0
        fresh = max(0.0, 1 - (now - stall.told_ns) / TOLD_NS)
        far = stall.far if now - stall.far_ns < FAR_NS else stall.others
        return stall.under_way + stall.others * fresh + far * (OTHERS if home else 1.0) * (1 - fresh)

    def avoided(self, now: int, ident: str) -> bool:
        stall = self.stalls.get(ident)
        return stall is not None and now < stall.avoid_ns

    def sweep(self, now: int, living: set[str]) -> None:
        """Ends lines of lives that are over, and those that have been idle for long enough."""
        for ident, stall in list(self.stalls.items()):
            good = [(u, line) for u, line in stall.idle if now < u and ident in living and line.usable()]
            for kept in stall.idle:
                if kept not in good:
                    kept[1].close()
            stall.idle = good
            if ident not in living and not stall.under_way:
                del self.stalls[ident]
