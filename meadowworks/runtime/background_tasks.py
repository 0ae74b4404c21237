"""Background tasks: failures are logged, and a violated invariant ends the program."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import InvariantError

T = TypeVar("T")
log = logs.get_logger("tasks")


class BackgroundTasks:
    """The background tasks of one program.

    If a task fails, the error is logged and the other tasks continue. An `InvariantError` means that the
    program's state is invalid: `wait_for_shutdown` raises it.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self._fatal_error: asyncio.Future[None] | None = None

    def start(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine as a task, and keep a reference to the task until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel_after(self, task: asyncio.Task[Any], timeout_s: float, on_done: Callable[[], None]) -> None:
        """Cancel a task unless it ends within the timeout.

        :param on_done: called once when the task has returned, failed or been cancelled.
        """
        timer = asyncio.get_running_loop().call_later(max(0.0, timeout_s), task.cancel)

        def cancel_timer(_: asyncio.Task[Any]) -> None:
            timer.cancel()
            on_done()

        task.add_done_callback(cancel_timer)

    async def run_periodically(self, interval_s: float, action: Callable[[], object]) -> None:
        """Call `action` repeatedly, with a pause of `interval_s` before each call, and await its result.

        The result is awaited only if it is awaitable. Exceptions other than `InvariantError` are logged, and
        the next call follows.

        :raises InvariantError: if `action` raises it.
        """
        while True:
            await asyncio.sleep(interval_s)
            try:
                result = action()
                if isinstance(result, Awaitable):
                    await result
            except InvariantError:
                raise
            except Exception:
                name = getattr(action, "__qualname__", repr(action))
                log.exception("periodic_task_failed", task=name, retry_s=interval_s)

    async def wait_for_shutdown(self, shutdown_requested: asyncio.Future[None]) -> None:
        """Return when shutdown is requested.

        :raises InvariantError: if a task raises it first.
        """
        await asyncio.wait([shutdown_requested, self.fatal_error], return_when=asyncio.FIRST_COMPLETED)
        if self.fatal_error.done():
            self.fatal_error.result()

    def report_fatal(self, error: InvariantError) -> None:
        """End `wait_for_shutdown` with an error that was raised outside the background tasks."""
        if not self.fatal_error.done():
            self.fatal_error.set_exception(error)

    def close(self) -> None:
        """Cancel all running tasks."""
        for task in list(self.running):
            task.cancel()

    @property
    def fatal_error(self) -> asyncio.Future[None]:
        """A future whose exception is the first `InvariantError` raised by a task."""
        if self._fatal_error is None:
            self._fatal_error = asyncio.get_running_loop().create_future()
        return self._fatal_error

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if task.cancelled() or (error := task.exception()) is None:
            return
        if not isinstance(error, InvariantError):
            log.opt(exception=error).error("background_task_failed", task=_task_name(task))
        else:
            self.report_fatal(error)


def _task_name(task: asyncio.Task[Any]) -> str:
    return getattr(task.get_coro(), "__qualname__", task.get_name())
