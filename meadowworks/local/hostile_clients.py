"""`meadowworks rude`: slow, greedy and lying clients against one proxy on loopback, good ones beside them.

One node of the control plane, one proxy, stand-in backends; the proxy's memory and descriptors are read from
the system twice a second. Each hostile behaviour runs in a few clients' loops, bounded by the time given.
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
from meadowworks.local.hostile_behaviours import BEHAVIOURS, GET_REQUEST, Behaviour, Client
from meadowworks.local.processes import running_backends, running_nodes
from meadowworks.local.system import SystemLayout, find_free_ports

SUBNET = 79
BACKEND_ZONE = "south"
SAMPLE_INTERVAL_S = 0.5  # between readings of the proxy's memory and descriptors
READY_TIMEOUT_S = 30.0  # for both nodes to start
SETTLE_TIMEOUT_S = 20.0  # for idle connections to end: the configuration's idle time-out, and some more
CONNECTION_TIMEOUT_S = 20.0  # that a hostile client uses one connection
GOOD_CLIENTS = 4
GOOD_TIMEOUT_S = 2.0  # in which a good client wants its response
GOOD_INTERVAL_S = 0.2
MAX_MEMORY_GROWTH = 1.1  # from the middle third of the time to the last, with `MEMORY_NOISE_MB` beside it
MEMORY_NOISE_MB = 2.0
MAX_DESCRIPTORS_LEFT = 8  # more than before: connections between the nodes come and go


@dataclass
class Tally:
    """What was counted.

    :ivar sent: requests of the good clients.
    :ivar served: those of them that were answered by 200 in time.
    :ivar hostile_connections: by the name of the behaviour.
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
        """Count a connection of a hostile client."""
        self.hostile_connections[behaviour] = self.hostile_connections.get(behaviour, 0) + 1

    def memory_by_third_mb(self) -> tuple[float, float]:
        """Return the medians of the middle and of the last third of the time."""
        third = max(1, len(self.memory_mb) // 3)
        return median(self.memory_mb[third : 2 * third]), median(self.memory_mb[-third:])

    def passed(self) -> bool:
        """Whether all good requests were served, memory stayed flat and no descriptor was left."""
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
    seconds: Annotated[float, Arg(long=True, help="how long, 5 to 600")] = 60.0,
    clients: Annotated[int, Arg(long=True, help="of each hostile behaviour, 1 to 100")] = 20,
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """Play slow, greedy and lying clients against one proxy, with good clients beside them.

    Status 0 if the good ones were all served, memory stayed flat and no descriptor was left.
    """
    if not 5 <= seconds <= 600 or not 1 <= clients <= 100:
        raise CommandError("--seconds is from 5 to 600, --clients from 1 to 100")
    layout = SystemLayout(SUBNET, find_free_ports(), control_plane_nodes=1, proxies=1)
    with running_nodes(layout) as processes:
        tally = asyncio.run(_run_clients(layout, processes[-1].pid, seconds, clients))
    report = tally.report(seconds)
    if as_json:
        print(json.dumps(report))
    else:
        for name, value in report.items():
            print(f"{name}: {value}")
    return 0 if tally.passed() else 1


async def _run_clients(layout: SystemLayout, pid: int, seconds: float, clients: int) -> Tally:
    """Run all clients and count.

    :param pid: of the proxy.
    :param clients: of each hostile behaviour.
    """
    host, port = layout.proxy_addresses()[0]
    tally = Tally()
    async with running_backends(layout, DEMO_SERVICES, [BACKEND_ZONE]):
        await _wait_until_ready(layout)
        tally.descriptors_before = _descriptors(pid)
        end = time.monotonic() + seconds
        hostile = [
            _repeat(name, behaviour, host, port, tally, end)
            for name, behaviour in BEHAVIOURS.items()
            for _ in range(clients)
        ]
        good = [_run_good_client(host, port, tally, end, number) for number in range(GOOD_CLIENTS)]
        await asyncio.gather(_sample_resources(pid, tally, end), *good, *hostile)
        tally.descriptors_after = await _settled_descriptors(pid, tally.descriptors_before)
    return tally


async def _wait_until_ready(layout: SystemLayout) -> None:
    """Wait until the configuration is taken and the proxy serves.

    :raises CommandError: after half a minute.
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
    raise CommandError("the proxy did not come up")


async def _settled_descriptors(pid: int, before: int) -> int:
    """Return the proxy's open descriptors, once idle connections have had time to end."""
    end = time.monotonic() + SETTLE_TIMEOUT_S
    while (now := _descriptors(pid)) > before + MAX_DESCRIPTORS_LEFT and time.monotonic() < end:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return now


async def _sample_resources(pid: int, tally: Tally, end: float) -> None:
    while time.monotonic() < end:
        tally.memory_mb.append(_resident_mb(pid))
        tally.descriptors.append(_descriptors(pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _repeat(name: str, behaviour: Behaviour, host: str, port: int, tally: Tally, end: float) -> None:
    """Run a hostile client, which makes one connection after another."""
    turn = 0
    while time.monotonic() < end:
        turn += 1
        tally.count(name)
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        try:
            async with asyncio.timeout(max(0.0, min(CONNECTION_TIMEOUT_S, end - time.monotonic()))):
                await behaviour(Client(reader, writer, turn))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def _run_good_client(host: str, port: int, tally: Tally, end: float, number: int) -> None:
    """Send five requests a second, each on a connection of its own."""
    request = GET_REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    turn = 0
    while time.monotonic() < end - GOOD_TIMEOUT_S:
        turn += 1
        tally.sent += 1
        begin = time.monotonic()
        try:
            async with asyncio.timeout(GOOD_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(request % (number << 32 | turn))
                response = await reader.read()
                tally.served += response.startswith(b"HTTP/1.1 200")
                writer.close()
        except (OSError, TimeoutError):
            pass
        tally.slowest_s = max(tally.slowest_s, time.monotonic() - begin)
        await asyncio.sleep(GOOD_INTERVAL_S)
