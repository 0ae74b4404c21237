"""`meadowworks rude`: slow, rude and lying clients against one junction on loopback, good ones beside them.

One signalbox, one junction, stand-in backends; the junction's memory and descriptors are read from the system
twice a second. Each kind of rudeness runs in loops of a few clients, all bounded by the time given.
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.main import CommandError
from meadowworks.cli.operations import call_node
from meadowworks.local.backend import StubBackend
from meadowworks.local.commands import DEMO_ROUTES, start_node
from meadowworks.local.system import HEARTBEAT_INTERVAL_MS, SystemLayout, build_configuration, free_ports

GET_REQUEST = b"GET /read/x HTTP/1.1\r\nHost: local.example\r\nX-Request-Id: %d\r\n\r\n"
POST_HEADERS = b"POST /read/x HTTP/1.1\r\nHost: local.example\r\nContent-Length: %d\r\n\r\n"
CHUNKED_POST_HEADERS = b"POST /read/x HTTP/1.1\r\nHost: local.example\r\nTransfer-Encoding: chunked\r\n\r\n"
MALFORMED_REQUESTS = (
    POST_HEADERS % 5 + b"ab",  # less than it says, then gone
    CHUNKED_POST_HEADERS.replace(b"Host", b"Content-Length: 5\r\nHost") + b"0\r\n\r\n",
    GET_REQUEST % 1 + b"\x00\xff not a request\r\n\r\n",
    GET_REQUEST.replace(b"Host", b"Host: a\r\nHost") % 1,
    b"GET /read/x HTTP/1.1\r\nHost: local.example\r\nX: " + b"y" * 40_000,
    CHUNKED_POST_HEADERS + b"ffffffffffffffffff\r\n",
)
KB = 1024


@dataclass
class Tally:
    sent: int = 0
    served: int = 0
    slowest_s: float = 0.0
    hostile_connections: dict[str, int] = field(default_factory=dict)
    rss_mb: list[float] = field(default_factory=list)
    fds: list[int] = field(default_factory=list)

    def count(self, kind: str) -> None:
        self.hostile_connections[kind] = self.hostile_connections.get(kind, 0) + 1


def rude(
    seconds: Annotated[float, Arg(long=True, help="how long, 5 to 600")] = 60.0,
    clients: Annotated[int, Arg(long=True, help="of each kind of rudeness, 1 to 100")] = 20,
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """Slow, rude and lying clients against one junction: status 0 if the good ones beside them were all
    served, memory stayed flat and no descriptor was left."""
    if not 5 <= seconds <= 600 or not 1 <= clients <= 100:
        raise CommandError("--seconds is from 5 to 600, --clients from 1 to 100")
    plan = SystemLayout(79, free_ports(), control_plane_nodes=1, proxies=1)
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as folder:
        parts = [start_node(plan, place, Path(folder)) for place in (0, 1)]
        try:
            tally, idle = asyncio.run(run_clients(plan, parts[1].pid, seconds, clients))
        finally:
            for part in parts:
                part.terminate()
            for part in parts:
                part.wait()
    third = max(1, len(tally.rss_mb) // 3)
    early, late = median(tally.rss_mb[third : 2 * third]), median(tally.rss_mb[-third:])
    told: dict[str, Any] = {
        "seconds": seconds,
        "sent": tally.sent,
        "served": tally.served,
        "slowest_s": round(tally.slowest_s, 3),
        "rude": tally.hostile_connections,
        "rss_mb_middle_third": round(early, 1),
        "rss_mb_last_third": round(late, 1),
        "rss_mb_most": round(max(tally.rss_mb), 1),
        "descriptors_before": idle[0],
        "descriptors_most": max(tally.fds),
        "descriptors_after": idle[1],
    }
    if as_json:
        print(json.dumps(told))
    else:
        for name, value in told.items():
            print(f"{name}: {value}")
    sound = tally.served == tally.sent > 0 and late <= 1.1 * early + 2 and idle[1] <= idle[0] + 8
    return 0 if sound else 1


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def run_clients(
    layout: SystemLayout, pid: int, seconds: float, clients: int
) -> tuple[Tally, tuple[int, int]]:
    """What was counted, and the junction's descriptors before and after."""
    made = [
        StubBackend(f"{svc}-{k}", svc, "south", layout.ip_address(20 + k))
        for svc in ("lookup", "orders")
        for k in range(2)
    ]
    for backend in made:
        await backend.start()
    beats = [
        asyncio.create_task(backend.run_heartbeats(layout.control_addresses(), HEARTBEAT_INTERVAL_MS / 1000))
        for backend in made
    ]
    host, port = layout.proxy_addresses()[0]
    tally, end = Tally(), 0.0
    try:
        await wait_until_ready(layout)
        before = descriptors(pid)
        end = time.monotonic() + seconds
        kinds = (slow_headers, slow_body, stops, deaf, liar, comes_and_goes, large)
        rudes = [repeat_behaviour(kind, host, port, tally, end) for kind in kinds for _ in range(clients)]
        good = [run_polite_client(host, port, tally, end, k) for k in range(4)]
        await asyncio.gather(sample_resources(pid, tally, end), *good, *rudes)
        after, patience = (
            descriptors(pid),
            time.monotonic() + 20,
        )  # idle ones are ended by the configuration's time
        while after > before + 8 and time.monotonic() < patience:
            await asyncio.sleep(0.5)
            after = descriptors(pid)
        return tally, (before, after)
    finally:
        for beat in beats:
            beat.cancel()
        for backend in made:
            backend.stop()


