"""The operators' words: what they print can be called, and what makes no sense is one line with the usage."""

from __future__ import annotations

import os
import shlex
import sys
from typing import Any

import pytest

from meadowworks.cli import main as commands
from meadowworks.cli import members
from meadowworks.local.commands import example_commands
from meadowworks.local.processes import PROJECT_ROOT
from meadowworks.local.system import Ports, SystemLayout
from meadowworks.proxy.counters import ProxyCounters


@pytest.mark.parametrize(
    "line, usage",
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
def test_words_that_make_no_sense_are_told_with_the_usage(
    line: str, usage: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert commands.main(line.split()) == 2
    out, err = capsys.readouterr()
    assert not out and err.count("\n") == 1 and usage in err


def test_what_a_newcomer_is_told_to_try_is_a_command_that_exists() -> None:
    lines = [shlex.split(line) for line in example_commands(SystemLayout(7, Ports(1, 2, 3, 4)))]
    assert lines[0][0] == "curl" and len(lines) > 4
    for python, *rest in lines[1:]:
        assert (PROJECT_ROOT / python).exists() and rest[:2] == ["-m", "meadowworks"]
        assert rest[2] in commands.COMMANDS and commands.main([rest[2], "--help"]) == 0


def test_a_reader_that_has_gone_ends_a_command_without_a_word(monkeypatch: pytest.MonkeyPatch) -> None:
    read, write = os.pipe()
    os.close(read)
    with os.fdopen(write, "w") as gone:
        monkeypatch.setattr(sys, "stdout", gone)
        assert commands.main(["--help"]) == 141
        monkeypatch.undo()


def status(disk: str, **rest: Any) -> dict[str, Any]:
    names = {"d1": "h1:7", "d2": "h2:7", "d3": "h3:7"}
    return {
        "node": f"n-{disk}",
        "disk": disk,
        "epoch": 4,
        "members_of_epoch": names,
        "lease_ms": 900,
        "sure": True,
        "voting": True,
        **rest,
    }


@pytest.mark.parametrize(
    "third, why",
    [
        (None, "silent"),
        (status("d3"), ""),
        (status("d3", lease_ms=None, sure=False), "no lease"),
        (status("d3", epoch=3, members_of_epoch={"d0": "h0:7"}), "of epoch 3, the newest is 4"),
        (status("d9"), "gone: another disk is at its address, d9"),
        (status("d3", voting=False, sure=False), "no vote yet"),
        (status("d3", voting=False, sure=False, members=[]), "does not vote"),
    ],
)
def test_members_are_told_with_the_cause_why_one_is_not_in(third: Any, why: str) -> None:
    cards = [["n", "h3", "z", not why.startswith("does"), 1]]
    one = status("d1", members=cards)
    epoch, rows = members.membership_rows({"h1:7": one, "h2:7": status("d2"), "h3:7": third})
    assert epoch == 4 and [row[-1] for row in rows[:2]] == ["", ""]
    assert rows[2][1] == "h3:7" and rows[2][-1].startswith(why) and (rows[2][5] == "yes") == (not why)
    if why.startswith("gone"):
        assert rows[3][0] == "d9" and "no member of epoch 4" in rows[3][-1]


def test_a_status_of_before_epochs_and_a_junctions_is_read_all_the_same() -> None:
    old = {"node": "n", "sure": True, "sound": True, "members": [["m", "h2", "z", True, 1]]}
    seats = status("d1", epoch=0, members_of_epoch={"@h1:7": "h1:7"})
    assert members.membership_rows({"h1:7": seats})[1][0][-1] == ""  # the very first start
    epoch, rows = members.membership_rows({"h1:7": old, "h2:7": None, "j:7": {"node": "j", "ready": True}})
    assert epoch is None and [(row[1], row[5]) for row in rows] == [("h1:7", "yes"), ("h2:7", "no")]
    assert members.known_addresses(old, "h1:7") == ["h2:7"]


def test_an_idle_proxy_logs_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    said: list[Any] = []
    monkeypatch.setattr("meadowworks.proxy.counters.log.info", lambda *words: said.append(words))
    counters = ProxyCounters()
    counters.log_changes(0, {})
    assert not said
    counters.increment("200")
    counters.log_changes(0, {})
    counters.log_changes(0, {})
    assert len(said) == 1
