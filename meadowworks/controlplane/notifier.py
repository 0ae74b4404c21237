"""Waking every task that waits for some state to change."""

from __future__ import annotations

import asyncio


class Notifier:
    """Tasks wait here, and check what they wait for again whenever they are woken."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    def notify_all(self) -> None:
        """Wake all tasks that wait now."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Return at the next `notify_all`, or when the time-out is over."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self._waiters.discard(waiter)
