"""Pulls in simulated time, from proxies to control planes and between control planes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from meadowworks.controlplane.pull_client import PULLS_PER_SHUFFLE, RETRY_DELAY_S
from meadowworks.gossip.messages import PullReply
from meadowworks.gossip.peer_sampling import PEER_EXPIRY_NS
from meadowworks.proxy.pull_schedule import FAILURE_PAUSE_S, PULL_TIMEOUT_S
from meadowworks.proxy.timers import POLICY_TICK_S
from meadowworks.simulation.event_scheduler import SECOND
from meadowworks.simulation.scale.control_plane import START_UNIX_S
from meadowworks.simulation.scale.deployment import (
    AnyProxyHost,
    ControlPlaneHost,
    Deployment,
    ProxyHost,
    StubHost,
)
from meadowworks.simulation.scale.proxy import SimulatedProxy
from meadowworks.simulation.scale.pull_exchange import PullExchange
from meadowworks.simulation.scale.scheduler import SimulatedNode

PULL_TIMEOUT_NS, PROXY_RETRY_NS = int(PULL_TIMEOUT_S * SECOND), int(FAILURE_PAUSE_S * SECOND)
REPLICATION_TIMEOUT_NS, REPLICATION_RETRY_NS = 2 * SECOND, int(RETRY_DELAY_S * SECOND)
POLICY_TICK_NS = int(POLICY_TICK_S * SECOND)


@dataclass(slots=True)
class PullCost:
    """The processor time of replies at fully simulated proxies, by which stubs estimate theirs."""

    cpu_ns: float = 0.0
    reply_bytes: float = 0.0

    def add(self, cpu_ns: int, reply_bytes: int) -> None:
        """Count one reply."""
        self.cpu_ns += cpu_ns
        self.reply_bytes += reply_bytes

    def estimate_ns(self, reply_bytes: int) -> int:
        """Return the estimated processor time of a reply of a size; 0 before the first reply."""
        return int(self.cpu_ns / self.reply_bytes * reply_bytes) if self.reply_bytes else 0


class Pulls:
    """Runs the pulls and the periodic work of all programs.

    :param on_answered: called with each proxy whose pull was answered.
    :param on_configuration: called with each proxy that has applied a configuration, and its version.
    """

    def __init__(
        self,
        deployment: Deployment,
        on_answered: Callable[[SimulatedNode], None],
        on_configuration: Callable[[SimulatedNode, int], None],
    ) -> None:
        self._deployment = deployment
        self._scheduler = deployment.scheduler
        self._on_answered, self._on_configuration = on_answered, on_configuration
        self._costs = {False: PullCost(), True: PullCost()}  # by whether the reply had a configuration
        self._records = {host.node.name: host.program.peers.local for host in deployment.control_planes}
        self._by_address = {host.address: host for host in deployment.control_planes}

    # -- start

    def start_control_plane(self, host: ControlPlaneHost) -> None:
        """Start a control plane's periodic work and its pulls of all other control planes' updates."""
        deployment, start = self._deployment, self._deployment.now
        second_ns = start + deployment.random_offset_ns(1.0)
        self._scheduler.call_at(second_ns, partial(self._control_plane_second, host))
        for target in deployment.control_planes:
            if target is not host:
                pull_ns = start + deployment.random_offset_ns(0.1)
                self._scheduler.call_at(pull_ns, partial(self._pull_updates, host, target, 0))

    def start_proxy(self, host: ProxyHost) -> None:
        """Start the pulls and the periodic work of a proxy's current incarnation."""
        offset_ns = self._deployment.random_offset_ns
        incarnation = host.node.incarnation
        self._scheduler.call_later(offset_ns(1.0), lambda: self._proxy_pull(host, incarnation))
        self._scheduler.call_later(offset_ns(1.0), lambda: self._proxy_second(host, incarnation))
        self._scheduler.call_later(offset_ns(0.25), lambda: self._proxy_quarter_second(host, incarnation))

    def start_stub(self, host: StubHost) -> None:
        """Start a stub's pulls, at a random time within a second."""
        self._scheduler.call_later(self._deployment.random_offset_ns(1.0), partial(self.pull_of_stub, host))

    # -- control planes

    def _control_plane_second(self, host: ControlPlaneHost) -> None:
        def run() -> None:
            host.program.each_second()
            self._scheduler.call_after_work(SECOND, partial(self._control_plane_second, host))

        self._scheduler.enqueue(host.node, run)

    def _pull_updates(self, host: ControlPlaneHost, target: ControlPlaneHost, pull_number: int) -> None:
        """Pull another control plane's updates; each reply starts the next pull."""
        scheduler = self._scheduler

        def on_reply(body: bytes, _reply: PullReply) -> None:
            host.program.on_pull_reply(body)
            scheduler.call_after_work(0, partial(self._pull_updates, host, target, pull_number + 1))

        def on_failure() -> None:
            if target.address in host.program.peers.peers:
                retry = partial(self._pull_updates, host, target, pull_number)
                scheduler.call_later(REPLICATION_RETRY_NS, retry)
            else:  # its record has expired; waits for a new one
                scheduler.call_later(SECOND, on_failure)

        def send() -> None:
            with_peers = pull_number % PULLS_PER_SHUFFLE == 0
            body = host.program.build_pull(with_peers)
            exchange = PullExchange(self._deployment, host.node, target, on_reply, on_failure)
            exchange.send(body, REPLICATION_TIMEOUT_NS)

        scheduler.enqueue(host.node, send)

    # -- proxies

    def control_plane_for(self, host: AnyProxyHost) -> ControlPlaneHost:
        """Return the control plane that a proxy pulls from; lost ones count until their records expire."""
        now = self._deployment.now
        have_expired = now - self._deployment.failed.lost_ns > PEER_EXPIRY_NS
        expired = self._scheduler.powered_off if have_expired else set()
        records = [record for name, record in self._records.items() if name not in expired]
        chosen = host.selection.choose(now, records, [])
        return self._by_address[chosen[0] if chosen else ""]

    def _proxy_pull(self, host: ProxyHost, incarnation: int) -> None:
        node, scheduler = host.node, self._scheduler
        if node.incarnation != incarnation:
            return
        proxy, target = host.program, self.control_plane_for(host)

        def on_reply(body: bytes, reply: PullReply) -> None:
            proxy.on_pull_reply(body)
            has_configuration = reply.config is not None
            self._costs[has_configuration].add(proxy.meter.work_ns, len(body))
            version = proxy.route_table.version if proxy.route_table else 0

            def after_work() -> None:
                self._on_answered(node)
                if has_configuration:
                    self._on_configuration(node, version)
                self._proxy_pull(host, incarnation)

            scheduler.call_after_work(0, after_work)

        def on_failure() -> None:
            host.selection.mark_failed(self._deployment.now, target.address)
            scheduler.call_later(PROXY_RETRY_NS, partial(self._proxy_pull, host, incarnation))

        def send() -> None:
            self._count_requests(proxy)
            exchange = PullExchange(self._deployment, node, target, on_reply, on_failure)
            exchange.send(proxy.build_pull(), PULL_TIMEOUT_NS)

        scheduler.enqueue(node, send)

    def _count_requests(self, proxy: SimulatedProxy) -> None:
        """Add the requests since the previous pull to a proxy's load reports."""
        requests = proxy.load_report.service_requests
        for instance, *counts in (self._deployment.draw_load_report(proxy.zone) or [[]])[0]:
            proxy.load_report.backend_counts[instance] = list(counts)
            proxy.own_load_report.backend_counts[instance] = list(counts)
            service = self._deployment.backends[instance].service
            requests[service] = requests.get(service, 0) + counts[0]

    def _proxy_second(self, host: ProxyHost, incarnation: int) -> None:
        def run() -> None:
            if host.node.incarnation == incarnation:
                host.program.each_second()
                self._scheduler.call_after_work(SECOND, partial(self._proxy_second, host, incarnation))

        self._scheduler.enqueue(host.node, run)

    def _proxy_quarter_second(self, host: ProxyHost, incarnation: int) -> None:
        def run() -> None:
            if host.node.incarnation == incarnation:
                host.program.each_quarter_second()
                next_tick = partial(self._proxy_quarter_second, host, incarnation)
                self._scheduler.call_after_work(POLICY_TICK_NS, next_tick)

        self._scheduler.enqueue(host.node, run)

    def pull_of_stub(self, host: StubHost) -> None:
        """Send a stub's pull, and the next one when a full proxy would have processed the reply."""
        node, stub, scheduler = host.node, host.program, self._scheduler
        target = self.control_plane_for(host)

        def on_reply(body: bytes, reply: PullReply) -> None:
            stub.on_pull_reply(body, reply)
            has_configuration = reply.config is not None
            work_ns = self._costs[has_configuration].estimate_ns(len(body))

            def after_work() -> None:
                self._on_answered(node)
                if reply.config is not None:
                    self._on_configuration(node, reply.config[0])
                self.pull_of_stub(host)

            scheduler.call_after_work(work_ns if self._deployment.settings.cpu else 0, after_work)

        def on_failure() -> None:
            host.selection.mark_failed(self._deployment.now, target.address)
            scheduler.call_later(PROXY_RETRY_NS, partial(self.pull_of_stub, host))

        if node.name not in scheduler.powered_off:
            body = stub.build_pull(START_UNIX_S + node.incarnation + self._deployment.now // SECOND)
            exchange = PullExchange(self._deployment, node, target, on_reply, on_failure)
            exchange.send(body, PULL_TIMEOUT_NS)
