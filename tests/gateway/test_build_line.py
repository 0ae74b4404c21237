"""The build of `deploy/system.toml` fails with its reason where there are no libraries to be had."""

from __future__ import annotations

import os
import shutil
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def build(folder: Path) -> subprocess.CompletedProcess[str]:
    line = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["build"]
    environment = {**os.environ, "PIP_NO_INDEX": "1"}
    return subprocess.run(
        ["sh", "-c", line],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )


def test_without_an_index_the_build_fails_with_its_reason(tmp_path: Path) -> None:
    shutil.copy(ROOT / "requirements-gateway.txt", tmp_path)
    (tmp_path / "meadowworks").mkdir()
    found = build(tmp_path)
    assert found.returncode != 0
    assert "No matching distribution" in found.stderr
    assert not (tmp_path / "target" / "deps" / ".done").exists()


def test_libraries_that_are_there_need_no_index(tmp_path: Path) -> None:
    shutil.copy(ROOT / "requirements-gateway.txt", tmp_path)
    (tmp_path / "meadowworks").mkdir()
    (tmp_path / "target" / "deps").mkdir(parents=True)
    shutil.copy(ROOT / "requirements-gateway.txt", tmp_path / "target" / "deps" / ".done")
    assert build(tmp_path).returncode == 0
