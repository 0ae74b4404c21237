"""Tests the time limit of a call to discovery."""

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


def test_reply_is_not_lost_when_stall_outlasts_call_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "NEW_WATCH_GRACE_S", 0.0)

    async def scenario() -> None:
        local, remote = socket.socketpair()
        with local, remote:
            local.setblocking(False)
            client = discovery.DiscoveryClient(
                "127.0.0.1:1", 1, 10_000_000, Mailbox[DiscoveryCommand](1), Mailbox[ControllerEvent](1)
            )

            async def call(_: object) -> EndpointList:
                await asyncio.get_running_loop().sock_recv(local, 1)
                return EndpointList(2, False, ())

            monkeypatch.setattr(client, "fetch", call)
            reply = asyncio.create_task(client.fetch_with_timeout(cast(Any, None)))
            await asyncio.sleep(0)
            await asyncio.sleep(0)  # the call is waiting
            remote.send(b"!")
            time.sleep(10 * client.watch_wait_ms / 1000)  # the process stalls
            assert (await reply) == EndpointList(2, False, ())

    asyncio.run(scenario())
