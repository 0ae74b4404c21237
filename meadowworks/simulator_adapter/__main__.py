"""Reads batches from standard input, calls the policy and writes its orders to standard output."""

from __future__ import annotations

import sys

from meadowworks.simulator_adapter.wire import WireError, serve


def main() -> int:
    """Run the adapter.

    :returns: the exit status; 2 for invalid input.
    """
    try:
        with open(sys.stdin.fileno(), encoding="utf-8", errors="replace", closefd=False) as source:
            serve(source, sys.stdout)
    except WireError as error:
        print(f"meadowworks.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
