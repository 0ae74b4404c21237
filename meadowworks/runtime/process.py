"""How both programs start, run until they are asked to end, and exit."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import NodeSettings, load_settings

EXIT_OK, EXIT_FAILURE, EXIT_BAD_SETTINGS = 0, 1, 2
Serve = Callable[[NodeSettings, asyncio.Future[None]], Coroutine[Any, Any, None]]
log = logs.get_logger("start")


def run_program(serve: Serve) -> int:
    """Run a program until it receives SIGTERM or SIGINT.

    :param serve: gets the settings and a future, and returns once it has shut down after the future is done.
    :returns: the exit code: 0 after a shutdown, 1 after a failure, 2 for settings that are invalid.
    """
    logs.configure()
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"meadowworks: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        asyncio.run(_serve_until_signal(serve, settings))
    except OSError as error:
        print(f"meadowworks: {error.strerror or error}", file=sys.stderr)
        return EXIT_FAILURE
    except Exception:
        log.exception("the program failed and exits with status {}", EXIT_FAILURE)
        return EXIT_FAILURE
    return EXIT_OK


async def _serve_until_signal(serve: Serve, settings: NodeSettings) -> None:
    loop = asyncio.get_running_loop()
    shutdown_requested: asyncio.Future[None] = loop.create_future()

    def request_shutdown() -> None:
        if not shutdown_requested.done():
            shutdown_requested.set_result(None)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_shutdown)
    gc.freeze()  # what the start has made stays as long as the process: the collector need not visit it again
    gc.enable()
    await serve(settings, shutdown_requested)
