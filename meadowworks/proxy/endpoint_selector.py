"""Selection of endpoints for a request, from the weights of its service's balancer and their load."""

from __future__ import annotations

from collections.abc import Mapping

from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import (
    EndpointChoices,
    choose_endpoints,
    estimate_delays,
    local_zone_suffices,
)
from meadowworks.load_balancing.service_balancer import ServiceBalancer
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.runtime.http_connection import ClientConnection
from meadowworks.runtime.live_settings import LiveSettings


class EndpointSnapshot:
    """State of a service's endpoints at one moment, by endpoint number.

    Created for each event of each request; a plain class with slots is the cheapest to create.
    """

    __slots__ = ("load", "local", "remote", "service_times")

    def __init__(self) -> None:
        self.local: dict[int, float] = {}  # weights in the proxy's zone
        self.remote: dict[int, float] = {}  # weights in other zones
        self.load: dict[int, float] = {}  # requests in flight
        self.service_times: dict[int, float] = {}  # in nanoseconds, where known


class EndpointSelector:
    """Selector that combines the balancers' weights with the backends' states and loads."""

    def __init__(
        self,
        settings: LiveSettings,
        view: ControlPlaneView,
        pool: ConnectionPool[ClientConnection],
    ) -> None:
        self._settings = settings
        self._backends = view.backends
        self._pool = pool

    def select(self, balancer: ServiceBalancer, target_ns: float, now: int) -> EndpointChoices:
        """Return the endpoints that a request may be sent to.

        :param target_ns: the latency target of its route, in nanoseconds
        """
        snapshot = EndpointSnapshot()
        listed = self._collect(snapshot, balancer, balancer.weights, now)
        if local_zone_suffices(snapshot.local, snapshot.load, snapshot.service_times):
            return EndpointChoices(
                snapshot.local, estimate_delays(snapshot.local, snapshot.load, snapshot.service_times)
            )
        self._collect(snapshot, balancer, balancer.remote_weights, now)
        choices = choose_endpoints(
            snapshot.local,
            snapshot.remote,
            snapshot.load,
            snapshot.service_times,
            target_ns,
            balancer.response_bytes,
        )
        # If all endpoints are avoided, the request is sent to one of them rather than rejected.
        return choices if choices.weights else EndpointChoices(listed, {}, False)

    def _collect(
        self, snapshot: EndpointSnapshot, balancer: ServiceBalancer, weights: Mapping[int, float], now: int
    ) -> dict[int, float]:
        """Add the endpoints that are eligible for a request to the snapshot.

        :returns: the weights of all endpoints that accept requests, avoided ones included
        """
        names, instances = balancer.endpoint_ids.name_by_index, self._backends.instances
        local_zone = self._settings.current.zone
        listed: dict[int, float] = {}
        for endpoint, weight in weights.items():
            instance = instances.get(names[endpoint])
            if instance is None or not instance.accepts_requests:
                continue  # the weights are slightly older than the backend list
            listed[endpoint] = weight
            load = self._pool.load(instance.instance_id)
            if load.is_avoided(now):
                continue
            is_local = instance.zone == local_zone
            candidates = snapshot.local if is_local else snapshot.remote
            if weight > candidates.get(endpoint, 0.0):
                candidates[endpoint] = weight
            snapshot.load[endpoint] = load.estimate(now, is_local)
            if load.service_time_ns is not None:
                snapshot.service_times[endpoint] = load.service_time_ns
        return listed
