"""`meadowworks soak`: disturbs a control plane while applications use its locks, numbers and keys."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from pathlib import Path
from typing import Annotated

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.local.soak.memory_check import MEMORY_INFO_FILE, find_memory_shortage
from meadowworks.local.soak.report import SoakReport
from meadowworks.local.soak.run import SoakOptions, SoakRun
from meadowworks.local.system import SystemLayout, find_free_ports, find_unavailable_address

SUBNET = 83
SPARE_NODES = 16  # replacements of a run
SECONDS = (1, 3600)
NODES = (3, 25)
CALLERS = (8, 500)
PROXIES = (0, 500)
STATE_MB = (0, 10)  # twice, as a value and as an event, within the bounds of keys
SLOW_READERS = (0, 100)
EXIT_TERMINATED = 143  # the exit code of a shell after SIGTERM


def soak(
    seed: Annotated[int, Arg(long=True, help="chooses calls and faults")],
    seconds: Annotated[float, Arg(long=True, help="during which faults begin, 1 to 3600")] = 20.0,
    nodes: Annotated[int, Arg(long=True, help="control-plane nodes, an odd number from 3 to 25")] = 5,
    callers: Annotated[int, Arg(long=True, help="applications, 8 to 500")] = 24,
    proxies: Annotated[int, Arg(long=True, help="proxies that run beside, 0 to 500")] = 0,
    state_mb: Annotated[int, Arg(long=True, help="MB of values before the faults, 0 to 10")] = 0,
    slow_readers: Annotated[int, Arg(long=True, help="slow readers of these values, 0 to 100")] = 0,
    disk_load: Annotated[bool, Arg(long=True, help="another writer uses the disk")] = False,
) -> int:
    """Disturb a control plane on loopback, and judge the calls of its applications.

    Exit code 1 if a rule was violated; then the folder with logs, disks, faults and calls stays.
    """
    _check_range("--seconds", seconds, SECONDS)
    _check_range("--nodes", nodes, NODES)
    _check_range("--callers", callers, CALLERS)
    _check_range("--proxies", proxies, PROXIES)
    _check_range("--state-mb", state_mb, STATE_MB)
    _check_range("--slow-readers", slow_readers, SLOW_READERS)
    if nodes % 2 == 0:
        raise CommandError(f"--nodes must be odd, not {nodes}")
    if reason := find_memory_shortage(nodes + proxies, MEMORY_INFO_FILE.read_text()):
        raise CommandError(f"{reason}; choose fewer --proxies or --nodes")
    layout = SystemLayout(SUBNET, find_free_ports(), nodes, proxies, SPARE_NODES)
    if reason := find_unavailable_address(layout.all_addresses()):
        raise CommandError(reason)
    return _run(SoakOptions(seed, seconds, callers, state_mb, slow_readers, disk_load), layout)


def _check_range(name: str, value: float, bounds: tuple[int, int]) -> None:
    lowest, highest = bounds
    if not lowest <= value <= highest:
        raise CommandError(f"{name} must be from {lowest} to {highest}, not {value:g}")


def _run(options: SoakOptions, layout: SystemLayout) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"meadowworks-soak-{options.seed}-"))
    try:
        report = asyncio.run(_run_until_terminated(SoakRun(options, layout, folder)))
    except (asyncio.CancelledError, KeyboardInterrupt) as error:
        shutil.rmtree(folder)
        if isinstance(error, KeyboardInterrupt):
            raise
        return EXIT_TERMINATED
    print("\n".join(report.lines()), flush=True)
    if not report.keeps_folder():
        shutil.rmtree(folder)
    return 0 if report.passed() else 1


async def _run_until_terminated(run: SoakRun) -> SoakReport:
    """Run, and end the processes on SIGTERM too."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run.run()
