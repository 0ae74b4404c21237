"""Tests of `runtime.lazy_imports`: the programs start and work without the skipped modules."""

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
    if scope["path"] == "/complete":
        return await send_response(send, 200, b"body")
    await asyncio.get_running_loop().create_future()

async def main():
    server = HttpServer(app)
    port = await server.listen("127.0.0.1", 0)
    for _ in range(2):
        connection = await connect("127.0.0.1", port, 5.0)
        for _ in range(2):
            response = await connection.request(b"GET", b"/complete", [(b"host", b"h")], b"", 99)
            assert response.body == b"body"
        assert connection.is_usable()
        call = asyncio.ensure_future(connection.request(b"GET", b"/silent", [(b"host", b"h")], b"", 99))
        await asyncio.sleep(0)
        call.cancel()  # must close the connection
        await asyncio.wait([call])
        assert call.cancelled() and not connection.is_usable()

asyncio.run(main())
for name, valid in (("a@b.example", True), ("a b", False)):
    assert ("x" in Schema.from_dict({"x": fields.Email()})().validate({"x": name})) != valid
print(*sorted(sys.modules))
"""


def test_a_program_without_the_skipped_modules_serves_and_calls() -> None:
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60, check=False
    )
    assert result.returncode == 0, result.stderr
    loaded = set(result.stdout.split())
    assert not loaded & {"click", "anyio._core", "anyio._backends._asyncio", "importlib.metadata"}
    assert {"uvicorn", "httpcore", "marshmallow"} <= loaded


def test_using_a_skipped_module_raises_an_invariant_error() -> None:
    with pytest.raises(InvariantError):
        _ = lazy_imports.StubModule("certifi").where


def test_a_lazy_pattern_matches_like_a_compiled_one() -> None:
    pattern = lazy_imports.LazyPattern(r"a+", re.IGNORECASE)
    assert pattern.match("AAA")
    assert not pattern.match("b")


def test_re_compile_is_restored_after_marshmallow_is_imported() -> None:
    original_compile = re.compile
    lazy_imports.import_marshmallow_validators()
    assert re.compile is original_compile
    assert lazy_imports.LAZY_PATTERN_MODULE in sys.modules
