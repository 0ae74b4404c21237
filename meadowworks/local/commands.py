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

from meadowworks.cli.main import Bad
from meadowworks.cli.operations import call
from meadowworks.local.backend import Backend
from meadowworks.local.system import BEAT_MS, ZONES, Plan, Ports, configuration, taken

ROUTES = {"/read/": ("safe", "lookup"), "/order/": ("unsafe", "orders")}
ROOT = Path(__file__).parents[2]


def local(
    port: Annotated[
        int, Arg(long=True, help="the port that clients call; the next three are used too")
    ] = 8480,
    seconds: Annotated[float, Arg(long=True, help="end after so long; 0: at Ctrl-C")] = 0.0,
) -> int:
    """Start a small gateway on loopback, with backends of its own."""
    if not 1024 <= port <= 65000:
        raise Bad("--port is a number from 1024 to 65000")
    plan = Plan(77, Ports(port, port + 1, port + 2, port + 3))
    if why := taken(plan.addresses()):
        raise Bad(f"{why}; end what listens there, or name another --port")
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as folder:
        parts = [start(plan, place, Path(folder)) for place in range(plan.signalboxes + plan.junctions)]
        try:
            return asyncio.run(backends(plan, parts, seconds))
        finally:
            for part in parts:
                part.terminate()
            for part in parts:
                part.wait()


def start(plan: Plan, place: int, folder: Path) -> subprocess.Popen[bytes]:
    box = place < plan.signalboxes
    file = folder / f"{place}.json"
    file.write_text(json.dumps(plan.settings(place, folder / f"disk-{place}")))
    env = {**os.environ, "PYTHONPATH": str(ROOT), "MEADOWWORKS_NODE_FILE": str(file)}
    program = "meadowworks.controlplane" if box else "meadowworks.proxy"
    return subprocess.Popen([sys.executable, "-m", program], env=env)


def to_try(plan: Plan) -> list[str]:
    """What a newcomer may call, as it is to be typed in the project's folder."""
    python = Path(sys.executable)
    word = f"{python.relative_to(ROOT) if python.is_relative_to(ROOT) else python} -m meadowworks"
    box, junction = plan.host(0), plan.https()[0][0]
    return [
        f"curl -H 'Host: local.example' http://{junction}:{plan.ports.http}/read/x",
        f"{word} status {box}:{plan.ports.inner} --all",
        f"{word} members list {box}:{plan.ports.inner}",
        f"{word} backends {junction}:{plan.ports.inner}",
        f"{word} why lookup {junction}:{plan.ports.inner}",
        f"{word} config get {box}:{plan.ports.ctl}",
    ]


async def backends(plan: Plan, parts: list[subprocess.Popen[bytes]], seconds: float) -> int:
    """Stand-ins in this process: two of each service in each zone."""
    made = [
        Backend(f"{svc}-{zone}-{k}", svc, zone, plan.host(20 + k))
        for svc in ("lookup", "orders")
        for zone in ZONES
        for k in range(2)
    ]
    for backend in made:
        await backend.open()
    tasks = [asyncio.create_task(backend.beats(plan.ctls(), BEAT_MS / 1000)) for backend in made]
    end = time.monotonic() + seconds if seconds else float("inf")
    host, port = plan.ctls()[0]
    told = False
    try:
        while time.monotonic() < end and all(part.poll() is None for part in parts):
            await asyncio.sleep(0.25)
            if told:
                continue
            try:
                told = (
                    await asyncio.to_thread(
                        call, f"{host}:{port}", b"POST", b"/api/Config.Replace", configuration(1, ROUTES)
                    )
                ).status == 200
            except Bad:
                continue
            if told:
                at = " or ".join(f"{h}:{p}" for h, p in plan.https())
                lines = "\n".join(f"  {line}" for line in to_try(plan))
                print(f"the gateway serves at {at}; try, in this folder:\n{lines}", flush=True)
                print("Ctrl-C ends all", flush=True)
        return max((part.poll() or 0) for part in parts)
    finally:
        for task in tasks:
            task.cancel()
        for backend in made:
            backend.end()
