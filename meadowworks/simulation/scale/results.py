"""The JSON object of a run of `lab scale`."""

from __future__ import annotations

import json
import zlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from meadowworks.gossip.messages import encode
from meadowworks.simulation.event_scheduler import SECOND
from meadowworks.simulation.scale.configuration_changes import ConfigurationChange
from meadowworks.simulation.scale.control_plane import (
    COMPRESSION_LEVEL,
    SimulatedControlPlane,
    peer_record,
)
from meadowworks.simulation.scale.deployment import HEARTBEAT_MS, Deployment, complete_reply
from meadowworks.simulation.scale.process_costs import profile_by_function, traced_memory_mb
from meadowworks.simulation.scale.proxy import SimulatedProxy
from meadowworks.simulation.scale.pulls import Pulls
from meadowworks.simulation.scale.quantiles import summarize
from meadowworks.simulation.scale.resource_meter import ResourceMeter
from meadowworks.simulation.scale.scheduler import peak_mb

if TYPE_CHECKING:
    from meadowworks.simulation.scale.simulation import ScaleSimulation

ROLE_FIGURES = ("in_bytes_s", "out_bytes_s", "out_messages_s", "processor_ms_s")


@dataclass(frozen=True, slots=True)
class RunPeriod:
    """The measured period of simulated time."""

    since_ns: int
    until_ns: int

    @property
    def seconds(self) -> float:
        """The length, at least a small positive number."""
        return max(1e-9, (self.until_ns - self.since_ns) / SECOND)


def collect_results(simulation: ScaleSimulation, period: RunPeriod, complete: bool) -> dict[str, Any]:
    """Return the JSON object of a run."""
    deployment = simulation.deployment
    content = deployment.control_planes[0].program.configuration.content
    compressed = zlib.compress(content, COMPRESSION_LEVEL)
    proxies = len(deployment.all_proxies())
    drains_s = [ns / SECOND for ns in simulation.heartbeats.drain_latencies_ns]
    result: dict[str, Any] = {
        "asked": asdict(simulation.settings),
        "complete": complete,
        "why": simulation.ended_early,
        "counted_s": period.seconds,
        "roles": _roles(deployment, period),
        "configuration": {"bytes": len(content), "compressed": len(compressed)},
        "changes": [change_result(change, proxies) for change in simulation.changes.changes],
        "loss": simulation.losses.result(period.until_ns),
        "drain_ack_s": summarize(drains_s),
        "held": control_plane_state(deployment, simulation.pulls),
    }
    if simulation.profiles:
        result["profile"] = {role: profile_by_function(one) for role, one in simulation.profiles.items()}
    result["start"], result["memory"] = start_results(deployment) if simulation.settings.memory else ({}, {})
    result["process"] = {"peak_mb": peak_mb(), "processes": 1}
    return result


def _roles(deployment: Deployment, period: RunPeriod) -> dict[str, Any]:
    full_proxies = [host.node.meter for host in deployment.proxies]
    all_proxies = [host.node.meter for host in deployment.all_proxies()]
    control_planes = [host.node.meter for host in deployment.control_planes]
    return {
        "junction": role_result(full_proxies, all_proxies, period.seconds),
        "signalbox": role_result(control_planes, control_planes, period.seconds),
    }


def role_result(
    metered: Sequence[ResourceMeter], counted: Sequence[ResourceMeter], seconds: float
) -> dict[str, Any]:
    """Return the mean figures per program and second.

    :param metered: the programs whose processor time is measured.
    :param counted: the programs whose messages and bytes are counted.
    """
    if not metered:
        return {}
    parts: Counter[str] = Counter()
    for meter in metered:
        parts.update(meter.cpu_ns)
    ns_to_ms_s = 1e6 * len(metered) * seconds
    program_seconds = 1.0 * len(counted) * seconds
    return {
        "controllers": len(counted),
        "metered": len(metered),
        "processor_ms_s": sum(parts.values()) / ns_to_ms_s,
        "processor_ms_s_most": max(sum(meter.cpu_ns.values()) for meter in metered) / 1e6 / seconds,
        "parts_ms_s": {name: ns / ns_to_ms_s for name, ns in parts.most_common()},
        "in_bytes_s": sum(meter.in_bytes for meter in counted) / program_seconds,
        "out_bytes_s": sum(meter.out_bytes for meter in counted) / program_seconds,
        "in_messages_s": sum(meter.in_messages for meter in counted) / program_seconds,
        "out_messages_s": sum(meter.out_messages for meter in counted) / program_seconds,
        "out_bytes_s_most": max(meter.out_bytes for meter in counted) / seconds,
    }


