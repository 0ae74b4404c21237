"""Runs the toy fleet together with a controller, until Ctrl-C or for the given number of seconds."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

EXAMPLE_DIR = Path(__file__).parent


def find_unavailable_address(addresses: list[str]) -> str | None:
    """Return the first address that cannot be listened on, with the reason; None if there is none."""
    for address in addresses:
        host, _, port = address.rpartition(":")
        try:
            socket.create_server((host, int(port))).close()
        except OSError as error:
            return f"{address}: {error.strerror}"
    return None


def main() -> int:
    import json

    config = os.environ.setdefault("NODE_CONFIG", str(EXAMPLE_DIR / "config.json"))
    settings = json.loads(Path(config).read_text())
    if reason := find_unavailable_address([settings["listen"], settings["discovery"]]):
        print(
            f"example: {reason}; end the process that listens there, or set other addresses in {config}",
            file=sys.stderr,
        )
        return 2
    end = time.monotonic() + float(sys.argv[1]) if len(sys.argv) > 1 else float("inf")
    env = {**os.environ, "PYTHONPATH": str(EXAMPLE_DIR.parent)}
    processes = [
        subprocess.Popen([sys.executable, *arguments], env=env, cwd=EXAMPLE_DIR.parent)
        for arguments in ((str(EXAMPLE_DIR / "toy.py"),), ("-m", "meadowworks"))
    ]
    try:
        while all(process.poll() is None for process in processes) and time.monotonic() < end:
            time.sleep(0.1)
        return max(process.returncode or 0 for process in processes)
    except KeyboardInterrupt:
        return 0
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


if __name__ == "__main__":
    sys.exit(main())
