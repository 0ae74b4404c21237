"""Tests of `runtime.live_settings`: valid settings replace the current ones, invalid ones are ignored."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from meadowworks.local.system import Ports, SystemLayout
from meadowworks.runtime import node_settings
from meadowworks.runtime.live_settings import LiveSettings


def test_a_reload_applies_valid_settings_and_ignores_invalid_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    document = SystemLayout(9, Ports(1, 2, 3, 4)).node_settings(0, tmp_path)
    live = LiveSettings(node_settings.parse_settings(json.dumps(document)))
    before = live.current
    file = tmp_path / "settings.json"
    monkeypatch.setenv(node_settings.SETTINGS_FILE_VARIABLE, str(file))
    live.reload()  # there is no file
    assert live.current is before
    file.write_text("{")
    live.reload()
    assert live.current is before
    document["network"]["seeds"] = document["network"]["seeds"][:1]
    file.write_text(json.dumps(document))
    live.reload()
    assert len(live.current.seeds) == 1 < len(before.seeds)
