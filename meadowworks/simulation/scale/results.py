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
    """The simulated time that was counted."""

    since_ns: int
    until_ns: int

    @property
    def seconds(self) -> float:
        """Its length, above 0 in any case."""
        return max(1e-9, (self.until_ns - self.since_ns) / SECOND)


def collect_results(simulation: ScaleSimulation, period: RunPeriod, complete: bool) -> dict[str, Any]:
    """Return all that was measured."""
    deployment = simulation.deployment
    content = deployment.control_planes[0].program.configuration.content
    compressed = zlib.compress(content, COMPRESSION_LEVEL)
    proxies = len(deployment.all_proxies())
    drains_s = [ns / SECOND for ns in simulation.heartbeats.drain_acknowledged_ns]
    found: dict[str, Any] = {
        "asked": asdict(simulation.settings),
        "complete": complete,
        "why": simulation.ended_early,
        "counted_s": period.seconds,
        "roles": _roles(deployment, period),
        "configuration": {"bytes": len(content), "compressed": len(compressed)},
        "changes": [change_result(one, proxies) for one in simulation.changes.changes],
        "loss": simulation.losses.result(period.until_ns),
        "drain_ack_s": summarize(drains_s),
        "held": control_plane_state(deployment, simulation.pulls),
    }
    if simulation.profiles:
        found["profile"] = {role: profile_by_function(one) for role, one in simulation.profiles.items()}
    found["start"], found["memory"] = start_results(deployment) if simulation.settings.memory else ({}, {})
    found["process"] = {"peak_mb": peak_mb(), "processes": 1}
    return found


def _roles(deployment: Deployment, period: RunPeriod) -> dict[str, Any]:
    whole = [host.node.meter for host in deployment.proxies]
    all_proxies = [host.node.meter for host in deployment.all_proxies()]
    control_planes = [host.node.meter for host in deployment.control_planes]
    return {
        "junction": role_result(whole, all_proxies, period.seconds),
        "signalbox": role_result(control_planes, control_planes, period.seconds),
    }


def role_result(
    metered: Sequence[ResourceMeter], counted: Sequence[ResourceMeter], seconds: float
) -> dict[str, Any]:
    """Return means a program and second.

    :param metered: the programs whose processor time is real.
    :param counted: the programs whose messages and bytes are.
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
        "processor_ms_s_most": max(sum(one.cpu_ns.values()) for one in metered) / 1e6 / seconds,
        "parts_ms_s": {name: ns / ns_to_ms_s for name, ns in parts.most_common()},
        "in_bytes_s": sum(one.in_bytes for one in counted) / program_seconds,
        "out_bytes_s": sum(one.out_bytes for one in counted) / program_seconds,
        "in_messages_s": sum(one.in_messages for one in counted) / program_seconds,
        "out_messages_s": sum(one.out_messages for one in counted) / program_seconds,
        "out_bytes_s_most": max(one.out_bytes for one in counted) / seconds,
    }


def change_result(change: ConfigurationChange, proxies: int) -> dict[str, Any]:
    """Return when a change was acknowledged, and from then, in force at half of the proxies, 99 % and all."""
    acknowledged_ns = change.acknowledged_ns
    if not acknowledged_ns:
        return {"ack_s": None, "at_50_s": None, "at_99_s": None, "at_all_s": None}
    applied_s = sorted((ns - acknowledged_ns) / SECOND for ns in change.applied_ns.values())
    found: dict[str, float | None] = {"ack_s": (acknowledged_ns - change.sent_ns) / SECOND}
    for name, percent in (("at_50_s", 50), ("at_99_s", 99), ("at_all_s", 100)):
        index = -(-proxies * percent // 100) - 1  # rounded up
        found[name] = applied_s[index] if 0 <= index < len(applied_s) else None
    return found


def control_plane_state(deployment: Deployment, pulls: Pulls) -> dict[str, Any]:
    """Return what a control plane holds.

    Connections are those of proxies and control planes that pull there, its own pulls, and backends that
    call.
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
    """Start a program of each role beside what is there, and return what it cost, and what memory it holds.

    Memory is by tracemalloc: the difference that the program makes in this process, without the interpreter
    and libraries.
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
    """Start a control plane that takes over all that another one has."""
    zone = deployment.topology.zones[0]
    model = deployment.nearest_control_plane(zone).program
    record = peer_record("core-new", model.peers.local.host, zone, True, 1)
    started = SimulatedControlPlane(
        record, HEARTBEAT_MS, deployment.clock, lambda _wait_ns, _action: None, ResourceMeter()
    )
    started.on_pull_reply(complete_reply(model, record.incarnation).encode())
    for instance in list(model.heartbeats.registrations):
        if instance in deployment.backends:
            body = json.loads(deployment.heartbeat_body(instance))
            started.heartbeats.record_heartbeat(deployment.now, instance, body)
    started.zone_loads.copy_from(model.zone_loads)
    return started


def traffic_increase(roles: dict[str, Any], undisturbed: dict[str, Any]) -> dict[str, float]:
    """Return what the programs of each role took beyond those of another run, all together, a second."""
    return {
        f"{role} {figure}": (roles[role][figure] - undisturbed[role][figure]) * roles[role]["controllers"]
        for role in roles
        for figure in ROLE_FIGURES
    }
