"""A control plane whose disk is unusable at the start prints one line and exits with status 2."""

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
from meadowworks.local.system import SystemLayout, free_ports
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import parse_settings
from meadowworks.storage.sqlite_store import FILE_NAME
from tests.gateway.test_fleet import NETS


def break_disk(damage: str, disk: Path) -> None:
    if damage == "a file in its place":
        disk.write_text("no folder")
        return
    disk.mkdir()
    if damage == "garbage in the database":
        (disk / FILE_NAME).write_bytes(b"this is no database, and long enough to be looked at" * 50)
    else:
        (disk / FILE_NAME).mkdir()


@pytest.mark.parametrize(
    "damage", ["a file in its place", "garbage in the database", "a folder in the database's place"]
)
def test_an_unusable_disk_is_reported_in_one_line_with_status_2(damage: str, tmp_path: Path) -> None:
    disk = tmp_path / "disk"
    break_disk(damage, disk)
    settings = tmp_path / "settings.json"
    layout = SystemLayout(next(NETS) % 250, free_ports())
    settings.write_text(json.dumps(layout.node_settings(0, disk, True)))
    result = subprocess.run(
        [sys.executable, "-m", "meadowworks.controlplane"],
        env={**os.environ, "MEADOWWORKS_NODE_FILE": str(settings)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert result.returncode == 2, result.stderr
    (line,) = result.stderr.splitlines()
    assert line.startswith(f"meadowworks: the data directory {disk} cannot be used: ")


def test_a_disk_that_rejects_the_first_write_is_reported_as_unusable(tmp_path: Path) -> None:
    async def main() -> None:
        layout = SystemLayout(next(NETS) % 250, free_ports())
        server = ControlPlaneServer(parse_settings(json.dumps(layout.node_settings(0, tmp_path, True))))

        async def start() -> None:
            raise sqlite3.OperationalError("database or disk is full")

        server.node.config_service.start = start  # type: ignore[method-assign]
        with pytest.raises(SettingsError, match="cannot be used: database or disk is full"):
            await server.serve(asyncio.get_running_loop().create_future())

    asyncio.run(main())
