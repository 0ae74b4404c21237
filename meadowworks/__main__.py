"""The command `meadowworks`: runs the fleet controller without arguments, else the command line."""

from __future__ import annotations

import asyncio
import os
import sys

from loguru import logger

from meadowworks.fleet.config import load_config
from meadowworks.fleet.server import serve
from meadowworks.fleet.settings import FleetSettingsError


def main() -> int:
    """Run the program.

    :returns: the exit status: 0 after a signal, 1 after a fault, 2 for an invalid configuration.
    """
    if len(sys.argv) > 1:
        from meadowworks.cli import main as commands  # its dependencies are not needed by the controller

        return commands.main()
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        config = load_config(os.environ)
    except FleetSettingsError as error:
        print(f"meadowworks: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except Exception:
        logger.exception("an actor failed: the program ends")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
