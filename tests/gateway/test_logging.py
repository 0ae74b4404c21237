"""`runtime.logging`: a flood from one place in the code neither hides nor delays other lines."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
from meadowworks.runtime import logging
logging.configure()
log = logging.get_logger("part")
for number in range(100):
    log.info("flood {}", number)
log.warning("another line")
log.debug("not shown")
"""


def test_lines_of_one_call_site_are_limited_and_name_their_component() -> None:
    found = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60, check=True
    )
    lines = found.stderr.splitlines()
    assert sum("INFO part: flood" in line for line in lines) == 20
    assert lines[-1].endswith("WARNING part: another line")
    assert len(lines) == 21
