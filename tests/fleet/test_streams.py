"""Messages to the streams of proxies."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ConnectionItem,
)
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from tests.fleet.program import LANES

NAMES = dict(enumerate(("s-0", "s-1", "s-2")))


def test_who_asks_most_is_told_first(monkeypatch: pytest.MonkeyPatch) -> None:
    told: list[Any] = []
    monkeypatch.setattr(Mailbox, "put", lambda box, item: told.append(box))
    orders = TableUpdates(LANES, NAMES)
    streams, boxes = ProxyStreams(orders), {proxy: Mailbox[ConnectionItem](9) for proxy in range(6)}
    for proxy, box in boxes.items():
        streams.on_joined(proxy, box)
        orders.assign_table(0, proxy, proxy % 2)  # two messages: the order goes across them
    calls = [1.0, 5.0, 3.0, 3.0, 0.0, 9.0]
    assert sorted(streams.send_updates(calls.__getitem__)) == [(3, 1), (3, 1)]
    assert told == [boxes[proxy] for proxy in (5, 1, 2, 3, 0, 4)]


def test_a_fault_in_one_message_costs_the_others_nothing() -> None:
    orders = TableUpdates(LANES, NAMES)
    streams, boxes = ProxyStreams(orders), [Mailbox[ConnectionItem](9) for _ in range(2)]
    for proxy, weight in enumerate((1.0, float("nan"))):
        orders.set_weight(proxy, 0, weight)
        streams.on_joined(proxy, boxes[proxy])
        orders.assign_table(0, proxy, proxy)
    with pytest.raises(ValueError):
        list(streams.send_updates())
    assert [len(box.items) for box in boxes] == [1, 0] and not list(streams.send_updates())
