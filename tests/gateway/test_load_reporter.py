"""Load reports of a proxy: requests of disconnected clients do not count as demand."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.proxy.load_reporting import LoadReporter


@pytest.mark.parametrize(
    ("actions", "reported"),
    [
        ("request request request withdraw send", [2]),
        # A request that was reported before it was withdrawn is subtracted from the next report.
        ("request send withdraw request request send request send", [1, 1, 1]),
        ("request send withdraw send", [1, 0]),
    ],
)
def test_a_request_whose_client_disconnected_is_withdrawn(actions: str, reported: list[int]) -> None:
    view = SimpleNamespace(gossip=SimpleNamespace(update_listeners=[]))
    reporter = LoadReporter(cast(Any, None), cast(Any, view), cast(Any, None))
    sent = []
    for action in actions.split():
        if action == "send":
            sent.append(reporter.take_unsent().service_requests.get("s", 0))
        else:
            (reporter.record_request if action == "request" else reporter.withdraw_request)("s")
    assert sent == reported
