"""One pull in simulated time, from its request to its reply or time-out."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from meadowworks.gossip.messages import PullReply
from meadowworks.runtime.peer_client import CONNECT_TIMEOUT_S
from meadowworks.simulation.event_scheduler import SECOND, Callback
from meadowworks.simulation.scale.control_plane import OnReply
from meadowworks.simulation.scale.deployment import ControlPlaneHost, Deployment
from meadowworks.simulation.scale.scheduler import SimulatedNode

CONNECT_TIMEOUT_NS = int(CONNECT_TIMEOUT_S * SECOND)  # for a node that has not answered the previous pull


@dataclass(slots=True, eq=False)
class PullExchange:
    """A pull from a node to a control plane.

    `on_reply` is called as work of the node, `on_failure` after the time-out. Neither is called once the node
    has a new incarnation.
    """

    deployment: Deployment
    node: SimulatedNode
    target: ControlPlaneHost
    on_reply: OnReply
    on_failure: Callback
    incarnation: int = field(init=False)
    delay_ns: int = field(init=False)
    is_over: bool = False

    def __post_init__(self) -> None:
        self.incarnation = self.node.incarnation
        self.delay_ns = self.deployment.topology.link_delay_ns(self.node.zone, self.target.node.zone)

    def send(self, body: bytes, timeout_ns: int) -> None:
        """Send the request, which arrives after the link's delay if the control plane is reachable."""
        scheduler, target = self.deployment.scheduler, self.target.node
        arrived = partial(self._on_request_arrived, body)
        scheduler.call_after_work(self.delay_ns, partial(self._deliver_to, target, arrived))
        must_connect = target.name in self.node.unreachable
        scheduler.call_after_work(CONNECT_TIMEOUT_NS if must_connect else timeout_ns, self._time_out)

    def _deliver_to(self, receiver: SimulatedNode, action: Callback) -> None:
        scheduler, target = self.deployment.scheduler, self.target.node
        have_power = not scheduler.powered_off & {self.node.name, target.name}
        if have_power and self.deployment.topology.is_reachable(self.node.zone, target.zone):
            scheduler.enqueue(receiver, action)

    def _on_request_arrived(self, body: bytes) -> None:
        if not self.is_over:  # the server detects a closed connection before it reads the request
            self.target.program.on_pull(body, self._send_reply)

    def _send_reply(self, body: bytes, reply: PullReply) -> None:
        arrived = partial(self._on_reply_arrived, body, reply)
        delivery = partial(self._deliver_to, self.node, arrived)
        self.deployment.scheduler.call_after_work(self.delay_ns, delivery)

    def _on_reply_arrived(self, body: bytes, reply: PullReply) -> None:
        if not self.is_over and self.node.incarnation == self.incarnation:
            self.is_over = True
            self.node.unreachable.discard(self.target.node.name)
            self.on_reply(body, reply)

    def _time_out(self) -> None:
        has_power = self.node.name not in self.deployment.scheduler.powered_off
        if not self.is_over and self.node.incarnation == self.incarnation and has_power:
            self.is_over = True
            self.node.unreachable.add(self.target.node.name)
            self.on_failure()
