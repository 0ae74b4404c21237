"""The notifier wakes all waiting tasks, and a wait ends at its timeout."""

from __future__ import annotations

import asyncio

from meadowworks.controlplane.notifier import Notifier
from tests.gateway.helpers import wait_until


def test_all_waiters_are_woken_at_once_and_later_ones_wait_for_the_next_call() -> None:
    async def main() -> None:
        notifier = Notifier()
        waiting = [asyncio.ensure_future(notifier.wait(60)) for _ in range(3)]
        await asyncio.sleep(0)
        notifier.notify_all()
        notifier.notify_all()  # called again before the tasks have run: no error
        await asyncio.gather(*waiting)
        late = asyncio.ensure_future(notifier.wait(60))
        await asyncio.sleep(0)
        assert not late.done()
        late.cancel()
        await asyncio.wait([late])
        notifier.notify_all()  # a cancelled waiter is ignored
        await notifier.wait(0.001)

    asyncio.run(main())


def test_a_waiter_may_wait_again_while_others_are_woken() -> None:
    async def main() -> None:
        notifier, wakes = Notifier(), 0

        async def wait_twice() -> None:
            nonlocal wakes
            for _ in range(2):
                await notifier.wait(60)
                wakes += 1

        task = asyncio.ensure_future(wait_twice())
        for count in (1, 2):
            await asyncio.sleep(0)
            notifier.notify_all()
            await wait_until(lambda count=count: wakes == count, "the task is woken")  # type: ignore[misc]
        await task

    asyncio.run(main())
