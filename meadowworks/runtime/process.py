"""What both programs share: their start from the settings, the clock, and tasks that must not fail unseen."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import InvariantError, SettingsError
from meadowworks.runtime.node_settings import NodeSettings, load_settings

log = logs.get_logger("start")


def now_ns() -> int:
    """The steady clock: comparable within one process alone."""
    return time.monotonic_ns()


class BackgroundTasks:
    """Tasks of one program. A fault is logged and the others go on; a broken invariant ends the program."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self.fatal_error: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.on_done)
        return task

    def cancel_after(self, task: asyncio.Task[Any], timeout_s: float, on_done: Callable[[], None]) -> None:
        """Ends a task that nobody waits for, within so many seconds; calls `then` when it is over."""
        end = asyncio.get_running_loop().call_later(max(0.0, timeout_s), task.cancel)

        def over(_: asyncio.Task[Any]) -> None:
            end.cancel()
            on_done()

        task.add_done_callback(over)

    def on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if task.cancelled() or (trouble := task.exception()) is None:
            return
        if isinstance(trouble, InvariantError):
            if not self.fatal_error.done():
                self.fatal_error.set_exception(trouble)
        else:
            log.opt(exception=trouble).error("a task failed")

    async def run_periodically(self, interval_s: float, action: Callable[[], Any]) -> None:
        """Calls `act` again and again; a fault in one turn does not end the next."""
        while True:
            await asyncio.sleep(interval_s)
            try:
                found = action()
                if isinstance(found, Awaitable):
                    await found
            except InvariantError:
                raise
            except Exception:
                log.exception("a turn failed")


def run_program(serve: Callable[[NodeSettings, asyncio.Future[None]], Coroutine[Any, Any, None]]) -> int:
    """Runs a program until it is told to end. 0 then, 2 on settings that make no sense, 1 on a fault."""
    logs.configure()
    try:
        boot = load_settings()
    except SettingsError as trouble:
        print(f"meadowworks: {trouble}", file=sys.stderr)
        return 2

    async def whole() -> None:
        loop = asyncio.get_running_loop()
        told: asyncio.Future[None] = loop.create_future()

        def end() -> None:
            if not told.done():
                told.set_result(None)

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, end)
        gc.freeze()  # what the start has made stays: the collector need not look at it again
        gc.enable()
        await serve(boot, told)

    try:
        asyncio.run(whole())
    except OSError as trouble:
        print(f"meadowworks: {trouble.strerror or trouble}", file=sys.stderr)
        return 1
    except Exception:
        log.exception("the program ends")
        return 1
    return 0
