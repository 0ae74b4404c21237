"""Idle connections to backends, by instance: none is used for another instance, and none outlives its own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from meadowworks.forwarding.endpoint_load import EndpointLoad

SECOND = 1_000_000_000
# How long an idle connection is kept whose backend names no time in `Keep-Alive`: less than the usual 5 s.
DEFAULT_KEEP_ALIVE_NS = 4 * SECOND
# How long before the named time it is closed: guards against a request that crosses the backend's close.
KEEP_ALIVE_MARGIN_NS = SECOND
# Idle connections to one instance: about its slots, so that a burst over does not hold descriptors.
MAX_IDLE_CONNECTIONS = 24


class PoolableConnection(Protocol):
    """What the pool needs of a connection."""

    def is_usable(self) -> bool:
        """Whether it may carry another request."""

    def close(self) -> None:
        """End it."""


ConnectionT = TypeVar("ConnectionT", bound=PoolableConnection)


@dataclass(slots=True)
class EndpointPool(Generic[ConnectionT]):
    """One instance: its load and its idle connections."""

    load: EndpointLoad = field(default_factory=EndpointLoad)
    idle: list[tuple[int, ConnectionT]] = field(default_factory=list)  # kept until when; the newest last


class ConnectionPool(Generic[ConnectionT]):
    """The instances that requests are sent to, by id. Times are of a steady clock, in nanoseconds."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointPool[ConnectionT]] = {}

    def endpoint(self, backend_id: str) -> EndpointPool[ConnectionT]:
        """The pool of an instance; a new one if there is none."""
        if (found := self.endpoints.get(backend_id)) is None:
            found = self.endpoints[backend_id] = EndpointPool()
        return found

    def load(self, backend_id: str) -> EndpointLoad:
        """The load of an instance."""
        return self.endpoint(backend_id).load

    def find_load(self, backend_id: str) -> EndpointLoad | None:
        """The load of an instance, unless it has been evicted."""
        found = self.endpoints.get(backend_id)
        return None if found is None else found.load

    def acquire(self, now: int, backend_id: str) -> ConnectionT | None:
        """The newest idle connection that may carry a request, if any; the caller owns it."""
        endpoint = self.endpoint(backend_id)
        while endpoint.idle:
            until_ns, connection = endpoint.idle.pop()
            if now < until_ns and connection.is_usable():
                return connection
            connection.close()
        return None

    def release(self, now: int, backend_id: str, connection: ConnectionT, keep_alive_s: int | None) -> None:
        """Take a connection back after a complete response, or close it.

        :param keep_alive_s: how long its backend says that it keeps the connection; None if it does not say
        """
        endpoint = self.endpoints.get(backend_id)
        idle_ns = (
            DEFAULT_KEEP_ALIVE_NS if keep_alive_s is None else keep_alive_s * SECOND - KEEP_ALIVE_MARGIN_NS
        )
        if endpoint is None or idle_ns <= 0 or not connection.is_usable():
            return connection.close()
        if len(endpoint.idle) >= MAX_IDLE_CONNECTIONS:
            return connection.close()
        endpoint.idle.append((now + idle_ns, connection))
        return None

    def record_zone_load(self, now: int, backend_id: str, in_flight: float) -> None:
        """Record what the proxies of an instance's zone have said of its load."""
        self.load(backend_id).record_zone_load(now, in_flight)

    def evict(self, now: int, live_backend_ids: set[str]) -> None:
        """Close connections to instances that are gone, and those that were idle for long enough."""
        for backend_id, endpoint in list(self.endpoints.items()):
            is_live = backend_id in live_backend_ids
            kept = []
            for until_ns, connection in endpoint.idle:
                if is_live and now < until_ns and connection.is_usable():
                    kept.append((until_ns, connection))
                else:
                    connection.close()
            endpoint.idle = kept
            if not is_live and not endpoint.load.in_flight:
                del self.endpoints[backend_id]