async def wait_until_ready(layout: SystemLayout) -> None:
    """The configuration is taken and the junction serves. Raises Bad after half a minute."""
    (ctl,), (http,) = layout.control_addresses(), layout.proxy_addresses()
    patience = time.monotonic() + 30
    while time.monotonic() < patience:
        try:
            at = f"{ctl[0]}:{ctl[1]}"
            await asyncio.to_thread(
                call_node, at, b"POST", b"/api/Config.Replace", build_configuration(1, DEMO_ROUTES)
            )
            if (
                await asyncio.to_thread(call_node, f"{http[0]}:{layout.ports.readyz}", b"GET", b"/")
            ).status == 200:
                return
        except CommandError:
            pass
        await asyncio.sleep(0.2)
    raise CommandError("the junction did not come up")


async def sample_resources(pid: int, tally: Tally, end: float) -> None:
    while time.monotonic() < end:
        tally.rss_mb.append(resident_mb(pid))
        tally.fds.append(descriptors(pid))
        await asyncio.sleep(0.5)


ClientBehaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


async def repeat_behaviour(kind: ClientBehaviour, host: str, port: int, tally: Tally, end: float) -> None:
    turn = 0
    while time.monotonic() < end:
        turn += 1
        tally.count(kind.__name__)
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        try:
            async with asyncio.timeout(max(0.0, min(20.0, end - time.monotonic()))):
                await kind(reader, writer, turn)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def write_slowly(writer: asyncio.StreamWriter, data: bytes, pause_s: float) -> None:
    for byte in data:
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(pause_s)


async def slow_headers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    await write_slowly(writer, GET_REQUEST % turn, 0.2)


async def slow_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    writer.write(POST_HEADERS % 500_000)
    await write_slowly(writer, b"z" * 10_000, 0.05)


async def stops(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    writer.write(POST_HEADERS % 500_000 + b"z" * 100 * KB)
    await reader.read()


async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    """Asks and asks, and reads nothing."""
    for number in range(2000):
        writer.write(GET_REQUEST % number)
        await writer.drain()


async def liar(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    writer.write(MALFORMED_REQUESTS[turn % len(MALFORMED_REQUESTS)])
    await asyncio.sleep(0.05)


async def comes_and_goes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    writer.write((GET_REQUEST % turn)[: turn % 60])
    await asyncio.sleep(0.01)


async def large(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
    """Twice as much as the configuration allows."""
    writer.write(POST_HEADERS % (2 << 20))
    for _ in range(32):
        writer.write(b"z" * 64 * KB)
        await writer.drain()
    await reader.read(100)


async def run_polite_client(host: str, port: int, tally: Tally, end: float, client_index: int) -> None:
    """Five requests a second, each on a connection of its own, and all wanted back within two seconds."""
    number = 0
    while time.monotonic() < end - 2:
        number += 1
        tally.sent += 1
        began = time.monotonic()
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(
                    GET_REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
                    % (client_index << 32 | number)
                )
                said = await reader.read()
                tally.served += said.startswith(b"HTTP/1.1 200")
                writer.close()
        except (OSError, TimeoutError):
            pass
        tally.slowest_s = max(tally.slowest_s, time.monotonic() - began)
        await asyncio.sleep(0.2)
