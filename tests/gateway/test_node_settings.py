"""Tests of `runtime.node_settings`: programs and commands report invalid settings as a one-line error."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from meadowworks.cli.main import main
from meadowworks.local.system import Ports, SystemLayout, build_configuration
from meadowworks.runtime import node_settings
from meadowworks.runtime.errors import SettingsError
from tests.gateway.mutations import mutants

CONFIG = json.loads(build_configuration(7, {"/a/": ("safe", "s"), "/a/b/": ("unsafe", "t")}))


SETTINGS = json.loads(json.dumps(SystemLayout(9, Ports(1, 2, 3, 4)).node_settings(0, Path("/d"))))


def test_mutated_settings_are_valid_or_give_a_one_line_error(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    errors: list[str] = []
    for _, mutant in mutants(SETTINGS):
        try:
            node_settings.parse_settings(json.dumps(mutant))
        except SettingsError as error:
            errors.append(str(error))
    assert not [error for error in errors if "\n" in error or len(error) >= 300]
    assert len(errors) > 60
    assert node_settings.parse_settings(json.dumps({**SETTINGS, "unknown": 1})).node == "control-plane-0"
    with pytest.raises(SettingsError, match="MEADOWWORKS_NODE_FILE is not set"):
        node_settings.load_settings({})
    with pytest.raises(SettingsError, match="cannot be read"):
        node_settings.load_settings({"MEADOWWORKS_NODE_FILE": str(tmp_path / "none")})
    file = tmp_path / "f.json"
    for text, words, status in (
        (json.dumps(SETTINGS), ["settings"], 0),
        ("{", ["settings"], 2),
        (json.dumps(CONFIG), ["config", "check"], 0),
        ("{", ["config", "check"], 2),
    ):
        file.write_text(text)
        assert main([*words, str(file)]) == status
    assert main(["config", "get"]) == main(["status", "nowhere"]) == main(["local", "--port", "9"]) == 2
    assert all(line.startswith(("meadowworks: ", str(file))) for line in capsys.readouterr().err.splitlines())
