"""A measurement of how long a large configuration blocks the event loops of the gateway's programs.

    python -O -m meadowworks.simulation.loop_latency [ROUTES]

ROUTES is 52,000 by default. There are two parts:

1. The cooperative steps of the work on a configuration run in one loop with a monitor, and so do the blocking
   calls of the libraries. The longest pause between two wakes of the monitor is given by the clock and in
   processor time of the loop's thread.
2. Three control planes and two proxies, each a process with a monitor, receive the configuration from an
   operator.
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
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from meadowworks.config.route_table import load_route_table_steps
from meadowworks.config.validation import validation_steps
from meadowworks.controlplane.server import ControlPlaneServer
from meadowworks.local.system import SystemLayout, build_configuration, find_free_ports
from meadowworks.proxy.server import ProxyServer
from meadowworks.runtime.compression import compress_steps, decompress_steps
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.node_settings import parse_settings
from meadowworks.simulation.forward import connect_to_control_plane

DEFAULT_ROUTES = 52_000
OBSERVE_AFTER_S = 4.0  # observation time of idle programs, and after an acknowledgement
WAKE_INTERVAL_S = 0.0005
SETTLE_S = 0.02  # before and after each measurement
SMALL_ROUTES = 9  # of the first configuration
RETRY_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 60
COMPRESSION_LEVEL = 6

Work = Callable[[], Awaitable[Any]]
Program = subprocess.Popen[str]


def large_configuration(version: int, routes: int) -> bytes:
    """Return a configuration with a number of routes to three services."""
    paths = {
        f"/part-{n % 97}/item-{n}/": ("unsafe" if n % 4 else "safe", f"svc{n % 3}") for n in range(routes)
    }
    return build_configuration(version, paths)


@dataclass(frozen=True, slots=True)
class LoopPause:
    """The longest time between two wakes of a monitor, by the clock and in processor time of its thread."""

    clock_ms: float = 0.0
    processor_ms: float = 0.0


class LoopMonitor:
    """Wakes an event loop periodically and records the longest pause between two wakes."""

    def __init__(self) -> None:
        self._longest = LoopPause()

    def take_longest(self) -> LoopPause:
        """Return the longest pause since the last call."""
        longest, self._longest = self._longest, LoopPause()
        return longest

    async def run(self) -> None:
        """Measure the pauses until cancelled."""
        last_s, last_processor_s = time.perf_counter(), time.thread_time()
        while True:
            await asyncio.sleep(WAKE_INTERVAL_S)
            now_s, processor_s = time.perf_counter(), time.thread_time()
            self._longest = LoopPause(
                max(self._longest.clock_ms, (now_s - last_s) * 1e3),
                max(self._longest.processor_ms, (processor_s - last_processor_s) * 1e3),
            )
            last_s, last_processor_s = now_s, processor_s


# -- steps in one loop


async def measure_steps(body: bytes) -> None:
    """Print how long each kind of work on a configuration takes and blocks a loop."""
    gc.freeze()
    monitor = LoopMonitor()
    task = asyncio.create_task(monitor.run())
    for name, work in work_by_name(body).items():
        await asyncio.sleep(SETTLE_S)
        monitor.take_longest()
        began_s = time.perf_counter()
        await work()
        took_s = time.perf_counter() - began_s
        await asyncio.sleep(SETTLE_S)
        pause = monitor.take_longest()
        print(
            f"{name:16} {took_s:6.2f} s, longest pause {pause.clock_ms:6.1f} ms, "
            f"{pause.processor_ms:6.1f} ms of processor"
        )
    task.cancel()


def work_by_name(body: bytes) -> dict[str, Work]:
    """Return the kinds of work on a configuration, by name."""
    compressed, lock = zlib.compress(body, COMPRESSION_LEVEL), asyncio.Lock()

    async def run_blocking(call: Callable[[bytes], Any], content: bytes) -> None:
        call(content)

    async def eight_checks() -> None:
        await asyncio.gather(*(run_cooperatively(validation_steps(body), lock) for _ in range(8)))

    return {
        "check": lambda: run_cooperatively(validation_steps(body)),
        "eight checks": eight_checks,
        "load": lambda: run_cooperatively(load_route_table_steps(body)),
        "compress": lambda: run_cooperatively(compress_steps(body)),
        "decompress": lambda: run_cooperatively(decompress_steps(compressed, len(body))),
        "json.loads": lambda: run_blocking(json.loads, body),
        "zlib.compress": lambda: run_blocking(zlib.compress, body),
        "zlib.decompress": lambda: run_blocking(zlib.decompress, compressed),
    }


# -- programs


async def run_program(file: str) -> None:
    """Run one program with a monitor, and print its longest pause for each line on standard input.

    The pause is the longest since the previous line. The end of standard input ends the program.
    """
    settings, monitor = parse_settings(Path(file).read_bytes()), LoopMonitor()

    def report_pause() -> None:
        if not sys.stdin.readline():
            raise SystemExit
        pause = monitor.take_longest()
        print(pause.clock_ms, pause.processor_ms, flush=True)

    loop = asyncio.get_running_loop()
    loop.add_reader(sys.stdin, report_pause)
    gc.freeze()
    server = (ControlPlaneServer if settings.voting else ProxyServer)(settings)
    await asyncio.gather(monitor.run(), server.serve(loop.create_future()))


def measure_programs(routes: int, folder: Path) -> None:
    """Print the longest pause of each program of a system, idle and during a large configuration."""
    layout = SystemLayout(79, find_free_ports())
    programs: list[Program] = []
    try:
        for number in range(layout.control_plane_nodes + layout.proxies):
            programs.append(start_program(layout, number, folder))
        asyncio.run(wait_until_reachable(layout))
        address = layout.control_addresses()[0]
        while replace_configuration(*address, large_configuration(1, SMALL_ROUTES)) != 200:
            time.sleep(RETRY_INTERVAL_S)
        read_pauses(programs)
        time.sleep(OBSERVE_AFTER_S)
        print_pauses("idle", 0, 0.0, programs)
        body = large_configuration(2, routes)
        began_s = time.perf_counter()
        status = replace_configuration(*address, body)
        took_s = time.perf_counter() - began_s
        time.sleep(OBSERVE_AFTER_S)
        print_pauses(f"{len(body) / 1e6:.1f} MB", status, took_s, programs)
    finally:
        for program in programs:
            program.kill()
            program.wait()


def start_program(layout: SystemLayout, number: int, folder: Path) -> Program:
    """Start a process of this module that runs a program of the layout."""
    file = folder / f"{number}.json"
    file.write_text(json.dumps(layout.node_settings(number, folder / f"disk-{number}")))
    command = [sys.executable, "-O", "-m", __spec__.name, "--node", str(file)]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)


async def wait_until_reachable(layout: SystemLayout) -> None:
    """Wait until the first control plane accepts connections."""
    (await connect_to_control_plane(layout)).close()


def replace_configuration(host: str, port: int, body: bytes) -> int:
    """Replace the configuration by the operator's API and return the response's status."""
    connection = HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("POST", "/api/Config.Replace", body)
        return connection.getresponse().status
    finally:
        connection.close()


def read_pauses(programs: Sequence[Program]) -> list[LoopPause]:
    """Request from each program its longest pause since the last request."""
    pauses = []
    for program in programs:
        assert program.stdin is not None
        assert program.stdout is not None
        program.stdin.write("\n")
        program.stdin.flush()
        clock_ms, processor_ms = program.stdout.readline().split()
        pauses.append(LoopPause(float(clock_ms), float(processor_ms)))
    return pauses


def print_pauses(label: str, status: int, took_s: float, programs: Sequence[Program]) -> None:
    """Print the longest pause of each program."""
    pauses = ", ".join(f"{pause.clock_ms:.0f} ({pause.processor_ms:.0f})" for pause in read_pauses(programs))
    print(f"{label}: {status} after {took_s:.2f} s; longest pauses, ms by the clock (of processor): {pauses}")


def main(routes: int) -> None:
    """Run both parts of the measurement."""
    asyncio.run(measure_steps(large_configuration(2, routes)))
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as folder:
        measure_programs(routes, Path(folder))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--node"]:
        asyncio.run(run_program(sys.argv[2]))
    else:
        main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_ROUTES)
