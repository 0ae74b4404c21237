"""What a proxy logs of its counters."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.proxy.server import ProxyServer


def test_an_idle_junction_says_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    said: list[Any] = []
    monkeypatch.setattr("meadowworks.proxy.server.log.info", lambda *words: said.append(words))
    junction = ProxyServer.__new__(ProxyServer)
    junction.counters, junction.logged_counters, junction.retry_budgets = {}, {}, {}
    junction.http_server = type("Idle", (), {"pending_count": lambda self: 0})()
    junction.log_counters()
    assert not said
    junction.counters["200"] = 1
    junction.log_counters()
    junction.log_counters()
    assert len(said) == 1
