"""The command line: invalid input is one line with the usage, and what it prints can be called."""

from __future__ import annotations

import os
import shlex
import sys

import pytest

from meadowworks.cli import main as commands
from meadowworks.local.commands import example_commands
from meadowworks.local.processes import PROJECT_ROOT
from meadowworks.local.system import Ports, SystemLayout


@pytest.mark.parametrize(
    ("line", "usage"),
    [
        ("config get", "config get ADDRESS"),
        ("config put h:1", "config put ADDRESS FILE"),
        ("config put h:1 a b", "config put ADDRESS FILE"),
        ("config check", "config check FILE"),
        ("config nope", "config diff ADDRESS FILE"),
        ("members show h:1", "members list ADDRESS"),
        ("status a b", "status --help"),
    ],
)
def test_invalid_arguments_are_reported_with_the_usage(
    line: str, usage: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert commands.main(line.split()) == 2
    out, err = capsys.readouterr()
    assert not out
    assert err.count("\n") == 1
    assert usage in err


def test_the_commands_that_local_prints_to_try_exist() -> None:
    lines = [shlex.split(line) for line in example_commands(SystemLayout(7, Ports(1, 2, 3, 4)))]
    assert lines[0][0] == "curl"
    assert len(lines) > 4
    for python, *rest in lines[1:]:
        assert (PROJECT_ROOT / python).exists()
        assert rest[:2] == ["-m", "meadowworks"]
        assert rest[2] in commands.COMMANDS
        assert commands.main([rest[2], "--help"]) == 0


def test_a_command_whose_reader_has_gone_ends_quietly(monkeypatch: pytest.MonkeyPatch) -> None:
    read, write = os.pipe()
    os.close(read)
    with os.fdopen(write, "w") as gone:
        monkeypatch.setattr(sys, "stdout", gone)
        assert commands.main(["--help"]) == 141
        monkeypatch.undo()
