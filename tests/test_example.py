"""Tests that the example in `example/` starts, and reports in one line why it cannot."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path


def example_environment(folder: Path, listen: int, discovery: int) -> dict[str, str]:
    config = json.loads((Path(__file__).parent.parent / "example" / "config.json").read_text())
    config.update(listen=f"127.0.0.1:{listen}", discovery=f"127.0.0.1:{discovery}")
    (folder / "config.json").write_text(json.dumps(config))
    return {**os.environ, "NODE_CONFIG": str(folder / "config.json")}


BOTH = [sys.executable, str(Path(__file__).parent.parent / "example" / "both.py")]


def test_example_starts_and_reports_used_port_in_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as first, socket.create_server(("127.0.0.1", 0)) as second:
        ports = first.getsockname()[1], second.getsockname()[1]
        env = example_environment(tmp_path, *ports)
        ended = subprocess.run(BOTH, env=env, capture_output=True, text=True)
        assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and str(ports[0]) in ended.stderr
    with subprocess.Popen(
        [*BOTH, "60"], env=env, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    ) as both:
        assert both.stdout is not None
        output = ""
        while "proxy: {" not in output:  # the proxy has received its table
            line = both.stdout.readline()
            assert line, output
            output += line
        both.send_signal(signal.SIGINT)
