"""`meadowworks rude`: runs slow and hostile clients and well-behaved clients against one proxy on loopback.

Starts one control-plane node, one proxy and stub backends. The proxy's memory and descriptors are sampled
twice a second. Several clients repeat each hostile behaviour until the given time is over.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import call_node
from meadowworks.local.commands import DEMO_SERVICES, put_configuration
from meadowworks.local.hostile_behaviours import BEHAVIOURS, GET_REQUEST, Behaviour, HostileConnection
from meadowworks.local.processes import running_backends, running_nodes
from meadowworks.local.system import SystemLayout, find_free_ports

SUBNET = 79
BACKEND_ZONE = "south"
SAMPLE_INTERVAL_S = 0.5  # between samples of the proxy's memory and descriptors
READY_TIMEOUT_S = 30.0  # for both nodes to start
SETTLE_TIMEOUT_S = 20.0  # for idle connections to close; longer than the configuration's idle timeout
CONNECTION_TIMEOUT_S = 20.0  # limit for one connection of a hostile client
GOOD_CLIENTS = 4
GOOD_TIMEOUT_S = 2.0  # for the response to a good client
GOOD_INTERVAL_S = 0.2
MAX_MEMORY_GROWTH = 1.1  # from the middle third of the time to the last third, plus `MEMORY_NOISE_MB`
MEMORY_NOISE_MB = 2.0
MAX_DESCRIPTORS_LEFT = 8  # above the count before; connections between nodes vary


@dataclass
class RunStatistics:
    """Counts and samples of a run.

    :ivar sent: requests of the good clients.
    :ivar served: requests of the good clients with a 200 response in time.
    :ivar slowest_s: the longest response time of a good client.
    :ivar hostile_connections: the number of connections by the behaviour's name.
    :ivar memory_mb: samples of the proxy's resident memory.
    :ivar descriptors: samples of the proxy's open descriptors.
    """

    sent: int = 0
    served: int = 0
    slowest_s: float = 0.0
    hostile_connections: dict[str, int] = field(default_factory=dict)
    memory_mb: list[float] = field(default_factory=list)
    descriptors: list[int] = field(default_factory=list)
    descriptors_before: int = 0
    descriptors_after: int = 0

    def count(self, behaviour: str) -> None:
        """Count a connection of a hostile behaviour."""
        self.hostile_connections[behaviour] = self.hostile_connections.get(behaviour, 0) + 1

    def memory_by_third_mb(self) -> tuple[float, float]:
        """Return the median memory of the middle and of the last third of the run."""
        third = max(1, len(self.memory_mb) // 3)
        return median(self.memory_mb[third : 2 * third]), median(self.memory_mb[-third:])

    def passed(self) -> bool:
        """Return whether all good requests were served and neither memory nor descriptors leaked."""
        middle_mb, last_mb = self.memory_by_third_mb()
        return (
            self.served == self.sent > 0
            and last_mb <= MAX_MEMORY_GROWTH * middle_mb + MEMORY_NOISE_MB
            and self.descriptors_after <= self.descriptors_before + MAX_DESCRIPTORS_LEFT
        )

    def report(self, seconds: float) -> dict[str, Any]:
        """Return the command's JSON object."""
        middle_mb, last_mb = self.memory_by_third_mb()
        return {
            "seconds": seconds,
            "sent": self.sent,
            "served": self.served,
            "slowest_s": round(self.slowest_s, 3),
            "rude": self.hostile_connections,
            "rss_mb_middle_third": round(middle_mb, 1),
            "rss_mb_last_third": round(last_mb, 1),
            "rss_mb_most": round(max(self.memory_mb), 1),
            "descriptors_before": self.descriptors_before,
            "descriptors_most": max(self.descriptors),
            "descriptors_after": self.descriptors_after,
        }


