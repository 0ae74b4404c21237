"""Which endpoints a request of a service may go to now: its balancer's weights, and the load of each."""

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
    """The endpoints of a service as they are at one moment, by number.

    Made for each request and each of its events: a plain class with slots is the quickest to make.
    """

    __slots__ = ("load", "local", "remote", "service_times")

    def __init__(self) -> None:
        self.local: dict[int, float] = {}  # weights in the proxy's zone
        self.remote: dict[int, float] = {}  # weights in other zones
        self.load: dict[int, float] = {}  # requests in flight
        self.service_times: dict[int, float] = {}  # nanoseconds, where it is known


class EndpointSelector:
    """Joins the balancers' weights, the list of backends and the load of each."""

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
        """The endpoints that a request may go to.

        :param target_ns: the latency target of its route
        """
        found = EndpointSnapshot()
        listed = self._collect(found, balancer, balancer.weights, now)
        if local_zone_suffices(found.local, found.load, found.service_times):
            return EndpointChoices(found.local, estimate_delays(found.local, found.load, found.service_times))
        self._collect(found, balancer, balancer.remote_weights, now)
        choices = choose_endpoints(
            found.local, found.remote, found.load, found.service_times, target_ns, balancer.response_bytes
        )
        # Where all are avoided a request goes to one of them rather than nowhere.
        return choices if choices.weights else EndpointChoices(listed, {}, False)

    def _collect(
        self, found: EndpointSnapshot, balancer: ServiceBalancer, weights: Mapping[int, float], now: int
    ) -> dict[int, float]:
        """Add endpoints that may be tried to the snapshot.

        :returns: the weights of all that are listed, with those that could not be reached a moment ago
        """
        names, instances = balancer.endpoint_ids.name_by_index, self._backends.instances
        local_zone = self._settings.current.zone
        listed: dict[int, float] = {}
        for endpoint, weight in weights.items():
            instance = instances.get(names[endpoint])
            if instance is None or not instance.accepts_requests:
                continue  # the weights are a moment behind the list
            listed[endpoint] = weight
            load = self._pool.load(instance.instance_id)
            if load.is_avoided(now):
                continue
            is_local = instance.zone == local_zone
            candidates = found.local if is_local else found.remote
            if weight > candidates.get(endpoint, 0.0):
                candidates[endpoint] = weight
            found.load[endpoint] = load.estimate(now, is_local)
            if load.service_time_ns is not None:
                found.service_times[endpoint] = load.service_time_ns
        return listed
