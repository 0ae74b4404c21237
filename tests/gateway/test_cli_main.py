"""Tests that the command line reports invalid input on one line, and that its printed examples run."""

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


def test_example_commands_of_local_exist() -> None:
    lines = [shlex.split(line) for line in example_commands(SystemLayout(7, Ports(1, 2, 3, 4)))]
    assert lines[0][0] == "curl"
    assert len(lines) > 4
    for python, *arguments in lines[1:]:
        assert (PROJECT_ROOT / python).exists()
        assert arguments[:2] == ["-m", "meadowworks"]
        assert arguments[2] in commands.COMMANDS
        assert commands.main([arguments[2], "--help"]) == 0


def test_broken_pipe_ends_command_quietly(monkeypatch: pytest.MonkeyPatch) -> None:
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    with os.fdopen(write_fd, "w") as broken_pipe:
        monkeypatch.setattr(sys, "stdout", broken_pipe)
        assert commands.main(["--help"]) == 141
        monkeypatch.undo()
