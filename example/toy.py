"""Discovery, a proxy and a collector in one short program, to see the controller at work.

Start it, then the controller as README.md says. The proxy prints its table whenever that changes. After some
seconds a backend drains, then a new one starts; a second backend begins to drop half of its calls.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from contextlib import suppress
from pathlib import Path

from aiohttp import web

from meadowworks.attempts.machine import AttemptMachine, FinalReply
from meadowworks.attempts.retry_policy import ANSWERED, NEVER_RAN, RouteRetryPolicy

SECOND = 1_000_000_000
CONFIG = json.loads(Path(os.environ.get("NODE_CONFIG") or Path(__file__).parent / "config.json").read_text())
CONTROLLER, DISCOVERY = (CONFIG[key].rpartition(":")[::2] for key in ("listen", "discovery"))
ROUTES = [profile["name"] for profile in CONFIG["settings"]["profiles"]]


class Fleet:
    """The backends as discovery lists them, and which of them drop calls."""

    def __init__(self) -> None:
        self.index = 0
        self.entries: dict[str, tuple[int, dict[str, object]]] = {}
        self.changed = asyncio.Event()
        self.dropping: set[str] = set()

    def put(self, name: str, status: str = "in_service", since_ms: int = 0) -> None:
        self.index += 1
        entry = {
            "name": name,
            "address": "127.0.0.1:1",
            "zone": "east",
            "type": "toy",
            "group": 0,
            "status": status,
            "weight": 2.0,
            "since_ms": since_ms,
        }
        self.entries[name] = self.index, entry
        self.changed.set()
        self.changed = asyncio.Event()
        print(f"discovery: {name} is {status}", flush=True)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """`GET /discovery/hosts`, as a watch where it names the index that it has."""
        index = int(request.query.get("index", -1))
        if index >= self.index:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(request.query.get("wait", 0)) / 1000)
        entries = [entry for at, entry in self.entries.values() if at > index]
        return web.json_response({"index": self.index, "snapshot": index < 0, "endpoints": entries})


class Calls:
    """What a proxy does with its calls: the machine decides, this carries it out on pretended backends. One
    that drops calls refuses every second try before it runs, with proof: such a call may be tried again
    elsewhere."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        ways = [RouteRetryPolicy(False, 2 * SECOND, SECOND, SECOND // 10, 5 * SECOND) for _ in ROUTES]
        self.machine = AttemptMachine(self, ways, SECOND, 1000, 7)
        self.names: list[str] = []  # of backends, by index
        self.table: dict[str, float] = {}
        self.grants = [(1.0, 0) for _ in ROUTES]
        self.sent: list[tuple[int, int, int]] = []
        self.met: dict[str, list[int]] = {}  # tries and dropped ones, by backend
        self.asked = [[0, 0] for _ in ROUTES]  # calls and dropped ones, by route
        self.key = 0

    def send(self, key: int, number: int, backend: int) -> None:
        self.sent.append((key, number, backend))

    def cancel(self, number: int) -> None:
        """Nothing is under way between two periods."""

    def reply(self, key: int, asker: int, told: FinalReply) -> None:
        self.asked[key % len(ROUTES)][1] += told.kind == "dropped"

    def count(self, what: str) -> None:
        print(f"proxy: {what}", flush=True)

    def order(self) -> None:
        """What the messages since the last call have made of the table."""
        self.names += [name for name in self.table if name not in self.names]
        lines = {self.names.index(name): weight for name, weight in self.table.items()}
        for k, (level, policy) in enumerate(self.grants):
            self.machine.on_table(k, lines, level, policy)

    def period(self) -> None:
        """Half a second's calls, 20 in all."""
        now = time.monotonic_ns()
        self.machine.tick(now)
        for _ in range(20):
            self.key += 1
            self.asked[self.key % len(ROUTES)][0] += 1
            self.machine.on_request(now, self.key, self.key % len(ROUTES), self.key, False)
            while self.sent:
                key, number, backend = self.sent.pop()
                name = self.names[backend]
                refused = name in self.fleet.dropping and number % 2 == 0
                met = self.met.setdefault(name, [0, 0])
                met[0] += 1
                met[1] += refused
                self.machine.on_attempt_ended(now, key, number, NEVER_RAN if refused else ANSWERED)


async def proxy(calls: Calls) -> None:
    """Joins, and applies what it is sent; dials again when its stream ends."""
    table = calls.table
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*CONTROLLER)
            writer.write(b"attach id=0 site=east rps=40 new=1\r\n")
            while line := (await reader.readuntil(b"\r\n")).decode():
                says = dict(word.partition("=")[::2] for word in line.split())
                routes = says["routes"].split("+") if "routes" in says else ROUTES
                if "full" in says:
                    table.clear()
                for name, _, weight in (pair.partition(":") for pair in says.get("endpoints", "").split(",")):
                    if name:
                        table[name] = float(weight)
                for name in [name for name, weight in table.items() if not weight]:
                    del table[name]
                if "admit" in says:
                    for route in routes:
                        calls.grants[ROUTES.index(route)] = float(says["admit"]), int(says["policy"])
                calls.order()
                if "nonce_out" in says:
                    writer.write(f"done id=0 seq={says['nonce_out']} ms=1\r\n".encode())
                level = f", admits {says['admit']} of {says.get('routes', 'all')}" if "admit" in says else ""
                print(f"proxy: {dict(sorted(table.items()))}{level}", flush=True)
        await asyncio.sleep(0.5)


async def collector(calls: Calls) -> None:
    """Passes on twice a second what the proxy's calls have met."""
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(*CONTROLLER)
            writer.write(b"telemetry site=east\r\n")
            while not writer.is_closing():
                calls.period()
                for name, (tries, bad) in calls.met.items():
                    writer.write(
                        f"upstream_stats site=east target={name} count={tries} fail={bad} "
                        "mean=80 over=500 util=queue:0\r\n".encode()
                    )
                for route, (count, dropped) in zip(ROUTES, calls.asked, strict=True):
                    said = f"client_stats id=0 lane={route} count={count} fail={dropped} over=500\r\n"
                    writer.write(said.encode())
                calls.met.clear()
                calls.asked = [[0, 0] for _ in ROUTES]
                await writer.drain()
                await asyncio.sleep(0.5)
        await asyncio.sleep(0.5)


async def main() -> None:
    fleet = Fleet()
    calls = Calls(fleet)
    for name in ("s-1", "s-2", "s-3", "s-4"):
        fleet.put(name)
    await asyncio.get_running_loop().create_server(web.Server(fleet.answer), *DISCOVERY)
    peers = [asyncio.create_task(proxy(calls)), asyncio.create_task(collector(calls))]
    while not calls.table:
        await asyncio.sleep(0.1)
    await asyncio.sleep(8)
    fleet.put("s-1", "terminating")
    await asyncio.sleep(4)
    fleet.put("s-1", "terminated")
    fleet.put("s-5", since_ms=time.time_ns() // 1_000_000)
    await asyncio.sleep(4)
    print("backends: s-2 drops half of its calls", flush=True)
    fleet.dropping.add("s-2")
    await asyncio.gather(*peers)


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        asyncio.run(main())
