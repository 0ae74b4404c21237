"""The settings of a small gateway on loopback: every controller has an address of 127.0.0.0/8 of its own."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ZONES = {"north": "loop", "south": "loop"}
HEARTBEAT_INTERVAL_MS = 500


@dataclass(frozen=True, slots=True)
class Ports:
    http: int
    readyz: int
    control: int
    peer: int


def free_ports() -> Ports:
    """Ports that nothing listens at just now."""
    found = []
    for _ in range(4):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        found.append(sock)
    numbers = [sock.getsockname()[1] for sock in found]
    for sock in found:
        sock.close()
    return Ports(*numbers)


def first_unavailable(addresses: list[tuple[str, int]]) -> str | None:
    """The first address that cannot be listened at, with the reason."""
    for host, port in addresses:
        try:
            socket.create_server((host, port)).close()
        except OSError as trouble:
            return f"{host}:{port}: {trouble.strerror}"
    return None


@dataclass(frozen=True, slots=True)
class SystemLayout:
    """Controllers with their settings, as JSON values. `net` is the third number of the addresses."""

    subnet: int
    ports: Ports
    control_plane_nodes: int = 3
    proxies: int = 2

    def ip_address(self, index: int) -> str:
        return f"127.0.{self.subnet}.{index + 1}"

    def control_addresses(self) -> list[tuple[str, int]]:
        return [(self.ip_address(k), self.ports.control) for k in range(self.control_plane_nodes)]

    def proxy_addresses(self) -> list[tuple[str, int]]:
        return [(self.ip_address(self.control_plane_nodes + k), self.ports.http) for k in range(self.proxies)]

    def all_addresses(self) -> list[tuple[str, int]]:
        p, n = self.ports, self.control_plane_nodes
        found = [(self.ip_address(k), port) for k in range(n) for port in (p.control, p.peer)]
        return found + [
            (self.ip_address(n + k), port) for k in range(self.proxies) for port in (p.http, p.readyz, p.peer)
        ]

    def node_settings(self, index: int, data_dir: Path | None, bootstrap: bool = True) -> dict[str, Any]:
        """`place` counts the signalboxes first. `folder` is where a signalbox keeps its disk."""
        box, zones = index < self.control_plane_nodes, list(ZONES)
        ip, p = self.ip_address(index), self.ports
        bind = (
            {"ctl": f"{ip}:{p.control}"} if box else {"http": f"{ip}:{p.http}", "readyz": f"{ip}:{p.readyz}"}
        )
        return {
            "self": {
                "node": f"{'signalbox' if box else 'junction'}-{index}",
                "serves": ["ctl" if box else "edge"],
                "ip": ip,
                "zone": zones[index % len(zones)],
                "region": "loop",
                "voting": box,
                "bootstrap": bootstrap,
                "datadir": str(data_dir) if box and data_dir else None,
            },
            "network": {
                "bind": bind,
                "portRange": [p.peer, p.peer],
                "zones": ZONES,
                "seeds": [f"{host}:{port}" for host, port in self.control_addresses()[:3]],
            },
            "infra": {"heartbeatMs": HEARTBEAT_INTERVAL_MS},
            "terms": {"tolerate": {"nodes": (self.control_plane_nodes - 1) // 2}},
        }


def build_configuration(version: int, routes: dict[str, tuple[str, str]], max_attempts: int = 2) -> bytes:
    """A configuration of one host, `local.example`; `routes` gives type and service by prefix."""
    prefixes = [
        {
            "name": f"r{k}",
            "prefix": prefix,
            "type": kind,
            "deadlineMs": 2000,
            "targetMs": 500,
            "prio": 1,
            "svc": svc,
            "tries": max_attempts,
        }
        for k, (prefix, (kind, svc)) in enumerate(routes.items())
    ]
    whole = {
        "ver": f"{version:08x}",
        "svcs": [
            {"name": name, "healthPath": "/healthz", "maxConns": 100}
            for name in sorted({svc for _, svc in routes.values()})
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "vhosts": [{"host": "local.example", "prefixes": prefixes}],
    }
    return json.dumps(whole).encode()
