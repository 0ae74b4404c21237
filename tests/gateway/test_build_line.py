"""The build of `deploy/system.toml` fails with its reason where there are no libraries to be had."""

from __future__ import annotations

import os
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LINE = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["build"]


@pytest.mark.parametrize("has_libraries", [False, True])
def test_a_build_without_an_index_needs_its_libraries(has_libraries: bool, tmp_path: Path) -> None:
    shutil.copy(ROOT / "requirements-gateway.txt", tmp_path)
    (tmp_path / "meadowworks").mkdir()
    done = tmp_path / "target" / "deps" / ".done"
    if has_libraries:
        done.parent.mkdir(parents=True)
        shutil.copy(ROOT / "requirements-gateway.txt", done)
    environment = {**os.environ, "PIP_NO_INDEX": "1"}
    found = subprocess.run(
        ["sh", "-c", LINE], cwd=tmp_path, env=environment, capture_output=True, text=True, check=False
    )
    assert (found.returncode == 0) == has_libraries == done.exists()
    assert ("No matching distribution" in found.stderr) != has_libraries
