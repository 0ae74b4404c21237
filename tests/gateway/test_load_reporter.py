"""`proxy.load_reporting`: what nobody waits for any more is no demand."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from meadowworks.proxy.load_reporting import LoadReporter


def reporter() -> LoadReporter:
    view = SimpleNamespace(gossip=SimpleNamespace(update_listeners=[]))
    return LoadReporter(cast(Any, None), cast(Any, view), cast(Any, None))


def test_a_request_whose_client_has_gone_is_taken_back() -> None:
    made = reporter()
    for _ in range(3):
        made.record_request("s")
    made.withdraw_request("s")
    assert made.take_unsent().service_requests == {"s": 2}


def test_one_that_was_reported_already_is_taken_from_the_next() -> None:
    made = reporter()
    made.record_request("s")
    assert made.take_unsent().service_requests == {"s": 1}
    made.withdraw_request("s")
    for _ in range(2):
        made.record_request("s")
    assert made.take_unsent().service_requests == {"s": 1}
    made.record_request("s")
    assert made.take_unsent().service_requests == {"s": 1}
