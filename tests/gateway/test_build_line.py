"""Tests of the build command in `deploy/system.toml`: without available libraries it fails with a reason."""

from __future__ import annotations

import os
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
BUILD_COMMAND = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["build"]


@pytest.mark.parametrize("has_libraries", [False, True])
def test_a_build_without_a_package_index_requires_installed_libraries(
    has_libraries: bool, tmp_path: Path
) -> None:
    shutil.copy(ROOT / "requirements-gateway.txt", tmp_path)
    (tmp_path / "meadowworks").mkdir()
    done_marker = tmp_path / "target" / "deps" / ".done"
    if has_libraries:
        done_marker.parent.mkdir(parents=True)
        shutil.copy(ROOT / "requirements-gateway.txt", done_marker)
    environment = {**os.environ, "PIP_NO_INDEX": "1"}
    result = subprocess.run(
        ["sh", "-c", BUILD_COMMAND],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (result.returncode == 0) == has_libraries == done_marker.exists()
    assert ("No matching distribution" in result.stderr) != has_libraries
