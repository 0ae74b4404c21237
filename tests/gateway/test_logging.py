"""Tests of `runtime.logging`: the text and JSON formats, and the rate limit of each call site."""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.consensus.effects import Committed
from meadowworks.controlplane import config_resource
from meadowworks.controlplane.api import ApiRequest
from meadowworks.local.system import build_configuration
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.logging import LogFormat, _RateLimit, render_value
from meadowworks.runtime.node_settings import parse_settings
from meadowworks.runtime.process import resolve_log_format
from tests.gateway.test_node_settings import SETTINGS

PROGRAM = """
from meadowworks.runtime import logging
logging.configure(logging.LogFormat({!r}), "edge-1")
log = logging.get_logger("part")
for number in range(100):
    log.info("flood", number=number)
log.warning("another", reason="no \\"luck\\" {{}}", counts={{"own 503": 2}}, wait_s=0.5, empty="")
log.debug("not_shown")
try:
    1 / 0
except ZeroDivisionError:
    log.exception("failed")
"""
LINE = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z \+\d+\.\d{3} "
    r"(INFO|WARNING|ERROR) node=edge-1 component=part event="
)
ON_CALL_PAGE = Path(__file__).parents[2] / "docs" / "on-call.md"
PACKAGE = Path(__file__).parents[2] / "meadowworks"
EVENT_CALL = re.compile(
    r"log\.(?:info|warning|error|exception|debug|opt\(exception=error\)\.error)\(\s*\"(\w+)\""
)
REPLICA_EVENT_CALL = re.compile(r"self\.log\(\"(\w+)\"")


def run(log_format: str) -> list[str]:
    program = PROGRAM.format(log_format)
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=True
    )
    return result.stderr.splitlines()


def test_text_has_one_line_per_event_with_its_fields() -> None:
    lines = run("text")
    assert all(LINE.match(line) for line in lines[:22])
    monotonic_times = [float(line.split()[1]) for line in lines[:22]]
    assert monotonic_times == sorted(monotonic_times)
    assert monotonic_times[-1] <= time.monotonic()
    assert sum("event=flood" in line for line in lines) == 20  # the limit for one call site
    assert lines[20].split("event=")[1] == (
        'another reason="no \\"luck\\" {}" counts={"own 503":2} wait_s=0.5 empty=""'
    )
    assert not any("not_shown" in line for line in lines)
    assert lines[21].endswith("event=failed")
    assert lines[22].startswith("Traceback")
    assert lines[-1] == "ZeroDivisionError: division by zero"


def test_json_has_one_object_per_line() -> None:
    objects = [json.loads(line) for line in run("json")]
    assert len(objects) == 22
    record = objects[20]["record"]
    assert record["message"] == "another"
    assert record["level"]["name"] == "WARNING"
    assert record["extra"]["node"] == "edge-1"
    assert record["extra"]["component"] == "part"
    assert record["extra"]["counts"] == {"own 503": 2}
    assert record["extra"]["steady_s"] > 0


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("0000000c", "0000000c"),
        ("a b", '"a b"'),
        ("", '""'),
        ("a=b", '"a=b"'),
        ("a\nb", '"a\\nb"'),
        (0.25, "0.25"),
        (True, "True"),
        ([1, "x"], '[1,"x"]'),
    ],
)
def test_a_value_is_quoted_where_it_would_be_ambiguous(value: Any, text: str) -> None:
    assert render_value(value) == text


def test_the_format_comes_from_the_environment_or_the_settings() -> None:
    document = json.loads(json.dumps(SETTINGS))
    assert resolve_log_format(parse_settings(json.dumps(document)), {}) is LogFormat.TEXT
    document["log"] = {"format": "json"}
    settings = parse_settings(json.dumps(document))
    assert resolve_log_format(settings, {}) is LogFormat.JSON
    assert resolve_log_format(settings, {"MEADOWWORKS_LOG_FORMAT": "text"}) is LogFormat.TEXT
    with pytest.raises(SettingsError, match="neither text nor json"):
        resolve_log_format(settings, {"MEADOWWORKS_LOG_FORMAT": "xml"})
    document["log"] = {"format": "xml"}
    with pytest.raises(SettingsError, match="settings: log"):
        parse_settings(json.dumps(document))


def test_the_on_call_page_lists_each_event() -> None:
    packages = ("consensus", "controlplane", "proxy", "runtime")
    text = "".join(file.read_text("utf-8") for name in packages for file in (PACKAGE / name).glob("*.py"))
    events = {event for call in (EVENT_CALL, REPLICA_EVENT_CALL) for event in call.findall(text)}
    assert len(events) > 25
    page = ON_CALL_PAGE.read_text("utf-8")
    assert not [event for event in sorted(events) if f"`{event}`" not in page]


def test_the_rate_limit_uses_the_monotonic_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    limit, record = _RateLimit(), cast(Any, {"name": "module", "line": 7})  # without a wall clock time
    passed = []
    for now_s in (5.0, 59.0, 61.0):
        monkeypatch.setattr("time.monotonic", lambda now_s=now_s: now_s)
        passed.append(sum(limit(record) for _ in range(15)))
    assert passed == [15, 5, 15]


def test_unknown_fields_of_a_configuration_are_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[Any] = []
    monkeypatch.setattr(
        config_resource.log, "warning", lambda event, **fields: logged.append((event, fields))
    )

    async def propose(*_: Any) -> Committed:
        return Committed()

    service: Any = SimpleNamespace(replica=SimpleNamespace(holds_lease=lambda _: True), propose=propose)
    document = json.loads(build_configuration(7, {"/a/": ("safe", "s")}))
    document["vhosts"][0]["prefixes"][0]["sessions"] = "cookie"
    request = ApiRequest("", json.dumps(document).encode())
    assert asyncio.run(config_resource.ConfigResource(service).replace(request)).status == 200
    assert logged == [("config_fields_unknown", {"version": "00000007", "fields": ["sessions"]})]
