"""The fleet controller as a process, and fakes of the programs that it connects with."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from aiohttp import web

ROUTES, TIMEOUT_S = ("look", "book"), 30.0  # long enough for a slow machine


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "tick_us": 5000,
    "zones": ["east", "west"],
    "membership_mode": "subscribe",
    "weight_kind": "nominal",
    "limits": {"probes": False},
    "new": {"key": [{"a": 1}, {"a": 2}]},
    "profiles": [
        {"name": "look", "worth": 2.0, "on_time_us": 2000000, "repeat": "safe"},
        {"name": "book", "worth": 1.0, "on_time_us": 800000, "repeat": "unsafe"},
    ],
    "extra": {
        "base_mode": 1,
        "by_zone": True,
        "channel_rate": 800.0,
        "cycle_us": 500000,
        "ejects": 5,
        "exclusive": False,
        "fixed_cost": 10.0,
        "home_only": [False, False],
        "in_flight_max_us": 2520000,
        "keeps_writing_us": 2500000,
        "level_kind": "share",
        "proxy_count": 4,
        "push_delay_max_us": 320000,
        "queue_cap": 1600.0,
        "reloads_max": 20,
        "slices": 0,
        "update_window_us": 10000000,
    },
    "safety": {"ask_within_us": 10000000, "cold_share": 0.3, "cold_us": 15000000},
}


def endpoint(name: str, zone: str = "east", status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
    return {
        "name": name,
        "address": "127.0.0.9:1",
        "zone": zone,
        "type": "t",
        "group": 0,
        "status": status,
        "weight": 2.0,
        "since_ms": since_ms,
    }


class FakeDiscovery:
    """A fake of discovery: a list, its long polls, and several failure modes."""

    def __init__(self, *entries: dict[str, Any]) -> None:
        self.index, self.calls, self.mode = 1, 0, "well"
        self.entries = {entry["name"]: (1, entry) for entry in entries}
        self.changed = asyncio.Condition()

    async def open(self) -> str:
        server = await asyncio.get_running_loop().create_server(web.Server(self.answer), "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def update(self, *entries: dict[str, Any], mode: str = "well") -> None:
        async with self.changed:
            self.mode, self.index = mode, self.index + bool(entries)
            self.entries.update((entry["name"], (self.index, entry)) for entry in entries)
            self.changed.notify_all()

    def entries_since(self, index: int) -> dict[str, Any]:
        entries = [entry for changed_index, entry in self.entries.values() if changed_index > index]
        return {"index": self.index, "snapshot": index < 0, "endpoints": entries}

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        index, wait_s = int(request.query.get("index", -1)), int(request.query.get("wait", 0)) / 1000
        if self.mode == "well":
            with suppress(TimeoutError):
                async with self.changed, asyncio.timeout(wait_s):
                    await self.changed.wait_for(lambda: self.index > index or self.mode != "well")
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "cut":
            response = web.StreamResponse(headers={"Content-Length": "900"})
            await response.prepare(request)
            await response.write(b'{"index":')
            assert request.transport is not None
            request.transport.abort()
            return response
        if self.mode == "back":
            return web.json_response({"index": 0, "snapshot": False, "endpoints": []})
        if self.mode == "hasty":
            return web.json_response(self.entries_since(index))
        return (
            web.json_response(self.entries_since(index)) if self.mode == "well" else web.Response(status=503)
        )


class FakePeer:
    """One connection to the controller; as a proxy it applies the updates that it receives."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, float]] = {route: {} for route in ROUTES}
        self.admissions: dict[str, tuple[float, int]] = {}
        self.messages = self.heartbeat_replies = 0
        self.number = ""  # acknowledges nonces once it has one

    async def connect(self, port: int, *lines: str) -> FakePeer:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.send(*lines)
        return self

    def send(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def apply(self, line: str) -> None:
        kind, *words = line.split()
        if kind == "hb_ok":
            self.heartbeat_replies += 1
            return
        fields = dict(word.partition("=")[::2] for word in words)
        assert kind == "assign"
        assert set(fields) <= {"routes", "full", "endpoints", "admit", "policy", "continued", "nonce_out"}
        self.messages += "continued" not in fields
        if "nonce_out" in fields and self.number:
            self.send(f"done id={self.number} seq={fields['nonce_out']} ms=1.5")
        for route in fields["routes"].split("+") if "routes" in fields else ROUTES:
            if "full" in fields:
                self.tables[route] = {}
                self.admissions.pop(route, None)
            for pair in fields.get("endpoints", "").split(","):
                if pair:
                    name, _, weight = pair.partition(":")
                    self.tables[route][name] = float(weight)
                    if not float(weight):
                        del self.tables[route][name]
            if "admit" in fields:
                self.admissions[route] = float(fields["admit"]), int(fields["policy"])

    async def receive_until(self, condition: Callable[[FakePeer], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition(self):
                self.apply((await self.reader.readuntil(b"\r\n")).decode())

    async def wait_closed(self) -> None:
        """Wait until the controller closes the connection; discard received data."""
        with suppress(ConnectionError):
            async with asyncio.timeout(TIMEOUT_S):
                while await self.reader.read(1 << 16):
                    pass


class ControllerProcess:
    """The controller as a process on a free loopback port."""

    def __init__(
        self, folder: Path, discovery: FakeDiscovery, settings: dict[str, Any] = SETTINGS, sockets: int = 1024
    ) -> None:
        self.discovery, self.folder, self.sockets = discovery, folder, sockets
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d2",
            "limits": {"sockets": sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": [e for _, e in discovery.entries.values()]},
            "settings": settings,
        }

    def write(self, **change: Any) -> Path:
        self.config.update(change)
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.config))
        return config

    async def wait_for_log(self, text: str) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while text not in self.log():
                await asyncio.sleep(0.02)

    async def start(self, *command: str) -> ControllerProcess:
        if "discovery" not in self.config:
            self.config["discovery"] = await self.discovery.open()
        config = self.write()
        with open(self.folder / "log", "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *(command or ("-m", "meadowworks")),
                env={"NODE_CONFIG": str(config)},
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
            )
        return self

    async def peer(self, *lines: str) -> FakePeer:
        """Connect to the controller; retry until it listens."""
        async with asyncio.timeout(TIMEOUT_S):
            while self.process.returncode is None:
                with suppress(ConnectionError):
                    return await FakePeer().connect(self.port, *lines)
                await asyncio.sleep(0.02)
        raise AssertionError(self.log())

    async def proxy(self, number: int, zone: str = "east") -> FakePeer:
        peer = await self.peer(f"attach id={number} site={zone} rps=9.5 new=1")
        peer.number = str(number)
        return peer

    def log(self) -> str:
        return (self.folder / "log").read_text()

    async def stop(self, signal_number: int) -> int:
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        async with asyncio.timeout(TIMEOUT_S):
            return await self.process.wait()


def run_with_controller(
    scenario: Callable[[ControllerProcess], Awaitable[None]],
    folder: Path,
    discovery: FakeDiscovery,
    **options: Any,
) -> None:
    """Run a scenario against a started controller; check that the controller still runs afterwards."""

    async def run() -> None:
        controller = await ControllerProcess(folder, discovery, **options).start()
        try:
            await scenario(controller)
            assert controller.process.returncode is None, controller.log()
        finally:
            assert await controller.stop(signal.SIGTERM) == 0, controller.log()

    asyncio.run(run())
