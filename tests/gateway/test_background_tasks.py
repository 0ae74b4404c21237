"""Tests of `runtime.background_tasks`: failures are logged, a violated invariant ends the program."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.errors import InvariantError
from tests.gateway.helpers import wait_until


async def fail(error: Exception) -> None:
    raise error


def test_a_failed_task_is_logged_by_name_and_other_tasks_continue() -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level.name} {message} {extra[task]}")

    async def main() -> None:
        tasks = BackgroundTasks()
        other = tasks.start(asyncio.sleep(60))
        failed = tasks.start(fail(RuntimeError("a bug")))
        await wait_until(lambda: tasks.running == {other}, "the failed task is done")
        assert failed.done()
        assert not other.done()
        tasks.close()
        await wait_until(lambda: not tasks.running, "the other task is cancelled")

    asyncio.run(main())
    logger.remove(sink)
    assert len(lines) == 1
    assert lines[0].startswith("ERROR background_task_failed fail\n")
    assert "RuntimeError: a bug" in lines[0]


def test_an_invariant_error_ends_the_wait_for_shutdown() -> None:
    async def main() -> None:
        tasks = BackgroundTasks()
        tasks.start(fail(InvariantError("two values for one version")))
        with pytest.raises(InvariantError, match="two values"):
            await tasks.wait_for_shutdown(asyncio.get_running_loop().create_future())

    asyncio.run(main())


def test_a_shutdown_request_ends_the_wait() -> None:
    async def main() -> None:
        tasks, requested = BackgroundTasks(), asyncio.get_running_loop().create_future()
        tasks.start(fail(RuntimeError("no invariant")))
        waiting = asyncio.ensure_future(tasks.wait_for_shutdown(requested))
        await wait_until(lambda: not tasks.running, "the failure is handled")
        assert not waiting.done()
        requested.set_result(None)
        await waiting

    asyncio.run(main())


@pytest.mark.parametrize(("error", "continues"), [(ValueError("once"), True), (InvariantError("no"), False)])
def test_a_periodic_task_continues_after_errors_except_invariant_errors(
    error: Exception, continues: bool
) -> None:
    async def main() -> None:
        tasks, calls = BackgroundTasks(), 0

        def action() -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise error

        task = tasks.start(tasks.run_periodically(0.0, action))
        await wait_until(lambda: calls > 1 or task.done(), "the action runs again or the task ends")
        assert (calls > 1) == continues == (not task.done())
        tasks.close()

    asyncio.run(main())
