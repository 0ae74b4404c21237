"""One list out of what all signalboxes say. A view folded from news; every junction folds its own.

Drained or gone by anyone's word is so for good. Quiet is one only if each source that is alive and knows it
says so: backends may call any signalbox, and change to another.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from meadowworks.gossip.updates import Told
from meadowworks.registry.heartbeats import DRAINING, GONE, PREFIX, RANK, UP

DEAD_NS = 8_000_000_000  # a source that has said nothing for so long vouches for nobody
QUIET = "quiet"


@dataclass(slots=True)
class Said:
    svc: str
    addr: str
    zone: str
    capacity: float
    state: str
    calls: int
    quiet: bool


@dataclass(slots=True)
class Backend:
    """A life as all sources together tell it. `warm_ns`: when it is no longer slow from its start, by the
    reader's clock; 0 if it was warm when it was first heard of."""

    ident: str
    svc: str
    host: str
    port: int
    zone: str
    capacity: float
    state: str  # up, draining, gone or quiet
    since_ns: int  # when it was first heard of here
    warm_ns: int

    @property
    def takes(self) -> bool:
        """Whether a request may go there. One that is quiet may be there all the same."""
        return self.state not in (DRAINING, GONE)


class Lives:
    """`alive` tells for how long a source has been silent. `changed` holds the ids whose fold has changed
    since it was last cleared."""

    def __init__(self, silent_ns: Callable[[str], int], now: Callable[[], int]) -> None:
        self.silent_ns, self.now = silent_ns, now
        self.said: dict[str, dict[str, Said]] = {}
        self.known: dict[str, Backend] = {}
        self.over: set[str] = set()  # lives that were seen to have ended: their address is another's
        self.changed: set[str] = set()
        self.sources: set[str] = set()

    def told(self, event: Told) -> None:
        """Folds one event in; what is malformed changes nothing."""
        if not event.key.startswith(PREFIX):
            return
        ident = event.key.removeprefix(PREFIX)
        sources = self.said.setdefault(ident, {})
        if event.value is None:
            sources.pop(event.source, None)
            if not sources:
                del self.said[ident]
        else:
            try:
                svc, addr, zone, capacity, state, calls, warm_ms, quiet = event.value
                said = Said(
                    str(svc), str(addr), str(zone), float(capacity), str(state), int(calls), bool(quiet)
                )
                if state not in RANK:
                    return
            except (TypeError, ValueError):
                return
            sources[event.source] = said
            self.sources.add(event.source)
            if ident not in self.known and addr:
                host, _, port = said.addr.rpartition(":")
                now = self.now()
                warm = now + int(float(warm_ms) * 1e6) if warm_ms else 0
                self.known[ident] = Backend(
                    ident, said.svc, host, int(port), said.zone, said.capacity, "", now, warm
                )
        self.fold(ident)

    def fold(self, ident: str) -> None:
        known = self.known.get(ident)
        if known is None:
            return
        state = self.state(ident)
        if state == known.state:
            return
        known.state = state
        self.changed.add(ident)
        if ident not in self.said:
            del self.known[ident]
            self.over.discard(ident)

    def state(self, ident: str) -> str:
        sources = self.said.get(ident)
        if not sources or ident in self.over:
            return GONE
        rank = max(RANK[s.state] for s in sources.values())
        if rank:
            return GONE if rank == RANK[GONE] else DRAINING
        alive = {name: s for name, s in sources.items() if self.silent_ns(name) < DEAD_NS}
        if not alive and not any(self.silent_ns(name) < DEAD_NS for name in self.sources):
            return UP  # nobody is heard at all: that says nothing of the backends
        return QUIET if all(s.quiet for s in alive.values()) else UP

    def heard_of(self, ident: str) -> bool:
        """Whether any source speaks of it."""
        return ident in self.said

    def fenced(self, ident: str) -> bool:
        """Whether any source says that it is draining or gone."""
        return any(RANK[s.state] for s in self.said.get(ident, {}).values())

    def ended(self, ident: str) -> None:
        """Another backend answered at its address."""
        self.over.add(ident)
        self.fold(ident)

    def tick(self) -> None:
        """Sources fall silent without an event."""
        for ident in list(self.known):
            self.fold(ident)

    def listing(self) -> dict[str, list[Backend]]:
        """Lives by service, those that are gone left out."""
        found: dict[str, list[Backend]] = {}
        for backend in self.known.values():
            if backend.state != GONE:
                found.setdefault(backend.svc, []).append(backend)
        return found

    def summary(self) -> dict[str, Any]:
        return {
            ident: [b.svc, f"{b.host}:{b.port}", b.zone, b.state] for ident, b in sorted(self.known.items())
        }
