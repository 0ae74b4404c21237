"""The layout of a gateway on loopback: each node has its own address in 127.0.0.0/8."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from meadowworks.runtime.address import Address

REGION = "loop"
ZONES = {"north": REGION, "south": REGION}
HEARTBEAT_INTERVAL_MS = 500  # of backends; short, so that changes show soon
MAX_SEEDS = 3  # control-plane nodes in a node's settings
HOSTS_PER_SUBNET = 250  # addresses whose last number is from 1
HOST_NAME = "local.example"  # the only host of the configuration


@dataclass(frozen=True, slots=True)
class Ports:
    """The port numbers, which are the same at every node's address.

    :ivar http: of proxies, for clients.
    :ivar readyz: of proxies, for the readiness checks of a load balancer.
    :ivar control: of control-plane nodes, for operators and backends.
    :ivar peer: of all nodes, for calls between nodes.
    """

    http: int
    readyz: int
    control: int
    peer: int


def find_free_ports() -> Ports:
    """Return ports on which nothing listens at the moment."""
    sockets = [socket.socket() for _ in range(4)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    numbers = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return Ports(*numbers)


def find_unavailable_address(addresses: list[Address]) -> str | None:
    """Return the first address that cannot be listened on, with the reason; None if there is none."""
    for address in addresses:
        try:
            socket.create_server(address).close()
        except OSError as error:
            return f"{address.host}:{address.port}: {error.strerror}"
    return None


@dataclass(frozen=True, slots=True)
class SystemLayout:
    """The nodes of a gateway: control-plane nodes, then proxies, then spare control-plane nodes.

    :ivar subnet: the third number of all IP addresses.
    :ivar spare_nodes: control-plane nodes that replace others; no node has them as seeds at first.
    """

    subnet: int
    ports: Ports
    control_plane_nodes: int = 3
    proxies: int = 2
    spare_nodes: int = 0

    @property
    def tolerated_failures(self) -> int:
        """The number of control-plane nodes that may be lost at the same time."""
        return (self.control_plane_nodes - 1) // 2

    def ip_address(self, index: int) -> str:
        """Return the IP address of a node; an index beyond the last node is free for a backend."""
        block, host = divmod(index, HOSTS_PER_SUBNET)
        return f"127.{block}.{self.subnet}.{host + 1}"

    def is_in_control_plane(self, index: int) -> bool:
        """Return whether a node is a control-plane node, as opposed to a proxy."""
        return index not in self._proxy_indexes()

    def spare_indexes(self) -> range:
        """Return the indexes of the spare control-plane nodes."""
        first = self.control_plane_nodes + self.proxies
        return range(first, first + self.spare_nodes)

    def control_address(self, index: int) -> Address:
        """Return the address where operators, backends and applications call a control-plane node."""
        return Address(self.ip_address(index), self.ports.control)

    def control_addresses(self) -> list[Address]:
        """Return the addresses where operators and backends call the control plane."""
        return [self.control_address(index) for index in range(self.control_plane_nodes)]

    def proxy_addresses(self) -> list[Address]:
        """Return the addresses where clients call the proxies."""
        return [Address(self.ip_address(index), self.ports.http) for index in self._proxy_indexes()]

    def all_addresses(self) -> list[Address]:
        """Return all addresses that the nodes listen on."""
        ports = self.ports
        control_plane_addresses = [
            Address(self.ip_address(index), port)
            for index in (*range(self.control_plane_nodes), *self.spare_indexes())
            for port in (ports.control, ports.peer)
        ]
        return control_plane_addresses + [
            Address(self.ip_address(index), port)
            for index in self._proxy_indexes()
            for port in (ports.http, ports.readyz, ports.peer)
        ]

    def node_settings(
        self, index: int, data_dir: Path | None, bootstrap: bool = True, seeds: Sequence[int] | None = None
    ) -> dict[str, Any]:
        """Return the settings file of a node, as JSON values.

        :param data_dir: the folder for the state of a control-plane node.
        :param seeds: indexes of the control-plane nodes that the node contacts first; the first ones if None.
        """
        in_control_plane = self.is_in_control_plane(index)
        seed_addresses = [self.control_address(seed) for seed in seeds or range(self.control_plane_nodes)]
        ip = self.ip_address(index)
        return {
            "self": {
                "node": f"{'control-plane' if in_control_plane else 'proxy'}-{index}",
                "serves": ["ctl" if in_control_plane else "edge"],
                "ip": ip,
                "zone": list(ZONES)[index % len(ZONES)],
                "region": REGION,
                "voting": in_control_plane,
                "bootstrap": bootstrap,
                "datadir": str(data_dir) if in_control_plane and data_dir else None,
            },
            "network": {
                "bind": self._bind(ip, in_control_plane),
                "portRange": [self.ports.peer, self.ports.peer],
                "zones": ZONES,
                "seeds": [f"{host}:{port}" for host, port in seed_addresses[:MAX_SEEDS]],
            },
            "infra": {"heartbeatMs": HEARTBEAT_INTERVAL_MS},
            "terms": {"tolerate": {"nodes": self.tolerated_failures}},
        }

    def _proxy_indexes(self) -> range:
        return range(self.control_plane_nodes, self.control_plane_nodes + self.proxies)

    def _bind(self, ip: str, in_control_plane: bool) -> dict[str, str]:
        if in_control_plane:
            return {"ctl": f"{ip}:{self.ports.control}"}
        return {"http": f"{ip}:{self.ports.http}", "readyz": f"{ip}:{self.ports.readyz}"}


def build_configuration(version: int, routes: Mapping[str, tuple[str, str]], max_attempts: int = 2) -> bytes:
    """Return a configuration of one host, as JSON.

    :param routes: by path prefix, the type (`safe` or `unsafe`) and the service.
    """
    prefixes = [
        {
            "name": f"r{number}",
            "prefix": prefix,
            "type": kind,
            "deadlineMs": 2000,
            "targetMs": 500,
            "prio": 1,
            "svc": service,
            "tries": max_attempts,
        }
        for number, (prefix, (kind, service)) in enumerate(routes.items())
    ]
    configuration = {
        "ver": f"{version:08x}",
        "svcs": [
            {"name": name, "healthPath": "/healthz", "maxConns": 100}
            for name in sorted({service for _, service in routes.values()})
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "vhosts": [{"host": HOST_NAME, "prefixes": prefixes}],
    }
    return json.dumps(configuration).encode()
