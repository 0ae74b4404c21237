"""`proxy.load_reporting`: what nobody waits for any more is no demand."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.proxy.load_reporting import LoadReporter


@pytest.mark.parametrize(
    ("acts", "reported"),
    [
        ("ask ask ask go send", [2]),
        ("ask send go ask ask send ask send", [1, 1, 1]),  # reported already: taken from the next
        ("ask send go send", [1, 0]),
    ],
)
def test_a_request_whose_client_has_gone_is_taken_back(acts: str, reported: list[int]) -> None:
    view = SimpleNamespace(gossip=SimpleNamespace(update_listeners=[]))
    reporter = LoadReporter(cast(Any, None), cast(Any, view), cast(Any, None))
    found = []
    for act in acts.split():
        if act == "send":
            found.append(reporter.take_unsent().service_requests.get("s", 0))
        else:
            (reporter.record_request if act == "ask" else reporter.withdraw_request)("s")
    assert found == reported
