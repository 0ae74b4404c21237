"""Tests that `meadowworks members` uses the newest epoch and gives a reason for each node that is not in."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.cli import members


def status(disk: str, **fields: Any) -> dict[str, Any]:
    members_of_epoch = {"d1": "h1:7", "d2": "h2:7", "d3": "h3:7"}
    return {
        "node": f"n-{disk}",
        "disk": disk,
        "epoch": 4,
        "members_of_epoch": members_of_epoch,
        "lease_ms": 900,
        "sure": True,
        "voting": True,
        **fields,
    }


@pytest.mark.parametrize(
    ("third", "reason"),
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
def test_member_that_is_not_in_has_its_reason(third: Any, reason: str) -> None:
    peers = [["n", "h3", "z", not reason.startswith("does"), 1]]
    first = status("d1", members=peers)
    epoch, rows = members.membership_rows({"h1:7": first, "h2:7": status("d2"), "h3:7": third})
    assert epoch == 4
    assert [row[-1] for row in rows[:2]] == ["", ""]
    assert rows[2][1] == "h3:7"
    assert rows[2][-1].startswith(reason)
    assert (rows[2][5] == "yes") == (not reason)
    if reason.startswith("gone"):
        assert rows[3][0] == "d9"
        assert "no member of epoch 4" in rows[3][-1]


def test_statuses_of_older_nodes_and_proxies_are_accepted() -> None:
    old = {"node": "n", "sure": True, "sound": True, "members": [["m", "h2", "z", True, 1]]}
    bootstrap = status("d1", epoch=0, members_of_epoch={"@h1:7": "h1:7"})
    assert members.membership_rows({"h1:7": bootstrap})[1][0][-1] == ""  # before the first epoch
    epoch, rows = members.membership_rows({"h1:7": old, "h2:7": None, "j:7": {"node": "j", "ready": True}})
    assert epoch is None
    assert [(row[1], row[5]) for row in rows] == [("h1:7", "yes"), ("h2:7", "no")]
    assert members.known_addresses(old, "h1:7") == ["h2:7"]
