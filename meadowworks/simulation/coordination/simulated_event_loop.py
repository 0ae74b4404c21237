"""An asyncio event loop in simulated time, for the coroutines of one simulated process."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVarTuple

from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.coordination.node_clock import running_with
from meadowworks.simulation.event_scheduler import SECOND

Ts = TypeVarTuple("Ts")  # the arguments of a callback


class NumberedFuture(asyncio.Future[Any]):
    """A future whose hash is its number, so that the order of a set of futures is the same in each run."""

    def __init__(self, loop: asyncio.AbstractEventLoop, number: int) -> None:
        super().__init__(loop=loop)
        self._number = number

    def __hash__(self) -> int:
        return self._number


class SimulatedEventLoop(asyncio.AbstractEventLoop):
    """Runs callbacks in the process of one incarnation of a node.

    They wait while the process is frozen, and do not run once it has ended. Exceptions of callbacks and
    tasks end the simulation.
    """

    def __init__(self, node: SimulatedControlPlaneNode) -> None:
        self._node, self._incarnation = node, node.incarnation
        self._scheduler = node.cluster.scheduler
        self._ready: deque[asyncio.Handle] = deque()
        self._is_run_scheduled = False
        self._future_count = 0
        self._tasks: dict[asyncio.Task[Any], None] = {}  # in the order of their start

    # -- the interface of asyncio

    def time(self) -> float:
        """Return the time of the node's clock in seconds."""
        return self._node.local_time() / SECOND

    def get_debug(self) -> bool:
        """Return False."""
        return False

    def is_running(self) -> bool:
        """Return True: the scheduler runs the loop."""
        return True

    def is_closed(self) -> bool:
        """Return False."""
        return False

    def create_future(self) -> asyncio.Future[Any]:
        """Return a new future."""
        self._future_count += 1
        return NumberedFuture(self, self._future_count)

    def create_task(self, coroutine: Any, *, name: str | None = None, context: Context | None = None) -> Any:
        """Start a task."""
        task = asyncio.Task(coroutine, loop=self, name=name, context=context)
        # A process may end at any time, without a warning about its tasks.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def call_soon(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback at the present time, after those that are ready already."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        self._schedule_run()
        return handle

    def call_later(
        self, delay: float, callback: Callable[[*Ts], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay in seconds."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[[*Ts], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a time in seconds."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        due_ns = self._node.to_simulated_time(int(when * SECOND)) + 1  # never before `when`
        self._scheduler.call_at(due_ns, lambda: self._make_ready(handle))
        return handle

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Raise the exception of a callback.

        :raises Exception: the exception, or `RuntimeError` if the context has none.
        """
        raise context.get("exception") or RuntimeError(context["message"])

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: a cancelled handle is skipped when it is due."""

    # -- the run

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a coroutine in a task."""
        self.create_task(coroutine)

    def close(self) -> None:
        """Drop the tasks of a process that has ended."""
        self._ready.clear()
        for task in list(self._tasks):
            task.get_coro().close()
        self._tasks.clear()

    def _make_ready(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            self._ready.append(handle)
            self._schedule_run()

    def _schedule_run(self) -> None:
        if not self._is_run_scheduled:
            self._is_run_scheduled = True
            self._scheduler.call_later(0, lambda: self._node.deliver(self._incarnation, self._run_ready))

    def _run_ready(self) -> None:
        self._is_run_scheduled = False
        asyncio._set_running_loop(self)
        try:
            with running_with(self._node.local_time):
                self._run_handles()
        finally:
            asyncio._set_running_loop(None)

    def _run_handles(self) -> None:
        while self._ready:
            handle = self._ready.popleft()
            if not handle.cancelled():
                handle._run()

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (exception := task.exception()) is not None:
            raise exception
