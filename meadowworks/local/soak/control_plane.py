"""The control-plane nodes and proxies of a soak as processes, each with a log, some with a disk."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import signal
import time
from pathlib import Path

from meadowworks.cli.node_client import Status
from meadowworks.local.processes import Process, start_process
from meadowworks.local.soak.http_calls import call_once
from meadowworks.local.soak.lost_disks import LostDisks
from meadowworks.local.soak.wire_calls import OK, WireRequest
from meadowworks.local.system import MAX_SEEDS, SystemLayout
from meadowworks.runtime.address import Address

SHUTDOWN_TIMEOUT_S = 10.0  # above the longest graceful shutdown
EXIT_POLL_INTERVAL_S = 0.02
PROXY_START_INTERVAL_S = 0.2  # spreads the processor time of many starts
STATUS_TIMEOUT_S = 0.3
STATUS_REQUEST = WireRequest(b"GET", b"/status")
HEARTBEAT_INTERVALS_MS = (400, 500, 600)  # of backends, chosen anew with each change of settings


class ControlPlane:
    """Starts, signals and replaces the processes of a layout, and ends them all in `close`.

    :ivar nodes: the indexes of the control-plane nodes that are in service, running or not.
    :ivar addresses: where operators and backends call these nodes; changes with replacements.
    :ivar application_addresses: the same as text, for applications.
    :ivar problems: what processes did that nobody asked for.
    """

    def __init__(self, layout: SystemLayout, folder: Path, rng: random.Random) -> None:
        self.layout = layout
        self.nodes = list(range(layout.control_plane_nodes))
        self.addresses = layout.control_addresses()
        self.application_addresses = [format_address(address) for address in self.addresses]
        self.lost_disks = LostDisks(layout.tolerated_failures)
        self.problems: list[str] = []
        self._folder = folder
        self._random = rng
        self._spares = list(layout.spare_indexes())
        self._processes: dict[int, Process] = {}
        self._frozen: set[int] = set()

    # -- starting and ending

    def start_nodes(self) -> None:
        """Start the control-plane nodes."""
        for index in self.nodes:
            self._write_settings(index, bootstrap=True)
            self.start(index)

    async def start_proxies(self) -> None:
        """Start the proxies, one after another."""
        first = self.layout.control_plane_nodes
        for index in range(first, first + self.layout.proxies):
            self._write_settings(index, bootstrap=True)
            self.start(index)
            await asyncio.sleep(PROXY_START_INTERVAL_S)

    def start(self, index: int) -> None:
        """Start a node with the settings and the disk that it has."""
        with self.log_file(index).open("ab") as log:
            self._processes[index] = start_process(self.layout, index, self._settings_file(index), log)
        self._observe()

    async def stop(self, index: int, signal_number: signal.Signals) -> None:
        """End a node by a signal, and wait for its end."""
        process = self._processes.pop(index)
        self._frozen.discard(index)
        self._check_running(index, process)
        process.send_signal(signal_number)
        self._observe()
        deadline_s = time.monotonic() + SHUTDOWN_TIMEOUT_S
        try:
            while process.poll() is None:
                if time.monotonic() > deadline_s:
                    self.problems.append(f"node {index} did not end within {SHUTDOWN_TIMEOUT_S:g} s")
                    return
                await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        finally:
            kill_process(process)

    def close(self) -> None:
        """Kill all processes and wait for their ends."""
        processes, self._processes = list(self._processes.values()), {}
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

    # -- faults

    def freeze(self, index: int) -> None:
        """Suspend a node."""
        self._processes[index].send_signal(signal.SIGSTOP)
        self._frozen.add(index)
        self._observe()

    def thaw(self, index: int) -> None:
        """Resume a suspended node."""
        self._frozen.discard(index)
        if index in self._processes:
            self._processes[index].send_signal(signal.SIGCONT)
        self._observe()

    async def reload(self, index: int) -> None:
        """Change a node's settings file, and have the node read it again if it serves.

        A process that has just started does not handle SIGHUP yet, and would end.
        """
        if await self.status(index):
            self._write_settings(index, bootstrap=False)
            self._processes[index].send_signal(signal.SIGHUP)

    def wipe(self, index: int) -> None:
        """Remove the disk of a node that has ended."""
        shutil.rmtree(self._disk(index), ignore_errors=True)
        self._write_settings(index, bootstrap=False)
        self.lost_disks.on_lost(index, time.monotonic())

    def impaired_with(self, index: int) -> int:
        """Return how many nodes are unavailable or without their disk if this one becomes so too."""
        return len(self._unavailable() | self.lost_disks.lost_nodes(time.monotonic()) | {index})

    def has_spare(self) -> bool:
        """Return whether a node can be replaced."""
        return bool(self._spares)

    def replace(self, index: int) -> int:
        """Replace a node that has ended for good by one with an empty disk at another address.

        :returns: the index of the new node, which is not started yet.
        """
        new_index = self._spares.pop(0)
        position = self.nodes.index(index)
        self.nodes[position] = new_index
        self.addresses[position] = self.layout.control_address(new_index)
        self.application_addresses[position] = format_address(self.addresses[position])
        self.lost_disks.forget(index)
        self.wipe(new_index)
        return new_index

    # -- observation

    async def find_leader(self) -> int | None:
        """Return a node that reports that it leads the coordination log."""
        statuses = await asyncio.gather(*(self.status(index) for index in self.nodes))
        for index, status in zip(self.nodes, statuses, strict=True):
            if status.get("log", {}).get("is_leader"):
                return index
        return None

    async def count_members(self) -> int:
        """Return the number of members of the newest epoch that all nodes report; 0 if they differ."""
        statuses = await asyncio.gather(*(self.status(index) for index in self.nodes))
        counts = {len(status.get("members_of_epoch") or ()) for status in statuses}
        return counts.pop() if len(counts) == 1 else 0

    async def status(self, index: int) -> Status:
        """Return a node's status; empty if there is none in time."""
        address = Address(self.layout.ip_address(index), self.layout.ports.peer)
        response = await call_once(address, STATUS_REQUEST, STATUS_TIMEOUT_S)
        return json.loads(response.body) if response is not None and response.status == OK else {}

    def check_processes(self) -> None:
        """Add a problem for each process that has ended by itself."""
        for index, process in self._processes.items():
            self._check_running(index, process)

    def log_file(self, index: int) -> Path:
        """Return the file with the output of a node's processes."""
        return self._folder / f"node-{index}.log"

    def log_files(self) -> list[Path]:
        """Return the logs of all processes."""
        return sorted(self._folder.glob("node-*.log"))

    # -- internal work

    def _check_running(self, index: int, process: Process) -> None:
        if process.poll() is not None:
            self.problems.append(f"node {index} ended by itself with status {process.returncode}")

    def _unavailable(self) -> set[int]:
        running = {index for index, process in self._processes.items() if process.poll() is None}
        return set(self.nodes) - (running - self._frozen)

    def _observe(self) -> None:
        self.lost_disks.observe(self._unavailable(), time.monotonic())

    def _write_settings(self, index: int, bootstrap: bool) -> None:
        seeds = self.nodes if bootstrap else self._choose_seeds(index)
        settings = self.layout.node_settings(index, self._disk(index), bootstrap, seeds)
        if not bootstrap:
            settings["infra"]["heartbeatMs"] = self._random.choice(HEARTBEAT_INTERVALS_MS)
        self._settings_file(index).write_text(json.dumps(settings))

    def _choose_seeds(self, index: int) -> list[int]:
        others = [node for node in self.nodes if node != index]
        return self._random.sample(others, min(MAX_SEEDS, len(others)))

    def _settings_file(self, index: int) -> Path:
        return self._folder / f"settings-{index}.json"

    def _disk(self, index: int) -> Path:
        return self._folder / f"disk-{index}"


def format_address(address: Address) -> str:
    """Return an address as `Address.parse` reads it."""
    return f"{address.host}:{address.port}"


def kill_process(process: Process) -> None:
    """Kill a process if it still runs, and wait for its end."""
    process.kill()
    process.wait()
