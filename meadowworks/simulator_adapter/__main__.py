"""Reads batches on standard input, calls the module, writes its answers to standard output."""

from __future__ import annotations

import sys

from meadowworks.simulator_adapter.wire import WireError, serve

if __name__ == "__main__":
    try:
        with open(sys.stdin.fileno(), encoding="utf-8", errors="replace", closefd=False) as source:
            serve(source, sys.stdout)
    except WireError as trouble:
        print(f"wirehost: {trouble}", file=sys.stderr)
        sys.exit(2)
