"""Processor time of a forwarded request in a proxy, compared with a bare response of its HTTP server.

    python -m meadowworks.simulation.forward [REQUESTS]

The processes are measured in turns, in processor time per request.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from meadowworks.local.backend import StubBackend
from meadowworks.local.commands import DEMO_ROUTES
from meadowworks.local.processes import PROJECT_ROOT, start_node
from meadowworks.local.system import (
    HEARTBEAT_INTERVAL_MS,
    ZONES,
    SystemLayout,
    build_configuration,
    find_free_ports,
)
from meadowworks.runtime.asgi import Receive, Scope, Send
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, connect
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.response_writer import send_response

TURNS = 4  # measurements of each process; prevents a briefly busy machine from distorting one figure
DEFAULT_REQUESTS = 2000
LOCAL_SUBNET = 78  # in the loopback network; each program that starts local systems has its own
CONTROL_PLANE_NODES, PROXIES = 3, 1
HEADERS = [(b"host", b"local.example"), (b"x-request-id", b"q"), (b"x-deadline-ms", b"1500")]
RESPONSE_BODY = b"x" * 30  # the length of a stub backend's response
MAX_RESPONSE_BYTES = 65536
CONNECT_TIMEOUT_S = 0.5
POLL_S, MAX_POLLS = 0.05, 200  # waits at most ten seconds for the processes to serve


def processor_time_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def serve_bare_responses(port: int) -> None:
    """Run an HTTP server that responds to every request at once, as the baseline of the comparison."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:  # noqa: ARG001
        await send_response(send, 200, RESPONSE_BODY, [(b"x-request-id", b"q")])

    await HttpServer(app).listen("127.0.0.1", port)
    await asyncio.Event().wait()


async def send_requests(connection: ClientConnection, count: int) -> None:
    """Send requests one after the other and check that each response has status 200."""
    for _ in range(count):
        response = await connection.request(b"GET", b"/read/x", HEADERS, b"", MAX_RESPONSE_BYTES)
        assert response.status == 200, response.status


async def connect_when_serving(host: str, port: int) -> ClientConnection:
    """Return a connection once a request on it has been answered with 200.

    :raises SystemExit: after ten seconds without success
    """
    for _ in range(MAX_POLLS):
        try:
            connection = await connect(host, port, CONNECT_TIMEOUT_S)
            response = await connection.request(b"GET", b"/read/x", HEADERS, b"", MAX_RESPONSE_BYTES)
            if response.status == 200:
                return connection
        except RequestError:
            pass
        await asyncio.sleep(POLL_S)
    raise SystemExit(f"nothing serves at {host}:{port}")


async def connect_to_control_plane(layout: SystemLayout) -> ClientConnection:
    """Return a connection to the API of the first control-plane node.

    :raises SystemExit: after ten seconds without success
    """
    for _ in range(MAX_POLLS):
        try:
            return await connect(*layout.control_addresses()[0], CONNECT_TIMEOUT_S)
        except RequestError:
            await asyncio.sleep(POLL_S)
    raise SystemExit("no control-plane node serves")


async def replace_configuration(layout: SystemLayout) -> None:
    """Replace the configuration by one with the demonstration's routes."""
    connection = await connect_to_control_plane(layout)
    body = build_configuration(1, DEMO_ROUTES)
    headers = [(b"host", b"c"), (b"content-length", str(len(body)).encode())]
    path = b"/api/Config.Replace"
    while (await connection.request(b"POST", path, headers, body, MAX_RESPONSE_BYTES)).status != 200:
        await asyncio.sleep(2 * POLL_S)
    connection.close()


@asynccontextmanager
async def running_backends(layout: SystemLayout) -> AsyncIterator[None]:
    """Run a stub backend of each service in each zone, with its heartbeats."""
    heartbeats = []
    for service in ("lookup", "orders"):
        for zone in ZONES:
            backend = StubBackend(f"{service}-{zone}", service, zone, layout.ip_address(20))
            await backend.start()
            sending = backend.run_heartbeats(layout.control_addresses(), HEARTBEAT_INTERVAL_MS / 1000)
            heartbeats.append(asyncio.create_task(sending))
    try:
        yield
    finally:
        for task in heartbeats:
            task.cancel()


async def measure_by_turns(connections: dict[int, ClientConnection], count: int) -> dict[int, float]:
    """Return the processor time per request in milliseconds, by process id.

    :param connections: a connection to each process, by process id
    :param count: the number of requests to each process
    """
    per_turn = count // TURNS
    taken_s = dict.fromkeys(connections, 0.0)
    for _ in range(TURNS):
        for pid, connection in connections.items():
            before_s = processor_time_s(pid)
            await send_requests(connection, per_turn)
            taken_s[pid] += processor_time_s(pid) - before_s
    return {pid: 1000 * seconds / (per_turn * TURNS) for pid, seconds in taken_s.items()}


def start_bare_server(port: int) -> subprocess.Popen[bytes]:
    """Start a process that responds to every request at once."""
    code = f"import asyncio; from {__spec__.name} import serve_bare_responses as s; asyncio.run(s({port}))"
    env = {**os.environ, "PYTHONPATH": str(PROJECT_ROOT)}
    return subprocess.Popen([sys.executable, "-c", code], env=env)


async def measure(count: int, folder: Path) -> None:
    """Start a system and a bare server, measure both, and print the result."""
    layout = SystemLayout(LOCAL_SUBNET, find_free_ports(), CONTROL_PLANE_NODES, PROXIES)
    nodes = [start_node(layout, place, folder) for place in range(CONTROL_PLANE_NODES + PROXIES)]
    port = find_free_ports().http
    bare_server = start_bare_server(port)
    try:
        async with running_backends(layout):
            await replace_configuration(layout)
            connections = {
                nodes[-1].pid: await connect_when_serving(*layout.proxy_addresses()[0]),
                bare_server.pid: await connect_when_serving("127.0.0.1", port),
            }
            forwarded_ms, bare_ms = (await measure_by_turns(connections, count)).values()
        print(
            f"forwarded {forwarded_ms:.2f} ms, bare {bare_ms:.2f} ms of processor a request, "
            f"ratio {forwarded_ms / bare_ms:.1f}, {count} requests each by turns"
        )
    finally:
        for process in (*nodes, bare_server):
            process.kill()
            process.wait()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as folder_name:
        asyncio.run(measure(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_REQUESTS, Path(folder_name)))
