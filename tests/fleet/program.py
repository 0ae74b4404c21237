"""The real controller as a process, and stand-ins for all that it speaks to."""

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

LANES, PATIENCE_S = ("look", "book"), 30.0  # what has not come by then never will, on a slow machine too


NESTED: dict[str, Any] = {
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


def listed(name: str, zone: str = "east", status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
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


class Desk:
    """Stands for discovery: a list, its watches, and the ways in which it fails."""

    def __init__(self, *entries: dict[str, Any]) -> None:
        self.index, self.calls, self.mood = 1, 0, "well"
        self.entries = {entry["name"]: (1, entry) for entry in entries}
        self.news = asyncio.Condition()

    async def open(self) -> str:
        server = await asyncio.get_running_loop().create_server(web.Server(self.answer), "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def tell(self, *entries: dict[str, Any], mood: str = "well") -> None:
        async with self.news:
            self.mood, self.index = mood, self.index + bool(entries)
            self.entries.update((entry["name"], (self.index, entry)) for entry in entries)
            self.news.notify_all()

    def since(self, index: int) -> dict[str, Any]:
        changed = [entry for at, entry in self.entries.values() if at > index]
        return {"index": self.index, "snapshot": index < 0, "endpoints": changed}

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        index, wait_s = int(request.query.get("index", -1)), int(request.query.get("wait", 0)) / 1000
        if self.mood == "well":
            with suppress(TimeoutError):
                async with self.news, asyncio.timeout(wait_s):
                    await self.news.wait_for(lambda: self.index > index or self.mood != "well")
        if self.mood == "silent":
            await asyncio.Event().wait()
        if self.mood == "cut":
            response = web.StreamResponse(headers={"Content-Length": "900"})
            await response.prepare(request)
            await response.write(b'{"index":')
            assert request.transport is not None
            request.transport.abort()
            return response
        if self.mood == "back":
            return web.json_response({"index": 0, "snapshot": False, "endpoints": []})
        if self.mood == "hasty":
            return web.json_response(self.since(index))
        return web.json_response(self.since(index)) if self.mood == "well" else web.Response(status=503)


class Peer:
    """One connection to the controller; as a proxy it applies what it is sent."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, float]] = {lane: {} for lane in LANES}
        self.levels: dict[str, tuple[float, int]] = {}
        self.messages = self.beats = 0
        self.number = ""  # answers marks once it has one

    async def dial(self, port: int, *lines: str) -> Peer:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.say(*lines)
        return self

    def say(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def apply(self, line: str) -> None:
        kind, *words = line.split()
        if kind == "hb_ok":
            self.beats += 1
            return
        says = dict(word.partition("=")[::2] for word in words)
        assert kind == "assign"
        assert set(says) <= {"routes", "full", "endpoints", "admit", "policy", "continued", "nonce_out"}
        self.messages += "continued" not in says
        if "nonce_out" in says and self.number:
            self.say(f"done id={self.number} seq={says['nonce_out']} ms=1.5")
        for lane in says["routes"].split("+") if "routes" in says else LANES:
            if "full" in says:
                self.tables[lane] = {}
                self.levels.pop(lane, None)
            for pair in says.get("endpoints", "").split(","):
                if pair:
                    name, _, weight = pair.partition(":")
                    self.tables[lane][name] = float(weight)
                    if not float(weight):
                        del self.tables[lane][name]
            if "admit" in says:
                self.levels[lane] = float(says["admit"]), int(says["policy"])

    async def until(self, truth: Callable[[Peer], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not truth(self):
                self.apply((await self.reader.readuntil(b"\r\n")).decode())

    async def over(self) -> None:
        """Waits for the controller to end the connection, whatever it still sends."""
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE_S):
                while await self.reader.read(1 << 16):
                    pass


class Program:
    """The real controller as the platform starts it, on a loopback port that was free."""

    def __init__(
        self, folder: Path, desk: Desk, settings: dict[str, Any] = NESTED, sockets: int = 1024
    ) -> None:
        self.desk, self.folder, self.sockets = desk, folder, sockets
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d2",
            "limits": {"sockets": sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": [e for _, e in desk.entries.values()]},
            "settings": settings,
        }

    def write(self, **change: Any) -> Path:
        self.config.update(change)
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.config))
        return config

    async def logged(self, text: str) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while text not in self.log():
                await asyncio.sleep(0.02)

    async def start(self, *command: str) -> Program:
        if "discovery" not in self.config:
            self.config["discovery"] = await self.desk.open()
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

    async def peer(self, *lines: str) -> Peer:
        """Dials until the controller is there, as a proxy or a collector would."""
        async with asyncio.timeout(PATIENCE_S):
            while self.process.returncode is None:
                with suppress(ConnectionError):
                    return await Peer().dial(self.port, *lines)
                await asyncio.sleep(0.02)
        raise AssertionError(self.log())

    async def proxy(self, number: int, zone: str = "east") -> Peer:
        peer = await self.peer(f"attach id={number} site={zone} rps=9.5 new=1")
        peer.number = str(number)
        return peer

    def log(self) -> str:
        return (self.folder / "log").read_text()

    async def end(self, number: int) -> int:
        if self.process.returncode is None:
            self.process.send_signal(number)
        async with asyncio.timeout(PATIENCE_S):
            return await self.process.wait()


def play(act: Callable[[Program], Awaitable[None]], folder: Path, desk: Desk, **options: Any) -> None:
    """Runs the act beside a started program, and sees that the program was still there at its end."""

    async def whole() -> None:
        program = await Program(folder, desk, **options).start()
        try:
            await act(program)
            assert program.process.returncode is None, program.log()
        finally:
            assert await program.end(signal.SIGTERM) == 0, program.log()

    asyncio.run(whole())