def change_result(change: ConfigurationChange, proxies: int) -> dict[str, Any]:
    """Return the time to a change's acknowledgement, and then until 50, 99, 100 % of proxies apply it."""
    acknowledged_ns = change.acknowledged_ns
    if not acknowledged_ns:
        return {"ack_s": None, "at_50_s": None, "at_99_s": None, "at_all_s": None}
    applied_s = sorted((ns - acknowledged_ns) / SECOND for ns in change.applied_ns.values())
    result: dict[str, float | None] = {"ack_s": (acknowledged_ns - change.sent_ns) / SECOND}
    for name, percent in (("at_50_s", 50), ("at_99_s", 99), ("at_all_s", 100)):
        index = -(-proxies * percent // 100) - 1  # rounded up
        result[name] = applied_s[index] if 0 <= index < len(applied_s) else None
    return result


def control_plane_state(deployment: Deployment, pulls: Pulls) -> dict[str, Any]:
    """Return the connections and the sizes of a control plane's state.

    Connections are those of pulls by proxies and other control planes, of its own pulls, and of backends.
    """
    control_planes = deployment.control_planes
    connections: Counter[str] = Counter()
    for proxy in deployment.all_proxies():
        connections[pulls.control_plane_for(proxy).node.name] += 1
    for instance in deployment.backends:
        connections[deployment.control_plane_of(instance).node.name] += 1
    for host in control_planes:
        connections[host.node.name] += 2 * (len(control_planes) - 1)
    on_disks = [host.program.encoded_heartbeats() for host in control_planes]
    disk_bytes = sum(len(name) + len(value) for rows in on_disks for name, value in rows.items())
    gossip = control_planes[0].program.gossip
    return {
        "connections": sum(connections.values()) / len(control_planes),
        "connections_most": max(connections.values()),
        "disk_lives_bytes": disk_bytes / len(control_planes),
        "vector_bytes": len(encode(gossip.remote_version_vector())),
        "sources": len(gossip.sources),
    }


def start_results(deployment: Deployment) -> tuple[dict[str, Any], dict[str, Any]]:
    """Start one more program of each role, and return a proxy's start cost and the memory of each role.

    Memory is measured by tracemalloc as the increase by the program, without the interpreter and libraries.
    """

    def start_proxy() -> SimulatedProxy:
        zone = deployment.topology.zones[0]
        record = peer_record("edge-new", "10.99.0.1", zone, False, 1)
        proxy = SimulatedProxy(record, deployment.topology.zones, deployment.clock, ResourceMeter())
        deployment.transfer_state(proxy)
        return proxy

    meter = start_proxy().meter
    parts_ms = {part: ns / 1e6 for part, ns in meter.cpu_ns.items()}
    start = {"bytes": meter.in_bytes, "processor_ms": sum(parts_ms.values()), "parts_ms": parts_ms}
    memory = {
        "junction": traced_memory_mb(start_proxy),
        "signalbox": traced_memory_mb(lambda: _start_control_plane(deployment)),
    }
    return {"junction": start}, memory


def _start_control_plane(deployment: Deployment) -> SimulatedControlPlane:
    """Start a control plane that copies the state of another one."""
    zone = deployment.topology.zones[0]
    source = deployment.nearest_control_plane(zone).program
    record = peer_record("core-new", source.peers.local.host, zone, True, 1)
    control_plane = SimulatedControlPlane(
        record, HEARTBEAT_MS, deployment.clock, lambda _wait_ns, _action: None, ResourceMeter()
    )
    control_plane.on_pull_reply(complete_reply(source, record.incarnation).encode())
    for instance in list(source.heartbeats.registrations):
        if instance in deployment.backends:
            body = json.loads(deployment.heartbeat_body(instance))
            control_plane.heartbeats.record_heartbeat(deployment.now, instance, body)
    control_plane.zone_loads.copy_from(source.zone_loads)
    return control_plane


def traffic_increase(roles: dict[str, Any], undisturbed: dict[str, Any]) -> dict[str, float]:
    """Return the increase of each role's total figures per second over those of an undisturbed run."""
    return {
        f"{role} {figure}": (roles[role][figure] - undisturbed[role][figure]) * roles[role]["controllers"]
        for role in roles
        for figure in ROLE_FIGURES
    }
