"""The timeouts of pulls between control-plane nodes are short enough to renew the lease."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.consensus.timing import LEASE_DURATION_NS
from meadowworks.controlplane import pull_client
from meadowworks.controlplane.pull_client import MAX_WAIT_MS, REPLY_TIMEOUT_S, RETRY_DELAY_S, PullClient
from meadowworks.runtime.clock import NS_PER_SECOND
from meadowworks.runtime.errors import RequestError

ROUND_TRIP_S = 0.05


def test_one_lost_pull_does_not_interrupt_a_lease() -> None:
    # The pull sent at 0 is answered after its long poll, the second is lost, the third is answered at once.
    answered_s = MAX_WAIT_MS / 1000 + REPLY_TIMEOUT_S + RETRY_DELAY_S + ROUND_TRIP_S
    assert answered_s < LEASE_DURATION_NS / NS_PER_SECOND


def test_the_pull_after_a_lost_one_requests_an_immediate_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    is_answered = [True, False, False, True, True]  # for each pull
    requested_at_once: list[bool] = []
    node: Any = SimpleNamespace(
        peer_clients=SimpleNamespace(client=lambda *_: None), holds_lease=lambda: True
    )
    client = PullClient(node)
    reply = SimpleNamespace(sender=SimpleNamespace(incarnation="i"))

    def make_pull(_source: str, _with_peers: bool, wants_reply_at_once: bool) -> Any:
        requested_at_once.append(wants_reply_at_once)

    async def send(*_: Any) -> Any:
        if not is_answered.pop(0):
            raise RequestError("lost", True)
        return SimpleNamespace(reply=reply)

    async def do_nothing(*_: Any) -> None:
        pass

    monkeypatch.setattr(pull_client, "RETRY_DELAY_S", 0.0)
    for name, replacement in {
        "_is_wanted": lambda _: bool(is_answered),
        "_make_pull": make_pull,
        "_send": send,
        "_apply": lambda _: None,
        "_wait_for_drain_writes": do_nothing,
    }.items():
        monkeypatch.setattr(client, name, cast(Any, replacement))
    asyncio.run(client.pull_from("h", 1))
    assert requested_at_once == [False, False, True, True, False]