def rude(
    seconds: Annotated[float, Arg(long=True, help="duration in seconds, 5 to 600")] = 60.0,
    clients: Annotated[int, Arg(long=True, help="clients of each hostile behaviour, 1 to 100")] = 20,
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
) -> int:
    """Run slow and hostile clients against one proxy, together with good clients.

    Exit code 0 if all good requests were served and neither memory nor descriptors leaked.
    """
    if not 5 <= seconds <= 600 or not 1 <= clients <= 100:
        raise CommandError("--seconds must be from 5 to 600, --clients from 1 to 100")
    layout = SystemLayout(SUBNET, find_free_ports(), control_plane_nodes=1, proxies=1)
    with running_nodes(layout) as processes:
        statistics = asyncio.run(_run_clients(layout, processes[-1].pid, seconds, clients))
    report = statistics.report(seconds)
    if as_json:
        print(json.dumps(report))
    else:
        for name, value in report.items():
            print(f"{name}: {value}")
    return 0 if statistics.passed() else 1


async def _run_clients(layout: SystemLayout, pid: int, seconds: float, clients: int) -> RunStatistics:
    """Run all clients until the time is over; return the statistics.

    :param pid: the process id of the proxy.
    :param clients: the number of clients of each hostile behaviour.
    """
    host, port = layout.proxy_addresses()[0]
    statistics = RunStatistics()
    async with running_backends(layout, DEMO_SERVICES, [BACKEND_ZONE]):
        await _wait_until_ready(layout)
        statistics.descriptors_before = _count_descriptors(pid)
        end = time.monotonic() + seconds
        hostile = [
            _run_hostile_client(name, behaviour, host, port, statistics, end)
            for name, behaviour in BEHAVIOURS.items()
            for _ in range(clients)
        ]
        good = [_run_good_client(host, port, statistics, end, number) for number in range(GOOD_CLIENTS)]
        await asyncio.gather(_sample_resources(pid, statistics, end), *good, *hostile)
        statistics.descriptors_after = await _count_settled_descriptors(pid, statistics.descriptors_before)
    return statistics


async def _wait_until_ready(layout: SystemLayout) -> None:
    """Wait until the control plane has accepted the configuration and the proxy is ready.

    :raises CommandError: after `READY_TIMEOUT_S`.
    """
    readyz = f"{layout.proxy_addresses()[0].host}:{layout.ports.readyz}"
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        try:
            await put_configuration(layout)
            if (await asyncio.to_thread(call_node, readyz, b"GET", b"/")).status == 200:
                return
        except CommandError:
            pass
        await asyncio.sleep(0.2)
    raise CommandError("the proxy did not become ready in time")


async def _count_settled_descriptors(pid: int, before: int) -> int:
    """Return the proxy's open descriptors once idle connections have closed, or at the timeout."""
    end = time.monotonic() + SETTLE_TIMEOUT_S
    while (descriptors := _count_descriptors(pid)) > before + MAX_DESCRIPTORS_LEFT and time.monotonic() < end:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return descriptors


async def _sample_resources(pid: int, statistics: RunStatistics, end: float) -> None:
    while time.monotonic() < end:
        statistics.memory_mb.append(_resident_mb(pid))
        statistics.descriptors.append(_count_descriptors(pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _run_hostile_client(
    name: str, behaviour: Behaviour, host: str, port: int, statistics: RunStatistics, end: float
) -> None:
    """Run a hostile client, which opens one connection after another."""
    turn = 0
    while time.monotonic() < end:
        turn += 1
        statistics.count(name)
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        try:
            async with asyncio.timeout(max(0.0, min(CONNECTION_TIMEOUT_S, end - time.monotonic()))):
                await behaviour(HostileConnection(reader, writer, turn))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def _run_good_client(host: str, port: int, statistics: RunStatistics, end: float, number: int) -> None:
    """Send five requests per second, each on a new connection."""
    request = GET_REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    turn = 0
    while time.monotonic() < end - GOOD_TIMEOUT_S:
        turn += 1
        statistics.sent += 1
        started = time.monotonic()
        try:
            async with asyncio.timeout(GOOD_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(request % (number << 32 | turn))
                response = await reader.read()
                statistics.served += response.startswith(b"HTTP/1.1 200")
                writer.close()
        except (OSError, TimeoutError):
            pass
        statistics.slowest_s = max(statistics.slowest_s, time.monotonic() - started)
        await asyncio.sleep(GOOD_INTERVAL_S)
