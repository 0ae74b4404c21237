"""Runs a layout: its nodes as processes of this machine, its backends in this process."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import BinaryIO

from meadowworks.local.backend import StubBackend
from meadowworks.local.system import HEARTBEAT_INTERVAL_MS, SystemLayout
from meadowworks.runtime.node_settings import SETTINGS_FILE_VARIABLE

PROJECT_ROOT = Path(__file__).parents[2]
FIRST_BACKEND_INDEX = 20  # index of an address beyond those of the nodes

Process = subprocess.Popen[bytes]


def start_node(layout: SystemLayout, index: int, folder: Path) -> Process:
    """Start a node, with its settings and its state in a folder."""
    settings_file = folder / f"{index}.json"
    settings_file.write_text(json.dumps(layout.node_settings(index, folder / f"disk-{index}")))
    return start_process(layout, index, settings_file)


def start_process(
    layout: SystemLayout, index: int, settings_file: Path, log: BinaryIO | None = None
) -> Process:
    """Start a node with a settings file.

    :param log: gets the output of the process; that of this process does if None.
    """
    environ = {
        **os.environ,
        "PYTHONPATH": str(PROJECT_ROOT),
        SETTINGS_FILE_VARIABLE: str(settings_file),
    }
    program = "meadowworks.controlplane" if layout.is_in_control_plane(index) else "meadowworks.proxy"
    return subprocess.Popen([sys.executable, "-m", program], env=environ, stdout=log, stderr=log)


@contextmanager
def running_nodes(layout: SystemLayout) -> Iterator[list[Process]]:
    """Run all nodes of a layout in a temporary folder; terminate them at the end."""
    with tempfile.TemporaryDirectory(prefix="meadowworks-") as folder:
        count = layout.control_plane_nodes + layout.proxies
        processes = [start_node(layout, index, Path(folder)) for index in range(count)]
        try:
            yield processes
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait()


@asynccontextmanager
async def running_backends(
    layout: SystemLayout, services: Sequence[str], zones: Sequence[str], per_zone: int = 2
) -> AsyncIterator[list[StubBackend]]:
    """Run stub backends of each service in each zone; they send heartbeats to the layout's nodes."""
    backends = [
        StubBackend(
            f"{service}-{zone}-{number}", service, zone, layout.ip_address(FIRST_BACKEND_INDEX + number)
        )
        for service in services
        for zone in zones
        for number in range(per_zone)
    ]
    for backend in backends:
        await backend.start()
    heartbeats = [
        asyncio.create_task(backend.run_heartbeats(layout.control_addresses(), HEARTBEAT_INTERVAL_MS / 1000))
        for backend in backends
    ]
    try:
        yield backends
    finally:
        for task in heartbeats:
            task.cancel()
        for backend in backends:
            backend.stop()
