"""The toy fleet and a controller beside it, until Ctrl-C or for the seconds that are named."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).parent


def taken(addresses: list[str]) -> str | None:
    """The first address that cannot be listened at, with the reason."""
    for address in addresses:
        host, _, port = address.rpartition(":")
        try:
            socket.create_server((host, int(port))).close()
        except OSError as trouble:
            return f"{address}: {trouble.strerror}"
    return None


def main() -> int:
    import json

    config = os.environ.setdefault("NODE_CONFIG", str(HERE / "config.json"))
    given = json.loads(Path(config).read_text())
    if why := taken([given["listen"], given["discovery"]]):
        print(f"example: {why}; end what listens there, or name other addresses in {config}", file=sys.stderr)
        return 2
    end = time.monotonic() + float(sys.argv[1]) if len(sys.argv) > 1 else float("inf")
    env = {**os.environ, "PYTHONPATH": str(HERE.parent)}
    parts = [
        subprocess.Popen([sys.executable, *words], env=env, cwd=HERE.parent)
        for words in ((str(HERE / "toy.py"),), ("-m", "meadowworks"))
    ]
    try:
        while all(part.poll() is None for part in parts) and time.monotonic() < end:
            time.sleep(0.1)
        return max(part.returncode or 0 for part in parts)
    except KeyboardInterrupt:
        return 0
    finally:
        for part in parts:
            part.terminate()
        for part in parts:
            part.wait()


if __name__ == "__main__":
    sys.exit(main())
