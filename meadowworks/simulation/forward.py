"""What a forwarded request costs a junction, beside a bare uvicorn answer, in one run: processor time a
request of each process, by turns. `python -m meadowworks.simulation.forward [REQUESTS]`."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from meadowworks.local.backend import StubBackend
from meadowworks.local.commands import DEMO_ROUTES
from meadowworks.local.processes import PROJECT_ROOT, start_node
from meadowworks.local.system import (
    HEARTBEAT_INTERVAL_MS,
    ZONES,
    SystemLayout,
    build_configuration,
    free_ports,
)
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, connect
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.response_writer import send_response

TURNS = 4
HEADERS = [(b"host", b"local.example"), (b"x-request-id", b"q"), (b"x-deadline-ms", b"1500")]


def spent_s(pid: int) -> float:
    """User and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def bare(port: int) -> None:
    async def app(scope: Any, receive: Any, send: Any) -> None:
        await send_response(send, 200, b"x" * 30, [(b"x-request-id", b"q")])

    await HttpServer(app).listen("127.0.0.1", port)
    await asyncio.Event().wait()


async def load(line: ClientConnection, count: int) -> None:
    for _ in range(count):
        reply = await line.request(b"GET", b"/read/x", HEADERS, b"", 65536)
        assert reply.status == 200, reply.status


async def reached(host: str, port: int) -> ClientConnection:
    for _ in range(200):
        try:
            line = await connect(host, port, 0.5)
            if (await line.request(b"GET", b"/read/x", HEADERS, b"", 65536)).status == 200:
                return line
        except RequestError:
            pass
        await asyncio.sleep(0.05)
    raise SystemExit(f"nothing serves at {host}:{port}")


async def measure(count: int, folder: Path) -> None:
    plan = SystemLayout(78, free_ports(), 3, 1)
    parts = [start_node(plan, place, folder) for place in range(4)]
    port = free_ports().http
    env = {**os.environ, "PYTHONPATH": str(PROJECT_ROOT)}
    code = f"import asyncio; from meadowworks.simulation.forward import bare; asyncio.run(bare({port}))"
    plain = subprocess.Popen([sys.executable, "-c", code], env=env)
    tasks = []
    try:
        for svc in ("lookup", "orders"):
            for zone in ZONES:
                backend = StubBackend(f"{svc}-{zone}", svc, zone, plan.ip_address(20))
                await backend.start()
                tasks.append(
                    asyncio.create_task(
                        backend.run_heartbeats(plan.control_addresses(), HEARTBEAT_INTERVAL_MS / 1000)
                    )
                )
        ctl = await reached_ctl(plan)
        body = build_configuration(1, DEMO_ROUTES)
        while (
            await ctl.request(
                b"POST",
                b"/api/Config.Replace",
                [(b"host", b"c"), (b"content-length", str(len(body)).encode())],
                body,
                65536,
            )
        ).status != 200:
            await asyncio.sleep(0.1)
        lines = {
            parts[3].pid: await reached(*plan.proxy_addresses()[0]),
            plain.pid: await reached("127.0.0.1", port),
        }
        taken = dict.fromkeys(lines, 0.0)
        for _ in range(TURNS):
            for pid, line in lines.items():
                before = spent_s(pid)
                await load(line, count // TURNS)
                taken[pid] += spent_s(pid) - before
        one, two = (1000 * taken[pid] / (count // TURNS * TURNS) for pid in lines)
        print(
            f"forwarded {one:.2f} ms, bare {two:.2f} ms of processor a request, ratio {one / two:.1f}, "
            f"{count} requests each by turns"
        )
    finally:
        for task in tasks:
            task.cancel()
        for part in (*parts, plain):
            part.kill()
            part.wait()


async def reached_ctl(plan: SystemLayout) -> ClientConnection:
    for _ in range(200):
        try:
            return await connect(*plan.control_addresses()[0], 0.5)
        except RequestError:
            await asyncio.sleep(0.05)
    raise SystemExit("no signalbox serves")


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as where:
        asyncio.run(measure(int(sys.argv[1]) if len(sys.argv) > 1 else 2000, Path(where)))
