"""Startup, signal handling and exit status of the programs."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.logging import LOG_FORMAT_VARIABLE, LogFormat
from meadowworks.runtime.node_settings import NodeSettings, load_settings

EXIT_OK, EXIT_FAILURE, EXIT_INVALID_SETTINGS = 0, 1, 2
ServeFunction = Callable[[NodeSettings, asyncio.Future[None]], Coroutine[Any, Any, None]]
log = logs.get_logger("start")


def run_program(serve: ServeFunction) -> int:
    """Run a program until it receives SIGTERM or SIGINT.

    :param serve: called with the settings and a future; must shut down and return once the future is done.
    :returns: the exit status: 0 after a shutdown, 1 after a failure, 2 if the settings are invalid or their
        data directory cannot be used.
    """
    try:
        settings = load_settings()
        logs.configure(resolve_log_format(settings), settings.node)
    except SettingsError as error:
        print(f"meadowworks: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        asyncio.run(_serve_until_signal(serve, settings))
    except SettingsError as error:
        print(f"meadowworks: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    except OSError as error:
        print(f"meadowworks: {error.strerror or error}", file=sys.stderr)
        return EXIT_FAILURE
    except Exception:
        log.exception("program_failed", exit_status=EXIT_FAILURE)
        return EXIT_FAILURE
    return EXIT_OK


def resolve_log_format(settings: NodeSettings, environ: Mapping[str, str] = os.environ) -> LogFormat:
    """Return the log format from the environment if set, otherwise from the settings file.

    :raises SettingsError: if the environment variable is not a valid format.
    """
    format_name = environ.get(LOG_FORMAT_VARIABLE)
    if not format_name:
        return settings.log_format
    try:
        return LogFormat(format_name)
    except ValueError:
        raise SettingsError(f"{LOG_FORMAT_VARIABLE}: {format_name!r} is neither text nor json") from None


async def _serve_until_signal(serve: ServeFunction, settings: NodeSettings) -> None:
    loop = asyncio.get_running_loop()
    shutdown_requested: asyncio.Future[None] = loop.create_future()

    def request_shutdown() -> None:
        if not shutdown_requested.done():
            shutdown_requested.set_result(None)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_shutdown)
    gc.freeze()  # excludes objects created at startup, which live as long as the process, from collections
    gc.enable()
    await serve(settings, shutdown_requested)
