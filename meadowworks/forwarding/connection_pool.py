"""Lines to backends, kept by life: none is used for another life, and none outlives its own.

Decides which kept line may carry a request, how busy a backend is taken to be, and whom to avoid for a
moment after it could not be reached.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from meadowworks.forwarding.latency_estimate import update_service_time

SECOND = 1_000_000_000
DEFAULT_KEEP_ALIVE_NS = 4 * SECOND  # that a line is kept where its backend tells no time
KEEP_ALIVE_MARGIN_NS = (
    SECOND  # before the time that it tells: guards against a request that crosses its close
)
MAX_IDLE_CONNECTIONS = 24  # idle lines a life
UNREACHABLE_PENALTY_NS = SECOND  # that a backend which could not be reached is passed over
BACKEND_LOAD_TTL_NS = 400_000_000  # for so long what a backend told of its load counts, ever less
OTHER_PROXIES_SHARE = 0.6  # part of a home backend's calls that are taken to be of other junctions
ZONE_LOAD_TTL_NS = 3 * SECOND  # for so long what the figures of its zone say of it does


class PoolableConnection(Protocol):
    def usable(self) -> bool: ...
    def close(self) -> None: ...


ConnectionT = TypeVar("ConnectionT", bound=PoolableConnection)


@dataclass(slots=True)
class EndpointPool(Generic[ConnectionT]):
    """One life."""

    in_flight: int = 0  # tries of this junction
    others_in_flight: float = 0.0  # calls of others, as last told
    load_reported_ns: int = 0
    zone_load: float = 0.0  # calls there by its zone's figures
    zone_load_ns: int = -ZONE_LOAD_TTL_NS
    service_time_ns: float | None = None  # nanoseconds that it takes for a call alone
    avoided_until_ns: int = 0
    idle: list[tuple[int, ConnectionT]] = field(default_factory=list)  # until when, and the line; newest last


class ConnectionPool(Generic[ConnectionT]):
    """Stalls by life."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointPool[ConnectionT]] = {}

    def endpoint(self, backend_id: str) -> EndpointPool[ConnectionT]:
        if (found := self.endpoints.get(backend_id)) is None:
            found = self.endpoints[backend_id] = EndpointPool()
        return found

    def acquire(self, now: int, backend_id: str) -> ConnectionT | None:
        """A kept line that may carry a request."""
        stall = self.endpoint(backend_id)
        while stall.idle:
            until, line = stall.idle.pop()
            if now < until and line.usable():
                return line
            line.close()
        return None

    def release(self, now: int, backend_id: str, connection: ConnectionT, keep_alive_s: int | None) -> None:
        """Keeps a line after a whole answer, for less than its backend says that it will."""
        stall = self.endpoints.get(backend_id)
        span = DEFAULT_KEEP_ALIVE_NS if keep_alive_s is None else keep_alive_s * SECOND - KEEP_ALIVE_MARGIN_NS
        if stall is None or span <= 0 or len(stall.idle) >= MAX_IDLE_CONNECTIONS or not connection.usable():
            return connection.close()
        stall.idle.append((now + span, connection))

    def attempt_started(self, backend_id: str) -> None:
        self.endpoint(backend_id).in_flight += 1

    def attempt_ended(self, backend_id: str) -> None:
        if stall := self.endpoints.get(backend_id):
            stall.in_flight -= 1

    def record_backend_load(self, now: int, backend_id: str, running: int, waiting: int) -> None:
        """What an answer says of its backend's load, this answer's own call left out."""
        if stall := self.endpoints.get(backend_id):
            stall.others_in_flight = max(0.0, running + waiting - stall.in_flight)
            stall.load_reported_ns = now

    def record_zone_load(self, now: int, backend_id: str, in_flight: float) -> None:
        """What the junctions of its zone say of a backend's load, a moment ago."""
        stall = self.endpoint(backend_id)
        stall.zone_load, stall.zone_load_ns = in_flight, now

    def record_service_time(self, backend_id: str, elapsed_ns: int, load: float, capacity: float) -> None:
        """A call was answered that found `busy` others there."""
        if stall := self.endpoints.get(backend_id):
            stall.service_time_ns = update_service_time(stall.service_time_ns, elapsed_ns, load, capacity)

    def mark_unreachable(self, now: int, backend_id: str) -> None:
        self.endpoint(backend_id).avoided_until_ns = now + UNREACHABLE_PENALTY_NS

    def estimated_load(self, now: int, backend_id: str, same_zone: bool) -> float:
        """Calls that it is taken to be at work on: this junction's, and others' as it told. As that grows
        old, what the zones' figures say takes its place: guards against a backend that looks idle because
        it is too busy to answer."""
        stall = self.endpoints.get(backend_id)
        if stall is None:
            return 0.0
        fresh = max(0.0, 1 - (now - stall.load_reported_ns) / BACKEND_LOAD_TTL_NS)
        far = stall.zone_load if now - stall.zone_load_ns < ZONE_LOAD_TTL_NS else stall.others_in_flight
        return (
            stall.in_flight
            + stall.others_in_flight * fresh
            + far * (OTHER_PROXIES_SHARE if same_zone else 1.0) * (1 - fresh)
        )

    def is_avoided(self, now: int, backend_id: str) -> bool:
        stall = self.endpoints.get(backend_id)
        return stall is not None and now < stall.avoided_until_ns

    def evict(self, now: int, live_backend_ids: set[str]) -> None:
        """Ends lines of lives that are over, and those that have been idle for long enough."""
        for ident, stall in list(self.endpoints.items()):
            good = [
                (u, line) for u, line in stall.idle if now < u and ident in live_backend_ids and line.usable()
            ]
            for kept in stall.idle:
                if kept not in good:
                    kept[1].close()
            stall.idle = good
            if ident not in live_backend_ids and not stall.in_flight:
                del self.endpoints[ident]
