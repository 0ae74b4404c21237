"""The time limit of a call at discovery."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any, cast

import pytest

from meadowworks.fleet import discovery
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ControllerEvent,
    DiscoveryCommand,
    EndpointList,
)


def test_a_stall_that_outlasts_a_calls_limit_loses_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "NEW_WATCH_GRACE_S", 0.0)

    async def act() -> None:
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            actor = discovery.DiscoveryClient(
                "127.0.0.1:1", 1, 10_000_000, Mailbox[DiscoveryCommand](1), Mailbox[ControllerEvent](1)
            )

            async def call(_: object) -> EndpointList:
                await asyncio.get_running_loop().sock_recv(near, 1)
                return EndpointList(2, False, ())

            monkeypatch.setattr(actor, "fetch", call)
            answer = asyncio.create_task(actor.fetch_with_timeout(cast(Any, None)))
            await asyncio.sleep(0)
            await asyncio.sleep(0)  # the call waits
            far.send(b"!")
            time.sleep(10 * actor.watch_wait_ms / 1000)  # the process stands still
            assert (await answer) == EndpointList(2, False, ())

    asyncio.run(act())
