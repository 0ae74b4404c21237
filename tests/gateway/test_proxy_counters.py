"""Log of a proxy's counters."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.proxy.counters import ProxyCounters


def test_an_idle_proxy_logs_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[Any] = []
    monkeypatch.setattr(
        "meadowworks.proxy.counters.log.info", lambda *events, **fields: logged.append((events, fields))
    )
    counters = ProxyCounters()
    counters.log_changes(0, {})
    assert not logged
    counters.increment("200")
    counters.log_changes(0, {})
    counters.log_changes(0, {})
    assert len(logged) == 1
