"""What a start of the fleet controller imports."""

from __future__ import annotations

import subprocess
import sys

TOOLS = ("cappa", "hypothesis", "numpy", "rich", "scipy", "type_lens", "xxhash")


def test_a_controllers_start_imports_nothing_that_only_the_words_need() -> None:
    code = "import sys, meadowworks.__main__; print(*sorted(sys.modules))"
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    names = set(out.split())
    assert not names & set(TOOLS) and {"aiohttp", "loguru"} <= names
    own = {name.split(".")[1] for name in names if name.startswith("meadowworks.")}
    assert own == {"__main__", "fleet", "policy", "runtime"}
    shared = {name for name in names if name.startswith("meadowworks.runtime.")}
    assert shared == {"meadowworks.runtime.connection_limit"}
