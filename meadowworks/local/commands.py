"""`meadowworks local`: three signalboxes, two junctions and stand-in backends, until Ctrl-C."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

from cappa import Arg

from meadowworks.cli.main import CommandError
from meadowworks.cli.operations import call_node
from meadowworks.local.backend import StubBackend
from meadowworks.local.system import (
    HEARTBEAT_INTERVAL_MS,
    ZONES,
    Ports,
    SystemLayout,
    build_configuration,
    first_unavailable,
)

DEMO_ROUTES = {"/read/": ("safe", "lookup"), "/order/": ("unsafe", "orders")}
PROJECT_ROOT = Path(__file__).parents[2]


def local(
    port: Annotated[
        int, Arg(long=True, help="the port that clients call; the next three are used too")
    ] = 8480,
    seconds: Annotated[float, Arg(long=True, help="end after so long; 0: at Ctrl-C")] = 0.0,
) -> int:
    """Start a small gateway on loopback, with backends of its own."""
    if not 1024 <= port <= 65000:
        raise CommandError("--port is a number from 1024 to 65000")
    plan = SystemLayout(77, Ports(port, port + 1, port + 2, port + 3))
    if why := first_unavailable(plan.all_addresses()):
        raise CommandError(f"{why}; end what listens there, or name another --port")
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as folder:
        parts = [
            start_node(plan, place, Path(folder)) for place in range(plan.control_plane_nodes + plan.proxies)
        ]
        try:
            return asyncio.run(run_backends(plan, parts, seconds))
        finally:
            for part in parts:
                part.terminate()
            for part in parts:
                part.wait()


def start_node(layout: SystemLayout, index: int, folder: Path) -> subprocess.Popen[bytes]:
    box = index < layout.control_plane_nodes
    file = folder / f"{index}.json"
    file.write_text(json.dumps(layout.node_settings(index, folder / f"disk-{index}")))
    env = {**os.environ, "PYTHONPATH": str(PROJECT_ROOT), "MEADOWWORKS_NODE_FILE": str(file)}
    program = "meadowworks.controlplane" if box else "meadowworks.proxy"
    return subprocess.Popen([sys.executable, "-m", program], env=env)


def example_commands(layout: SystemLayout) -> list[str]:
    """What a newcomer may call, as it is to be typed in the project's folder."""
    python = Path(sys.executable)
    program = python.relative_to(PROJECT_ROOT) if python.is_relative_to(PROJECT_ROOT) else python
    word = f"{program} -m meadowworks"
    box, junction = layout.ip_address(0), layout.proxy_addresses()[0][0]
    return [
        f"curl -H 'Host: local.example' http://{junction}:{layout.ports.http}/read/x",
        f"{word} status {box}:{layout.ports.peer} --all",
        f"{word} members list {box}:{layout.ports.peer}",
        f"{word} backends {junction}:{layout.ports.peer}",
        f"{word} why lookup {junction}:{layout.ports.peer}",
        f"{word} config get {box}:{layout.ports.control}",
    ]


async def run_backends(layout: SystemLayout, processes: list[subprocess.Popen[bytes]], seconds: float) -> int:
    """Stand-ins in this process: two of each service in each zone."""
    made = [
        StubBackend(f"{svc}-{zone}-{k}", svc, zone, layout.ip_address(20 + k))
        for svc in ("lookup", "orders")
        for zone in ZONES
        for k in range(2)
    ]
    for backend in made:
        await backend.start()
    tasks = [
        asyncio.create_task(backend.run_heartbeats(layout.control_addresses(), HEARTBEAT_INTERVAL_MS / 1000))
        for backend in made
    ]
    end = time.monotonic() + seconds if seconds else float("inf")
    host, port = layout.control_addresses()[0]
    told = False
    try:
        while time.monotonic() < end and all(part.poll() is None for part in processes):
            await asyncio.sleep(0.25)
            if told:
                continue
            try:
                told = (
                    await asyncio.to_thread(
                        call_node,
                        f"{host}:{port}",
                        b"POST",
                        b"/api/Config.Replace",
                        build_configuration(1, DEMO_ROUTES),
                    )
                ).status == 200
            except CommandError:
                continue
            if told:
                at = " or ".join(f"{h}:{p}" for h, p in layout.proxy_addresses())
                lines = "\n".join(f"  {line}" for line in example_commands(layout))
                print(f"the gateway serves at {at}; try, in this folder:\n{lines}", flush=True)
                print("Ctrl-C ends all", flush=True)
        return max((part.poll() or 0) for part in processes)
    finally:
        for task in tasks:
            task.cancel()
        for backend in made:
            backend.stop()
