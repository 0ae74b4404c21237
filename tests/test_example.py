"""The example in `example/` starts, and says in a line why it can't."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path


def example(folder: Path, listen: int, discovery: int) -> dict[str, str]:
    config = json.loads((Path(__file__).parent.parent / "example" / "config.json").read_text())
    config.update(listen=f"127.0.0.1:{listen}", discovery=f"127.0.0.1:{discovery}")
    (folder / "config.json").write_text(json.dumps(config))
    return {**os.environ, "NODE_CONFIG": str(folder / "config.json")}


BOTH = [sys.executable, str(Path(__file__).parent.parent / "example" / "both.py")]


def test_the_example_starts_and_a_taken_port_is_one_plain_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as other:
        ports = one.getsockname()[1], other.getsockname()[1]
        env = example(tmp_path, *ports)
        ended = subprocess.run(BOTH, env=env, capture_output=True, text=True)
        assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and str(ports[0]) in ended.stderr
    with subprocess.Popen(
        [*BOTH, "60"], env=env, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    ) as both:
        assert both.stdout is not None
        said = ""
        while "proxy: {" not in said:  # its table has come
            line = both.stdout.readline()
            assert line, said
            said += line
        both.send_signal(signal.SIGINT)
