"""Notification of all tasks that wait for a state change."""

from __future__ import annotations

import asyncio


class Notifier:
    """Wakes all waiting tasks; each of them checks its own condition again."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next `notify_all`, at most `timeout_s` seconds."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self._waiters.discard(waiter)
