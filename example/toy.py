"""Discovery, a proxy and a collector in one short program, to try the controller.

Start it, then the controller, as README.md describes. The proxy prints its table at each update. After some
seconds one backend drains, then a new one starts, and another backend begins to drop half of its calls.
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

SECOND_NS = 1_000_000_000
CONFIG = json.loads(Path(os.environ.get("NODE_CONFIG") or Path(__file__).parent / "config.json").read_text())
CONTROLLER, DISCOVERY = (CONFIG[key].rpartition(":")[::2] for key in ("listen", "discovery"))
ROUTES = [profile["name"] for profile in CONFIG["settings"]["profiles"]]


class ToyDiscovery:
    """Lists the backends, and holds which of them drop calls."""

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
        """Answer `GET /discovery/hosts`; a request with the current index is a long poll."""
        index = int(request.query.get("index", -1))
        if index >= self.index:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(request.query.get("wait", 0)) / 1000)
        entries = [entry for changed_index, entry in self.entries.values() if changed_index > index]
        return web.json_response({"index": self.index, "snapshot": index < 0, "endpoints": entries})


class ToyProxy:
    """A proxy's calls: the attempt machine decides, and simulated backends answer.

    A backend that drops calls rejects every second attempt before it runs; such an attempt may be retried.
    """

    def __init__(self, discovery: ToyDiscovery) -> None:
        self.discovery = discovery
        retry_policies = [
            RouteRetryPolicy(False, 2 * SECOND_NS, SECOND_NS, SECOND_NS // 10, 5 * SECOND_NS) for _ in ROUTES
        ]
        self.machine = AttemptMachine(self, retry_policies, SECOND_NS, 1000, 7)
        self.backend_names: list[str] = []  # by index
        self.table: dict[str, float] = {}
        self.admissions = [(1.0, 0) for _ in ROUTES]
        self.pending_attempts: list[tuple[int, int, int]] = []  # key, number and backend
        self.attempt_counts: dict[str, list[int]] = {}  # attempts and failures, by backend
        self.call_counts = [[0, 0] for _ in ROUTES]  # calls and dropped calls, by route
        self.last_key = 0

    def send(self, key: int, number: int, backend: int) -> None:
        self.pending_attempts.append((key, number, backend))

    def cancel(self, number: int) -> None:
        """Do nothing: no attempt is pending between two periods."""

    def reply(self, key: int, waiter: int, reply: FinalReply) -> None:
        self.call_counts[key % len(ROUTES)][1] += reply.kind == "dropped"

    def count(self, event: str) -> None:
        print(f"proxy: {event}", flush=True)

    def apply_table(self) -> None:
        """Pass the current table and admissions to the attempt machine."""
        self.backend_names += [name for name in self.table if name not in self.backend_names]
        weights = {self.backend_names.index(name): weight for name, weight in self.table.items()}
        for route, (limit, retry_policy) in enumerate(self.admissions):
            self.machine.on_table(route, weights, limit, retry_policy)

    def run_period(self) -> None:
        """Make the 20 calls of half a second."""
        now = time.monotonic_ns()
        self.machine.tick(now)
        for _ in range(20):
            self.last_key += 1
            self.call_counts[self.last_key % len(ROUTES)][0] += 1
            self.machine.on_request(now, self.last_key, self.last_key % len(ROUTES), self.last_key, False)
            while self.pending_attempts:
                key, number, backend = self.pending_attempts.pop()
                name = self.backend_names[backend]
                is_dropped = name in self.discovery.dropping and number % 2 == 0
                counts = self.attempt_counts.setdefault(name, [0, 0])
                counts[0] += 1
                counts[1] += is_dropped
                self.machine.on_attempt_ended(now, key, number, NEVER_RAN if is_dropped else ANSWERED)


async def run_proxy(proxy: ToyProxy) -> None:
    """Join the controller and apply its updates; reconnect when the stream ends."""
    table = proxy.table
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*CONTROLLER)
            writer.write(b"attach id=0 site=east rps=40 new=1\r\n")
            while line := (await reader.readuntil(b"\r\n")).decode():
                fields = dict(word.partition("=")[::2] for word in line.split())
                routes = fields["routes"].split("+") if "routes" in fields else ROUTES
                if "full" in fields:
                    table.clear()
                for name, _, weight in (
                    pair.partition(":") for pair in fields.get("endpoints", "").split(",")
                ):
                    if name:
                        table[name] = float(weight)
                for name in [name for name, weight in table.items() if not weight]:
                    del table[name]
                if "admit" in fields:
                    for route in routes:
                        proxy.admissions[ROUTES.index(route)] = float(fields["admit"]), int(fields["policy"])
                proxy.apply_table()
                if "nonce_out" in fields:
                    writer.write(f"done id=0 seq={fields['nonce_out']} ms=1\r\n".encode())
                admission = (
                    f", admits {fields['admit']} of {fields.get('routes', 'all')}"
                    if "admit" in fields
                    else ""
                )
                print(f"proxy: {dict(sorted(table.items()))}{admission}", flush=True)
        await asyncio.sleep(0.5)


async def run_collector(proxy: ToyProxy) -> None:
    """Run the proxy's calls, and report their results twice a second."""
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(*CONTROLLER)
            writer.write(b"telemetry site=east\r\n")
            while not writer.is_closing():
                proxy.run_period()
                for name, (attempts, failures) in proxy.attempt_counts.items():
                    writer.write(
                        f"upstream_stats site=east target={name} count={attempts} fail={failures} "
                        "mean=80 over=500 util=queue:0\r\n".encode()
                    )
                for route, (count, dropped) in zip(ROUTES, proxy.call_counts, strict=True):
                    report = f"client_stats id=0 lane={route} count={count} fail={dropped} over=500\r\n"
                    writer.write(report.encode())
                proxy.attempt_counts.clear()
                proxy.call_counts = [[0, 0] for _ in ROUTES]
                await writer.drain()
                await asyncio.sleep(0.5)
        await asyncio.sleep(0.5)


async def main() -> None:
    discovery = ToyDiscovery()
    proxy = ToyProxy(discovery)
    for name in ("s-1", "s-2", "s-3", "s-4"):
        discovery.put(name)
    await asyncio.get_running_loop().create_server(web.Server(discovery.answer), *DISCOVERY)
    peers = [asyncio.create_task(run_proxy(proxy)), asyncio.create_task(run_collector(proxy))]
    while not proxy.table:
        await asyncio.sleep(0.1)
    await asyncio.sleep(8)
    discovery.put("s-1", "terminating")
    await asyncio.sleep(4)
    discovery.put("s-1", "terminated")
    discovery.put("s-5", since_ms=time.time_ns() // 1_000_000)
    await asyncio.sleep(4)
    print("backends: s-2 drops half of its calls", flush=True)
    discovery.dropping.add("s-2")
    await asyncio.gather(*peers)


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        asyncio.run(main())
