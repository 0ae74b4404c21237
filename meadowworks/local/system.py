"""The settings of a small gateway on loopback: every controller has an address of 127.0.0.0/8 of its own."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ZONES = {"north": "loop", "south": "loop"}
BEAT_MS = 500


@dataclass(frozen=True, slots=True)
class Ports:
    http: int
    readyz: int
    ctl: int
    inner: int


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


def taken(addresses: list[tuple[str, int]]) -> str | None:
    """The first address that cannot be listened at, with the reason."""
    for host, port in addresses:
        try:
            socket.create_server((host, port)).close()
        except OSError as trouble:
            return f"{host}:{port}: {trouble.strerror}"
    return None


@dataclass(frozen=True, slots=True)
class Plan:
    """Controllers with their settings, as JSON values. `net` is the third number of the addresses."""

    net: int
    ports: Ports
    signalboxes: int = 3
    junctions: int = 2

    def host(self, place: int) -> str:
        return f"127.0.{self.net}.{place + 1}"

    def ctls(self) -> list[tuple[str, int]]:
        return [(self.host(k), self.ports.ctl) for k in range(self.signalboxes)]

    def https(self) -> list[tuple[str, int]]:
        return [(self.host(self.signalboxes + k), self.ports.http) for k in range(self.junctions)]

    def addresses(self) -> list[tuple[str, int]]:
        p, n = self.ports, self.signalboxes
        found = [(self.host(k), port) for k in range(n) for port in (p.ctl, p.inner)]
        return found + [
            (self.host(n + k), port) for k in range(self.junctions) for port in (p.http, p.readyz, p.inner)
        ]

    def settings(self, place: int, folder: Path | None, bootstrap: bool = True) -> dict[str, Any]:
        """`place` counts the signalboxes first. `folder` is where a signalbox keeps its disk."""
        box, zones = place < self.signalboxes, list(ZONES)
        ip, p = self.host(place), self.ports
        bind = {"ctl": f"{ip}:{p.ctl}"} if box else {"http": f"{ip}:{p.http}", "readyz": f"{ip}:{p.readyz}"}
        return {
            "self": {
                "node": f"{'signalbox' if box else 'junction'}-{place}",
                "serves": ["ctl" if box else "edge"],
                "ip": ip,
                "zone": zones[place % len(zones)],
                "region": "loop",
                "voting": box,
                "bootstrap": bootstrap,
                "datadir": str(folder) if box and folder else None,
            },
            "network": {
                "bind": bind,
                "portRange": [p.inner, p.inner],
                "zones": ZONES,
                "seeds": [f"{host}:{port}" for host, port in self.ctls()[:3]],
            },
            "infra": {"heartbeatMs": BEAT_MS},
            "terms": {"tolerate": {"nodes": (self.signalboxes - 1) // 2}},
        }


def configuration(version: int, routes: dict[str, tuple[str, str]], tries: int = 2) -> bytes:
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
            "tries": tries,
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
