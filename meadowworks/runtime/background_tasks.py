"""Tasks that nobody awaits: their failures are logged, and a broken invariant ends the program."""

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

    A task that fails is logged and the others go on, since half a program serves better than none. An
    `InvariantError` is the exception: state can't be trusted any more, and `wait_for_shutdown` raises it.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self._fatal_error: asyncio.Future[None] | None = None

    def start(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine as a task, which is kept alive until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel_after(self, task: asyncio.Task[Any], timeout_s: float, on_done: Callable[[], None]) -> None:
        """Cancel a task unless it ends within the time-out.

        :param on_done: called once the task is over, however it ended.
        """
        timer = asyncio.get_running_loop().call_later(max(0.0, timeout_s), task.cancel)

        def cancel_timer(_: asyncio.Task[Any]) -> None:
            timer.cancel()
            on_done()

        task.add_done_callback(cancel_timer)

    async def run_periodically(self, interval_s: float, action: Callable[[], object]) -> None:
        """Call `action`, and await what it returns if that is awaitable, `interval_s` after its last end.

        Any exception but an `InvariantError` is logged, and the next call follows.

        :raises InvariantError: what `action` raised.
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
        """Return when the shutdown is requested.

        :raises InvariantError: a task found a broken invariant first.
        """
        await asyncio.wait([shutdown_requested, self.fatal_error], return_when=asyncio.FIRST_COMPLETED)
        if self.fatal_error.done():
            self.fatal_error.result()

    def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self.running):
            task.cancel()

    @property
    def fatal_error(self) -> asyncio.Future[None]:
        """Gets the first `InvariantError` of any task as its exception."""
        if self._fatal_error is None:
            self._fatal_error = asyncio.get_running_loop().create_future()
        return self._fatal_error

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if task.cancelled() or (error := task.exception()) is None:
            return
        if not isinstance(error, InvariantError):
            log.opt(exception=error).error("background_task_failed", task=_name_of(task))
        elif not self.fatal_error.done():
            self.fatal_error.set_exception(error)


def _name_of(task: asyncio.Task[Any]) -> str:
    return getattr(task.get_coro(), "__qualname__", task.get_name())
