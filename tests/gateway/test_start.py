"""A start: what is left out of it, and that nothing of it is missed."""

from __future__ import annotations

import re
import subprocess
import sys

import pytest

from meadowworks.runtime import lazy_imports
from meadowworks.runtime.errors import InvariantError

PROGRAM = """
import sys
from meadowworks.runtime import lazy_imports
lazy_imports.install()
import asyncio
import meadowworks.proxy.server, meadowworks.controlplane.server
from marshmallow import Schema, ValidationError, fields
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.http_connection import connect

async def app(scope, receive, send):
    if scope["path"] == "/rest":
        return await send_response(send, 200, b"whole")
    await asyncio.get_running_loop().create_future()

async def whole():
    server = HttpServer(app)
    port = await server.listen("127.0.0.1", 0)
    for _ in range(2):
        connection = await connect("127.0.0.1", port, 5.0)
        for _ in range(2):
            assert (await connection.request(b"GET", b"/rest", [(b"host", b"h")], b"", 99)).body == b"whole"
        assert connection.usable()
        asked = asyncio.ensure_future(connection.request(b"GET", b"/silent", [(b"host", b"h")], b"", 99))
        await asyncio.sleep(0)
        asked.cancel()  # given up while it waits: the line ends
        await asyncio.wait([asked])
        assert asked.cancelled() and not connection.usable()

asyncio.run(whole())
for name, fine in (("a@b.example", True), ("a b", False)):
    assert ("x" in Schema.from_dict({"x": fields.Email()})().validate({"x": name})) != fine
print(*sorted(sys.modules))
"""


def test_a_program_without_what_is_left_out_calls_and_gives_up() -> None:
    found = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60, check=False
    )
    assert found.returncode == 0, found.stderr
    loaded = set(found.stdout.split())
    assert not loaded & {"click", "anyio._core", "anyio._backends._asyncio", "importlib.metadata"}
    assert {"uvicorn", "httpcore", "marshmallow"} <= loaded


def test_whoever_uses_what_is_left_out_is_told() -> None:
    with pytest.raises(InvariantError):
        _ = lazy_imports.StubModule("certifi").where
    later = lazy_imports.LazyPattern(r"a+", re.IGNORECASE)
    assert later.match("AAA") and not later.match("b")
    compiled = re.compile
    lazy_imports.import_marshmallow_validators()
    assert re.compile is compiled and lazy_imports.LAZY_PATTERN_MODULE in sys.modules
