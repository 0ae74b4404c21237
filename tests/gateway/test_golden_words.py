"""What the command line prints for other programs to read, its statuses, and its lines on bad input.

`golden/words/served.json` holds what controllers at four loopback addresses tell; `said.json` what the words
print of it, with `PORT` for the port and `FILE` for a file's path; `keys.json` the names in objects whose
values differ from run to run; `bad.json` the status and the line of an input that makes no sense.
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
HOSTS = tuple(f"127.0.0.{k}" for k in (1, 2, 4))  # nobody listens at 127.0.0.3


def golden(name: str) -> dict[str, Any]:
    found: dict[str, Any] = json.loads((WORDS / f"{name}.json").read_text(encoding="utf-8"))
    return found


class Served(BaseHTTPRequestHandler):
    """A controller that tells what is kept of it."""

    told: dict[str, Any] = {}

    def do_GET(self) -> None:
        host, port = self.connection.getsockname()
        if self.path == "/status":
            text = json.dumps(self.told[host]).replace("PORT", str(port))
            return self.reply(200, text.encode())
        self.reply(200 if self.path == "/api/Config.Read" else 404, CONFIGURATION)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["content-length"]))
        whole = self.path == "/api/Config.Replace" and body == CONFIGURATION
        if whole and self.connection.getsockname()[0] == HOSTS[0]:
            return self.reply(200, b"{}")
        self.reply(409, b'{"err": "version 00000007 has another content"}')

    def reply(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        pass


def listeners() -> list[ThreadingHTTPServer]:
    """One at each host, all at one port that was free at the first."""
    for _ in range(20):
        found = [ThreadingHTTPServer((HOSTS[0], 0), Served)]
        with suppress(OSError):
            for host in HOSTS[1:]:
                found.append(ThreadingHTTPServer((host, found[0].server_address[1]), Served))
            return found
        for server in found:
            server.server_close()
    raise AssertionError("no port is free at all hosts")


@pytest.fixture(scope="module")
def port() -> Iterator[int]:
    Served.told = golden("served")
    servers = listeners()
    threads = [Thread(target=server.serve_forever, args=(0.01,), daemon=True) for server in servers]
    for thread in threads:
        thread.start()
    yield int(servers[0].server_address[1])
    for server, thread in zip(servers, threads, strict=True):
        server.shutdown()
        server.server_close()
        thread.join()


def spoken(line: str, port: int, folder: Path, capsys: pytest.CaptureFixture[str]) -> list[Any]:
    file = folder / "file.json"
    if not file.exists():
        file.write_bytes(CONFIGURATION)
    words = [word.replace("PORT", str(port)).replace("FILE", str(file)) for word in line.split()]
    status = product.run_command(words)
    return [
        status,
        *(text.replace(str(port), "PORT").replace(str(file), "FILE") for text in capsys.readouterr()),
    ]


@pytest.mark.parametrize("line", golden("said"))
def test_a_word_prints_what_it_ever_did(
    line: str, port: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert spoken(line, port, tmp_path, capsys) == golden("said")[line]


@pytest.mark.parametrize("name", golden("bad"))
def test_bad_input_ends_with_the_status_and_the_line_of_ever(
    name: str, port: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = golden("bad")[name]
    (tmp_path / "file.json").write_text(bad["file"])
    assert spoken(bad["line"], port, tmp_path, capsys) == bad["said"]


BY_NAME = ("parts_ms_s", "figures")  # tables whose keys are names of parts


def keys(value: Any) -> Any:
    """The names in an object, without its values; of a list those of its first element."""
    if isinstance(value, dict):
        return {name: "by name" if name in BY_NAME else keys(inner) for name, inner in value.items()}
    if isinstance(value, list):
        return [keys(inner) for inner in value[:1]]
    return "value"


@pytest.mark.parametrize("line", golden("keys"))
def test_an_object_has_the_names_of_ever(
    line: str, port: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with product.days_not_played():
        status, out, _ = spoken(line, port, tmp_path, capsys)
    assert status == 0 and out.count("\n") == 1
    # The order of the names too.
    assert json.dumps(keys(json.loads(out))) == json.dumps(golden("keys")[line])


def test_a_program_without_settings_ends_with_the_status_and_the_line_of_ever() -> None:
    """Its own process: nothing of it is loaded by another test."""
    unset = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)}
    started = [
        subprocess.Popen(
            [sys.executable, "-m", module],
            env=unset,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for module in product.PROGRAMS
    ]
    found = [(program.communicate(timeout=30), program.returncode) for program in started]
    where = product.SETTINGS_VARIABLE
    assert where == "MEADOWWORKS_NODE_FILE"
    missing = f"meadowworks: {where} is not set: it names the settings file\n"
    assert found[0] == (
        ("", "meadowworks: listen is missing from NODE_CONFIG, and NODE_LISTEN is not set\n"),
        2,
    )
    assert found[1:] == [(("", missing), 2)] * 2
