"""Stand-ins for the cases: starts the programs of the deploy file on loopback, plays platform, operator, backends and clients.

Standard library only. Every process that is started is kept by its id and ended by it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"north": "loop", "south": "loop"}
HOST = "local.example"


class Record:
    """`record.txt`: what was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self.file, self.start = path.open("w"), time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_ports(count: int) -> list[int]:
    held = [socket.socket() for _ in range(count)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    numbers = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return numbers


class Node:
    """One process of the deploy file on an address of its own; the platform starts it again if it ends."""

    def __init__(self, lab: Lab, index: int, kind: str) -> None:
        self.lab, self.index, self.kind = lab, index, kind
        self.ip = f"127.{lab.net}.{lab.subnet}.{index + 1}"
        self.name = f"{kind}-{index}"
        self.zone = list(ZONES)[index % len(ZONES)]
        self.data = lab.folder / self.name if kind == "core" else None
        if self.data:
            self.data.mkdir()
        self.bootstrap = True
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False
        self.starts = 0
        self.ends: list[str] = []

    def write_settings(self) -> Path:
        lab, core = self.lab, self.kind == "core"
        http, readyz, ctl, peer = lab.ports
        document = {
            "self": {
                "node": self.name, "role": self.kind, "machine": self.kind, "serves": ["ctl" if core else "edge"],
                "ip": self.ip, "zone": self.zone, "region": "loop", "voting": core, "bootstrap": self.bootstrap,
                "datadir": str(self.data) if core else None,
                "limits": {"cpu": 0.86, "cores": 1, "memMb": lab.core_mb if core else lab.edge_mb, "maxFds": 4100,
                           "netMbps": 1000.0, "diskMb": 256 if core else 0},
            },
            "network": {
                "bind": {"ctl": f"{self.ip}:{ctl}"} if core else {"http": f"{self.ip}:{http}", "readyz": f"{self.ip}:{readyz}"},
                "portRange": [peer, peer], "zones": ZONES,
                "seeds": [f"{node.ip}:{ctl}" for node in lab.cores[:3]],
            },
            "infra": {"discovery": "self_reg", "ingress": "vip", "heartbeatMs": lab.heartbeat_ms, "confMode": "highest"},
            "terms": {"contracts": ["base", "drain", "config", "cost", "retry", "recover", "coord"],
                      "tolerate": {"nodes": (len(lab.cores) - 1) // 2, "zones": 0, "regions": 0}, "bounds": lab.bounds},
        }
        path = lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(document))
        return path

    def start(self) -> None:
        if self.lab.closed:
            return
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ |= {"MEADOWWORKS_NODE_FILE": str(self.write_settings()), "PYTHONPATH": str(ROOT / "target/deps")}
        log = (self.lab.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(self.lab.command[self.kind], cwd=ROOT, env=environ, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.bootstrap = False

    def send(self, number: int) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def rss_mb(self) -> float:
        """Resident memory of the process now."""
        with contextlib.suppress(OSError, AttributeError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def log_text(self) -> str:
        return (self.lab.folder / f"{self.name}.log").read_text(errors="replace")


class Lab:
    """A small deployment on loopback addresses."""

    def __init__(self, record: Record, cores: int = 3, edges: int = 2, edge_mb: float = 300, core_mb: float = 296) -> None:
        self.record, self.edge_mb, self.core_mb, self.heartbeat_ms = record, edge_mb, core_mb, 1500
        self.net, self.subnet = random.randint(10, 250), random.randint(1, 250)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = free_ports(4)
        self.bounds = {"seedLagS": 3, "reuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 6,
                       "lossSlackMs": 200, "applyMs": 2000, "revertSlackMs": 250, "stretchMs": 5000, "retryRatio": 0.2,
                       "retryWindowS": 10, "retrySlack": 60, "recoveryS": 15, "historyS": 20, "releaseMs": 1500}
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.command = {role["on"]: role["run"].split() for role in roles.values()}
        self.cores: list[Node] = []
        self.cores = [Node(self, i, "core") for i in range(cores)]
        self.edges = [Node(self, cores + i, "edge") for i in range(edges)]
        self.backends: list[Backend] = []
        self.platform: asyncio.Task[None] | None = None
        self.closed = False

    @property
    def http_port(self) -> int:
        return self.ports[0]

    @property
    def ctl_port(self) -> int:
        return self.ports[2]

    def ip_of_backend(self, number: int) -> str:
        return f"127.{self.net}.{self.subnet}.{100 + number}"

    async def start(self) -> None:
        for node in (*self.cores, *self.edges):
            node.start()
        self.platform = asyncio.create_task(self.run_platform())

    async def run_platform(self) -> None:
        """Start processes again that ended; end a process over its memory, as the DEPLOY page says."""
        while True:
            for node in (*self.cores, *self.edges):
                if node.process is None or node.paused:
                    continue
                limit = self.core_mb if node.kind == "core" else self.edge_mb
                if node.process.poll() is not None:
                    node.ends.append(f"status {node.process.returncode}")
                    self.record(f"platform: {node.name} ended with status {node.process.returncode}; it is started again")
                    node.process = None
                    asyncio.get_running_loop().call_later(0.5, node.start)
                elif (rss := node.rss_mb()) > limit:
                    node.ends.append(f"memory {rss:.0f} MB")
                    self.record(f"platform: {node.name} holds {rss:.0f} MB, over memMb {limit:.0f}: it is killed and started again")
                    node.process.kill()
                    node.process.wait()
                    node.process = None
                    asyncio.get_running_loop().call_later(0.5, node.start)
            await asyncio.sleep(0.005)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until each proxy says that it is ready, asked as the platform does."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            answers = [await call(n.ip, self.ports[1], "GET", "/api/readyz", timeout_s=1.0) for n in self.edges]
            if all(a.status == 200 for a in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def configure(self, document: dict, timeout_s: float = 20.0) -> bool:
        """Send a configuration as the operator does: to any controller, until it is acknowledged."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for node in random.sample(self.cores, len(self.cores)):
                answer = await call(node.ip, self.ctl_port, "POST", "/api/Config.Replace", json.dumps(document).encode(), timeout_s=2.0)
                if answer.status == 200:
                    self.record(f"operator: version {document['ver']} acknowledged by {node.name}")
                    return True
                if answer.status in (400, 409, 412, 413, 422):
                    self.record(f"operator: version {document['ver']} refused with {answer.status}")
                    return False
            await asyncio.sleep(0.2)
        return False

    def close(self) -> None:
        self.closed = True  # a process that was to be started again stays down
        if self.platform:
            self.platform.cancel()
        for node in (*self.cores, *self.edges):
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """An answer of the system; status 0 if there was none that is complete."""

    def __init__(self, status: int = 0, headers: dict[str, str] | None = None, body: bytes = b"", note: str = "") -> None:
        self.status, self.headers, self.body, self.note = status, headers or {}, body, note


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return head[0], {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(ip: str, port: int, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None,
               timeout_s: float = 1.0, host: str = "ctl") -> Answer:
    """One call on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            status, answer_headers = await read_head(reader)
            return Answer(int(status.split()[1]), answer_headers, await read_body(reader, answer_headers))
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(note=type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()


class Backend:
    """One life of a backend by the PROTOCOL page: heartbeats, 421, slots, seal."""

    def __init__(self, lab: Lab, number: int, service: str, slots: int = 2, work_s: float = 0.05) -> None:
        self.lab, self.service, self.slots, self.work_s = lab, service, slots, work_s
        self.id, self.ip, self.port = f"i-{service}{number:02d}{random.randrange(16**6):06x}", lab.ip_of_backend(number), 0
        self.zone = list(ZONES)[number % len(ZONES)]
        self.state, self.calls, self.running = "up", 0, asyncio.Semaphore(slots)
        self.ran: list[str] = []
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        lab.backends.append(self)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat_forever(self) -> None:
        index = random.randrange(3)
        while True:
            if await self.beat(self.lab.cores[index % len(self.lab.cores)]) // 100 != 2:
                index += 1
                await asyncio.sleep(0.2)
            else:
                await asyncio.sleep(self.lab.heartbeat_ms / 1000)

    async def beat(self, node: Node, state: str = "") -> int:
        self.calls += 1
        document = {"addr": f"{self.ip}:{self.port}",
                    "details": {"svc": self.service, "ver": "v1", "zone": self.zone, "capacity": self.slots},
                    "status": {"state": state or self.state, "calls": self.calls, "warmupMs": 0}}
        answer = await call(node.ip, self.lab.ctl_port, "POST", f"/api/Backends.Heartbeat/{self.id}", json.dumps(document).encode())
        return answer.status

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                await self.answer(line, headers, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the last one when the case ends
            pass
        finally:
            writer.transport.abort()

    async def answer(self, line: str, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = headers.get("x-request-id", "")
        if headers.get("x-want-backend", self.id) != self.id:
            await read_body(reader, headers)
            return self.reply(writer, 421, number, {"X-Backend-Id": self.id})
        async with self.running:
            body = await read_body(reader, headers)
            self.ran.append(number)
            self.lab.record(f"backend {self.id}: runs {number} ({len(body)} bytes)")
            await asyncio.sleep(self.work_s)
        self.reply(writer, 200, number, {"X-Backend-Seal": f"{self.id}.{number}.{len(body)}"}, b"done\n")
        return None

    def reply(self, writer: asyncio.StreamWriter, status: int, number: str, headers: dict[str, str], body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {number}", f"Content-Length: {len(body)}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def stop(self) -> None:
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()


def configuration(version: int, routes: list[dict], services: list[str], max_body: int = 67108864) -> dict:
    return {"ver": f"{version:08x}",
            "svcs": [{"name": s, "healthPath": "/healthz", "maxConns": 100, "proto": "h1", "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "vhosts": [{"host": HOST, "prefixes": routes}]}


def route(name: str, prefix: str, kind: str, service: str, deadline_ms: int = 5000, target_ms: int = 1000, tries: int = 2) -> dict:
    return {"name": name, "prefix": prefix, "type": kind, "deadlineMs": deadline_ms, "targetMs": target_ms, "prio": 1,
            "svc": service, "tries": tries}


def main(case, folder: Path) -> None:
    """Run a case: `case(record, trouble)` returns 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as error:
        record(f"the case could not run: {error!r}")
        status = 2
    record(f"exit {status}")
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)
