"""The output, exit codes and error lines of the command line, which other programs parse.

`golden/words/served.json` has the statuses that nodes at loopback addresses report; `said.json` the output of
the commands, with `PORT` for the port and `FILE` for a file's path; `keys.json` the keys of JSON objects
whose values vary between runs; `bad.json` the exit code and the error line of invalid input.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import pytest

from tests.gateway import golden_product as product

ROOT = Path(__file__).parents[2]
GOLDEN = Path(__file__).parent / "golden"
WORDS = GOLDEN / "words"
CONFIGURATION = (GOLDEN / "configuration.json").read_bytes()
HOSTS = tuple(f"127.0.0.{k}" for k in (1, 2, 4))  # no server listens at 127.0.0.3


def golden(name: str) -> dict[str, Any]:
    data: dict[str, Any] = json.loads((WORDS / f"{name}.json").read_text(encoding="utf-8"))
    return data


class GoldenNode(BaseHTTPRequestHandler):
    """A node that reports its status from the golden data."""

    statuses: dict[str, Any] = {}

    def do_GET(self) -> None:
        host, port = self.connection.getsockname()
        if self.path == "/status":
            text = json.dumps(self.statuses[host]).replace("PORT", str(port))
            return self.reply(200, text.encode())
        self.reply(200 if self.path == "/api/Config.Read" else 404, CONFIGURATION)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["content-length"]))
        is_golden_config = self.path == "/api/Config.Replace" and body == CONFIGURATION
        if is_golden_config and self.connection.getsockname()[0] == HOSTS[0]:
            return self.reply(200, b"{}")
        self.reply(409, b'{"err": "version 00000007 has another content"}')

    def reply(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        pass


def start_servers() -> list[ThreadingHTTPServer]:
    """Start a server at each host, all on the same free port."""
    for _ in range(20):
        servers = [ThreadingHTTPServer((HOSTS[0], 0), GoldenNode)]
        with suppress(OSError):
            for host in HOSTS[1:]:
                servers.append(ThreadingHTTPServer((host, servers[0].server_address[1]), GoldenNode))
            return servers
        for server in servers:
            server.server_close()
    raise AssertionError("no port is free on all hosts")


@pytest.fixture(scope="module")
def port() -> Iterator[int]:
    GoldenNode.statuses = golden("served")
    servers = start_servers()
    threads = [Thread(target=server.serve_forever, args=(0.01,), daemon=True) for server in servers]
    for thread in threads:
        thread.start()
    yield int(servers[0].server_address[1])
    for server, thread in zip(servers, threads, strict=True):
        server.shutdown()
        server.server_close()
        thread.join()


def run_command(line: str, port: int, folder: Path, capsys: pytest.CaptureFixture[str]) -> list[Any]:
    file = folder / "file.json"
    if not file.exists():
        file.write_bytes(CONFIGURATION)
    arguments = [argument.replace("PORT", str(port)).replace("FILE", str(file)) for argument in line.split()]
    status = product.main(arguments)
    return [
        status,
        *(text.replace(str(port), "PORT").replace(str(file), "FILE") for text in capsys.readouterr()),
    ]


@pytest.mark.parametrize("line", golden("said"))
def test_command_output_is_unchanged(
    line: str, port: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command(line, port, tmp_path, capsys) == golden("said")[line]


@pytest.mark.parametrize("name", golden("bad"))
def test_errors_for_invalid_input_are_unchanged(
    name: str, port: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = golden("bad")[name]
    (tmp_path / "file.json").write_text(bad["file"])
    assert run_command(bad["line"], port, tmp_path, capsys) == bad["said"]


KEYED_BY_NAME = ("parts_ms_s", "figures")  # objects whose keys vary, since they are names


def keys(value: Any) -> Any:
    """Return the keys of an object without its values; for a list, the keys of its first element."""
    if isinstance(value, dict):
        return {name: "by name" if name in KEYED_BY_NAME else keys(inner) for name, inner in value.items()}
    if isinstance(value, list):
        return [keys(inner) for inner in value[:1]]
    return "value"


@pytest.mark.parametrize("line", golden("keys"))
def test_json_output_keys_are_unchanged(
    line: str, port: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with product.skip_simulation_runs():
        status, out, _ = run_command(line, port, tmp_path, capsys)
    assert status == 0 and out.count("\n") == 1
    # Serialized, to compare the order of the keys too.
    assert json.dumps(keys(json.loads(out))) == json.dumps(golden("keys")[line])


def test_errors_of_programs_without_settings_are_unchanged() -> None:
    """Runs in separate processes, without the modules that other tests have imported."""
    environment = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)}
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", module],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for module in product.PROGRAMS
    ]
    results = [(process.communicate(timeout=30), process.returncode) for process in processes]
    variable = product.SETTINGS_VARIABLE
    assert variable == "MEADOWWORKS_NODE_FILE"
    error = f"meadowworks: {variable} is not set: it names the settings file\n"
    assert results[0] == (
        ("", "meadowworks: listen is missing from NODE_CONFIG, and NODE_LISTEN is not set\n"),
        2,
    )
    assert results[1:] == [(("", error), 2)] * 2
