"""Test of the modules that the fleet controller imports at startup."""

from __future__ import annotations

import subprocess
import sys

TOOLS = ("cappa", "hypothesis", "numpy", "rich", "scipy", "type_lens", "xxhash")


def test_the_controller_imports_no_modules_that_only_commands_need() -> None:
    code = "import sys, meadowworks.__main__; print(*sorted(sys.modules))"
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    imported_modules = set(out.split())
    assert not imported_modules & set(TOOLS) and {"aiohttp", "loguru"} <= imported_modules
    imported_packages = {name.split(".")[1] for name in imported_modules if name.startswith("meadowworks.")}
    assert imported_packages == {"__main__", "fleet", "policy", "runtime"}
    runtime_modules = {name for name in imported_modules if name.startswith("meadowworks.runtime.")}
    assert runtime_modules == {"meadowworks.runtime.connection_limit"}
