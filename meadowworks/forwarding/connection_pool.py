"""Idle connections to backends, pooled by instance.

A connection is never reused for another instance, and is closed when its instance is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from meadowworks.forwarding.endpoint_load import EndpointLoad

SECOND = 1_000_000_000
# Idle time of connections whose backend sends no `Keep-Alive` timeout: below the usual default of 5 s.
DEFAULT_KEEP_ALIVE_NS = 4 * SECOND
# Connections are closed this long before the announced timeout.
# Prevents a request from being sent while the backend closes its end.
KEEP_ALIVE_MARGIN_NS = SECOND
# Idle connections per instance: about its slots, so that a past burst does not hold descriptors.
MAX_IDLE_CONNECTIONS = 24


class PoolableConnection(Protocol):
    """Interface that the pool requires of a connection."""

    def usable(self) -> bool:
        """Return whether the connection can carry another request."""

    def close(self) -> None:
        """Close the connection."""


ConnectionT = TypeVar("ConnectionT", bound=PoolableConnection)


@dataclass(slots=True)
class EndpointPool(Generic[ConnectionT]):
    """Load and idle connections of one instance."""

    load: EndpointLoad = field(default_factory=EndpointLoad)
    idle: list[tuple[int, ConnectionT]] = field(default_factory=list)  # (expiry, connection), newest last


class ConnectionPool(Generic[ConnectionT]):
    """Endpoint pools by instance id. All times are monotonic, in nanoseconds."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointPool[ConnectionT]] = {}

    def endpoint(self, backend_id: str) -> EndpointPool[ConnectionT]:
        """Return the pool of an instance; create it if it is missing."""
        if (endpoint := self.endpoints.get(backend_id)) is None:
            endpoint = self.endpoints[backend_id] = EndpointPool()
        return endpoint

    def load(self, backend_id: str) -> EndpointLoad:
        """Return the load of an instance; create its pool if it is missing."""
        return self.endpoint(backend_id).load

    def find_load(self, backend_id: str) -> EndpointLoad | None:
        """Return the load of an instance; None if the instance has been evicted."""
        endpoint = self.endpoints.get(backend_id)
        return None if endpoint is None else endpoint.load

    def acquire(self, now: int, backend_id: str) -> ConnectionT | None:
        """Remove and return the newest usable idle connection; None if there is none.

        The caller owns the connection. Expired and unusable connections are closed.
        """
        endpoint = self.endpoint(backend_id)
        while endpoint.idle:
            expires_ns, connection = endpoint.idle.pop()
            if now < expires_ns and connection.usable():
                return connection
            connection.close()
        return None

    def release(self, now: int, backend_id: str, connection: ConnectionT, keep_alive_s: int | None) -> None:
        """Return a connection to the pool after a complete response, or close it.

        It is closed if it is unusable, its keep-alive time is too short, its instance was evicted, or the
        instance's pool is full.

        :param keep_alive_s: the timeout in the backend's `Keep-Alive` header, in seconds; None without one
        """
        endpoint = self.endpoints.get(backend_id)
        max_idle_ns = (
            DEFAULT_KEEP_ALIVE_NS if keep_alive_s is None else keep_alive_s * SECOND - KEEP_ALIVE_MARGIN_NS
        )
        if endpoint is None or max_idle_ns <= 0 or not connection.usable():
            return connection.close()
        if len(endpoint.idle) >= MAX_IDLE_CONNECTIONS:
            return connection.close()
        endpoint.idle.append((now + max_idle_ns, connection))
        return None

    def record_zone_load(self, now: int, backend_id: str, in_flight: float) -> None:
        """Record the load of an instance that its zone's load report states."""
        self.load(backend_id).record_zone_load(now, in_flight)

    def evict(self, now: int, live_backend_ids: set[str]) -> None:
        """Close expired idle connections and those to instances that are not live.

        The pool of an instance that is not live is dropped once no attempt is in flight there.
        """
        for backend_id, endpoint in list(self.endpoints.items()):
            is_live = backend_id in live_backend_ids
            kept = []
            for expires_ns, connection in endpoint.idle:
                if is_live and now < expires_ns and connection.usable():
                    kept.append((expires_ns, connection))
                else:
                    connection.close()
            endpoint.idle = kept
            if not is_live and not endpoint.load.in_flight:
                del self.endpoints[backend_id]
