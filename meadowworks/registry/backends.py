"""One list out of what all signalboxes say. A view folded from news; every junction folds its own.

Drained or gone by anyone's word is so for good. Quiet is one only if each source that is alive and knows it
says so: backends may call any signalbox, and change to another.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.heartbeats import BACKEND_KEY_PREFIX, DRAINING, GONE, STATE_RANK, UP

SOURCE_TIMEOUT_NS = 8_000_000_000  # a source that has said nothing for so long vouches for nobody
SUSPECT = "quiet"


@dataclass(slots=True)
class BackendReport:
    service: str
    address: str
    zone: str
    capacity: float
    state: str
    sequence: int
    suspect: bool


@dataclass(slots=True)
class BackendInstance:
    """A life as all sources together tell it. `warm_ns`: when it is no longer slow from its start, by the
    reader's clock; 0 if it was warm when it was first heard of."""

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    capacity: float
    state: str  # up, draining, gone or quiet
    first_seen_ns: int  # when it was first heard of here
    warm_at_ns: int

    @property
    def accepts_requests(self) -> bool:
        """Whether a request may go there. One that is quiet may be there all the same."""
        return self.state not in (DRAINING, GONE)


class BackendDirectory:
    """`alive` tells for how long a source has been silent. `changed` holds the ids whose fold has changed
    since it was last cleared."""

    def __init__(self, source_silence_ns: Callable[[str], int], clock: Callable[[], int]) -> None:
        self.source_silence_ns, self.clock = source_silence_ns, clock
        self.reports: dict[str, dict[str, BackendReport]] = {}
        self.instances: dict[str, BackendInstance] = {}
        self.superseded: set[str] = set()  # lives that were seen to have ended: their address is another's
        self.changed_ids: set[str] = set()
        self.sources: set[str] = set()

    def on_update(self, event: KeyUpdate) -> None:
        """Folds one event in; what is malformed changes nothing."""
        if not event.key.startswith(BACKEND_KEY_PREFIX):
            return
        ident = event.key.removeprefix(BACKEND_KEY_PREFIX)
        sources = self.reports.setdefault(ident, {})
        if event.value is None:
            sources.pop(event.source, None)
            if not sources:
                del self.reports[ident]
        else:
            try:
                svc, addr, zone, capacity, state, calls, warm_ms, quiet = event.value
                said = BackendReport(
                    str(svc), str(addr), str(zone), float(capacity), str(state), int(calls), bool(quiet)
                )
                if state not in STATE_RANK:
                    return
            except (TypeError, ValueError):
                return
            sources[event.source] = said
            self.sources.add(event.source)
            if ident not in self.instances and addr:
                host, _, port = said.address.rpartition(":")
                now = self.clock()
                warm = now + int(float(warm_ms) * 1e6) if warm_ms else 0
                self.instances[ident] = BackendInstance(
                    ident, said.service, host, int(port), said.zone, said.capacity, "", now, warm
                )
        self.refresh(ident)

    def refresh(self, instance_id: str) -> None:
        known = self.instances.get(instance_id)
        if known is None:
            return
        state = self.merged_state(instance_id)
        if state == known.state:
            return
        known.state = state
        self.changed_ids.add(instance_id)
        if instance_id not in self.reports:
            del self.instances[instance_id]
            self.superseded.discard(instance_id)

    def merged_state(self, instance_id: str) -> str:
        sources = self.reports.get(instance_id)
        if not sources or instance_id in self.superseded:
            return GONE
        rank = max(STATE_RANK[s.state] for s in sources.values())
        if rank:
            return GONE if rank == STATE_RANK[GONE] else DRAINING
        alive = {name: s for name, s in sources.items() if self.source_silence_ns(name) < SOURCE_TIMEOUT_NS}
        if not alive and not any(self.source_silence_ns(name) < SOURCE_TIMEOUT_NS for name in self.sources):
            return UP  # nobody is heard at all: that says nothing of the backends
        return SUSPECT if all(s.suspect for s in alive.values()) else UP

    def is_known(self, instance_id: str) -> bool:
        """Whether any source speaks of it."""
        return instance_id in self.reports

    def is_draining_or_gone(self, instance_id: str) -> bool:
        """Whether any source says that it is draining or gone."""
        return any(STATE_RANK[s.state] for s in self.reports.get(instance_id, {}).values())

    def mark_superseded(self, instance_id: str) -> None:
        """Another backend answered at its address."""
        self.superseded.add(instance_id)
        self.refresh(instance_id)

    def refresh_all(self) -> None:
        """Sources fall silent without an event."""
        for ident in list(self.instances):
            self.refresh(ident)

    def instances_by_service(self) -> dict[str, list[BackendInstance]]:
        """Lives by service, those that are gone left out."""
        found: dict[str, list[BackendInstance]] = {}
        for backend in self.instances.values():
            if backend.state != GONE:
                found.setdefault(backend.service, []).append(backend)
        return found

    def summary(self) -> dict[str, Any]:
        return {
            ident: [b.service, f"{b.host}:{b.port}", b.zone, b.state]
            for ident, b in sorted(self.instances.items())
        }
