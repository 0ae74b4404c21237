"""Tests the messages to the proxies' streams."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ConnectionItem,
)
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from tests.fleet.program import ROUTES

NAMES = dict(enumerate(("s-0", "s-1", "s-2")))


def test_proxy_with_most_calls_is_updated_first(monkeypatch: pytest.MonkeyPatch) -> None:
    updated: list[Any] = []
    monkeypatch.setattr(Mailbox, "put", lambda mailbox, item: updated.append(mailbox))
    updates = TableUpdates(ROUTES, NAMES)
    streams, mailboxes = ProxyStreams(updates), {proxy: Mailbox[ConnectionItem](9) for proxy in range(6)}
    for proxy, mailbox in mailboxes.items():
        streams.on_joined(proxy, mailbox)
        updates.assign_table(0, proxy, proxy % 2)  # two messages; the order spans both
    call_rates = [1.0, 5.0, 3.0, 3.0, 0.0, 9.0]
    assert sorted(streams.send_updates(call_rates.__getitem__)) == [(3, 1), (3, 1)]
    assert updated == [mailboxes[proxy] for proxy in (5, 1, 2, 3, 0, 4)]


def test_fault_in_one_message_does_not_affect_others() -> None:
    updates = TableUpdates(ROUTES, NAMES)
    streams, mailboxes = ProxyStreams(updates), [Mailbox[ConnectionItem](9) for _ in range(2)]
    for proxy, weight in enumerate((1.0, float("nan"))):
        updates.set_weight(proxy, 0, weight)
        streams.on_joined(proxy, mailboxes[proxy])
        updates.assign_table(0, proxy, proxy)
    with pytest.raises(ValueError):
        list(streams.send_updates())
    assert [len(mailbox.items) for mailbox in mailboxes] == [1, 0] and not list(streams.send_updates())
