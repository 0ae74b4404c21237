"""Reads batches on standard input, calls the module, writes its answers to standard output."""

from __future__ import annotations

import sys

from meadowworks.wirehost.wire import Malformed, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except Malformed as trouble:
        print(f"wirehost: {trouble}", file=sys.stderr)
        sys.exit(2)
