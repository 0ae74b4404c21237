"""How long a large configuration keeps the loops of the gateway's programs, in two parts.

First its steps in one loop beside a heartbeat: the longest time between two beats, by the clock and in
processor time of the loop's thread, and the same for the libraries' calls in one go. Then three signalboxes
and two junctions, each a process beside a heartbeat of its own, take it from an operator.
`python -O -m meadowworks.simulation.pauses [ROUTES]`, 52,000 if none are named.
"""

from __future__ import annotations

import asyncio
import gc
import json
import subprocess
import sys
import tempfile
import time
import zlib
from collections.abc import Awaitable, Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from meadowworks.config.route_table import load_route_table_steps
from meadowworks.config.validation import validation_steps
from meadowworks.controlplane.server import ControlPlaneServer
from meadowworks.local.system import SystemLayout, build_configuration, free_ports
from meadowworks.proxy.server import ProxyServer
from meadowworks.runtime.compression import compress_steps, decompress_steps
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.node_settings import parse_settings
from meadowworks.simulation.forward import connect_to_control_plane

OBSERVE_AFTER_S = 4.0  # that is looked at with nothing to do, and after an acknowledgement


def large_configuration(version: int, routes: int) -> bytes:
    paths = {
        f"/part-{n % 97}/item-{n}/": ("unsafe" if n % 4 else "safe", f"svc{n % 3}") for n in range(routes)
    }
    return build_configuration(version, paths)


class LoopMonitor:
    """Wakes again and again; `longest` is between two wakes: by the clock and in processor time, in ms."""

    def __init__(self) -> None:
        self.longest_ms = [0.0, 0.0]

    async def run(self) -> None:
        last = time.perf_counter(), time.thread_time()
        while True:
            await asyncio.sleep(0.0005)
            now = time.perf_counter(), time.thread_time()
            self.longest_ms = [
                max(a, (n - b) * 1e3) for a, n, b in zip(self.longest_ms, now, last, strict=True)
            ]
            last = now


async def measure_steps(body: bytes) -> None:
    gc.freeze()
    beat = LoopMonitor()
    task = asyncio.create_task(beat.run())
    packed, one = zlib.compress(body, 6), asyncio.Lock()

    async def in_one_go(act: Callable[[bytes], Any], what: bytes) -> None:
        act(what)

    works: list[tuple[str, Callable[[], Awaitable[Any]]]] = [
        ("check", lambda: run_cooperatively(validation_steps(body))),
        (
            "eight checks",
            lambda: asyncio.gather(*(run_cooperatively(validation_steps(body), one) for _ in range(8))),
        ),
        ("load", lambda: run_cooperatively(load_route_table_steps(body))),
        ("compress", lambda: run_cooperatively(compress_steps(body))),
        ("decompress", lambda: run_cooperatively(decompress_steps(packed, len(body)))),
        ("json.loads", lambda: in_one_go(json.loads, body)),
        ("zlib.compress", lambda: in_one_go(zlib.compress, body)),
        ("zlib.decompress", lambda: in_one_go(zlib.decompress, packed)),
    ]
    for name, work in works:
        await asyncio.sleep(0.02)
        beat.longest_ms, begun = [0.0, 0.0], time.perf_counter()
        await work()
        took = time.perf_counter() - begun
        await asyncio.sleep(0.02)
        clock, spent = beat.longest_ms
        print(f"{name:16} {took:6.2f} s, longest pause {clock:6.1f} ms, {spent:6.1f} ms of processor")
    task.cancel()


def replace_configuration(host: str, port: int, body: bytes) -> int:
    connection = HTTPConnection(host, port, timeout=60)
    try:
        connection.request("POST", "/api/Config.Replace", body)
        return connection.getresponse().status
    finally:
        connection.close()


async def run_program(file: str) -> None:
    """One program beside a heartbeat: each line on standard input is answered by the longest pause since the
    last one, and begins anew."""
    boot, loop, beat = parse_settings(Path(file).read_bytes()), asyncio.get_running_loop(), LoopMonitor()

    def asked() -> None:
        if not sys.stdin.readline():
            raise SystemExit
        print(*beat.longest_ms, flush=True)
        beat.longest_ms = [0.0, 0.0]

    loop.add_reader(sys.stdin, asked)
    gc.freeze()
    await asyncio.gather(
        beat.run(), (ControlPlaneServer if boot.voting else ProxyServer)(boot).serve(loop.create_future())
    )


def measure_programs(routes: int, folder: Path) -> None:
    plan, parts = SystemLayout(79, free_ports()), []
    try:
        for place in range(plan.control_plane_nodes + plan.proxies):
            file = folder / f"{place}.json"
            file.write_text(json.dumps(plan.node_settings(place, folder / f"disk-{place}")))
            command = [sys.executable, "-O", "-m", __spec__.name, "--node", str(file)]
            parts.append(subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True))
        asyncio.run(wait_until_reachable(plan))
        ctl = plan.control_addresses()[0]
        while replace_configuration(*ctl, large_configuration(1, 9)) != 200:
            time.sleep(0.1)
        body = large_configuration(2, routes)
        read_pauses(parts)
        for what, sent in (("at rest", b""), (f"{len(body) / 1e6:.1f} MB", body)):
            begun = time.perf_counter()
            status = replace_configuration(*ctl, sent) if sent else 0
            took = time.perf_counter() - begun
            time.sleep(OBSERVE_AFTER_S)
            told = ", ".join(f"{clock:.0f} ({spent:.0f})" for clock, spent in read_pauses(parts))
            print(f"{what}: {status} after {took:.2f} s; longest pauses, ms by the clock (spent): {told}")
    finally:
        for part in parts:
            part.kill()
            part.wait()


async def wait_until_reachable(plan: SystemLayout) -> None:
    (await connect_to_control_plane(plan)).close()


def read_pauses(parts: list[subprocess.Popen[str]]) -> list[tuple[float, float]]:
    found = []
    for part in parts:
        assert part.stdin is not None and part.stdout is not None
        part.stdin.write("\n")
        part.stdin.flush()
        clock, spent = part.stdout.readline().split()
        found.append((float(clock), float(spent)))
    return found


def main(routes: int) -> None:
    asyncio.run(measure_steps(large_configuration(2, routes)))
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as where:
        measure_programs(routes, Path(where))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--node"]:
        asyncio.run(run_program(sys.argv[2]))
    else:
        main(int(sys.argv[1]) if len(sys.argv) > 1 else 52_000)
