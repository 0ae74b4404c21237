"""A control plane that starts on a disk that it cannot use ends with one line and status 2."""

from __future__ import annotations

import asyncio
import json
import os
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from meadowworks.controlplane.server import ControlPlaneServer
from meadowworks.local.system import SystemLayout, find_free_ports
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import parse_settings
from meadowworks.storage.sqlite_store import FILE_NAME
from tests.gateway.test_fleet import NETS


def break_disk(how: str, disk: Path) -> None:
    if how == "a file in its place":
        disk.write_text("no folder")
        return
    disk.mkdir()
    if how == "garbage in the database":
        (disk / FILE_NAME).write_bytes(b"this is no database, and long enough to be looked at" * 50)
    else:
        (disk / FILE_NAME).mkdir()


@pytest.mark.parametrize(
    "how", ["a file in its place", "garbage in the database", "a folder in the database's place"]
)
def test_an_unusable_disk_is_one_line_and_status_2(how: str, tmp_path: Path) -> None:
    disk = tmp_path / "disk"
    break_disk(how, disk)
    settings = tmp_path / "settings.json"
    layout = SystemLayout(next(NETS) % 250, find_free_ports())
    settings.write_text(json.dumps(layout.node_settings(0, disk, True)))
    found = subprocess.run(
        [sys.executable, "-m", "meadowworks.controlplane"],
        env={**os.environ, "MEADOWWORKS_NODE_FILE": str(settings)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert found.returncode == 2, found.stderr
    (line,) = found.stderr.splitlines()
    assert line.startswith(f"meadowworks: the data directory {disk} cannot be used: ")


def test_a_disk_that_refuses_the_first_write_is_told_alike(tmp_path: Path) -> None:
    async def main() -> None:
        layout = SystemLayout(next(NETS) % 250, find_free_ports())
        server = ControlPlaneServer(parse_settings(json.dumps(layout.node_settings(0, tmp_path, True))))

        async def start() -> None:
            raise sqlite3.OperationalError("database or disk is full")

        server.node.config_service.start = start  # type: ignore[method-assign]
        with pytest.raises(SettingsError, match="cannot be used: database or disk is full"):
            await server.serve(asyncio.get_running_loop().create_future())

    asyncio.run(main())
