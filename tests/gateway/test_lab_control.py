"""The control laboratory: a few days of each point, and some guards that are missed when they are gone."""

from __future__ import annotations

import random
import sqlite3

import pytest

from meadowworks.cli import main as commands
from meadowworks.consensus.effects import StateUpdate
from meadowworks.consensus.values import CommittedValue
from meadowworks.simulation import campaign, drill, guards
from meadowworks.simulation.disks import SimulatedDisk, SimulatedStore
from meadowworks.storage.sqlite_store import SqliteStore


@pytest.mark.parametrize("point", sorted(drill.SCENARIOS))
def test_days_without_a_fault(point: int) -> None:
    total, found, complete = campaign.run_seeds(point, range(3), "", 1)
    assert complete and total.days == 3 and total.acked > 0
    assert not total.violations(), found


def test_the_same_seed_gives_the_same_day() -> None:
    assert campaign.run_seed(2, "", 5) == campaign.run_seed(2, "", 5)


@pytest.mark.parametrize(
    "name, column",
    [
        ("lease", "served_without_majority"),
        ("read-majority", "served_without_majority"),
        ("one-content", "confirmed_twice"),
        ("history", "refused_though_taken"),
        ("sync", "never_level"),
        ("replace", "never_level"),
    ],
)
def test_a_guard_that_is_gone_is_missed(name: str, column: str) -> None:
    total, _, _ = campaign.run_seeds(guards.GUARDS_BY_NAME[name].point, range(2), name, 1)
    assert total.violations().get(column), total


def test_a_guard_is_back_after_its_day() -> None:
    campaign.run_seed(2, "one-content", 0)
    assert not campaign.run_seeds(2, range(1), "", 1)[0].violations()


def rows(version: int) -> StateUpdate:
    return StateUpdate({"life": version}, CommittedValue(version, b"%d" % version), {version: b"d"}, 0, {})


@pytest.mark.parametrize("seed", range(20))
def test_what_was_saved_outlives_a_loss_of_power_at_any_operation(seed: int) -> None:
    medium, saved = SimulatedDisk(random.Random(seed)), 0
    for life in range(6):
        disk: SqliteStore = SimulatedStore(medium)
        assert disk.load().committed.version in (
            saved,
            saved + 1,
        )  # a save that was cut short may have been done
        saved = disk.load().committed.version
        for _ in range(3):
            disk.save(rows(saved + 1))
            saved += 1
        medium.operations_left = seed % 12 + life
        try:
            disk.save(rows(saved + 1))
            saved += 1
        except sqlite3.Error:
            pass
        medium.lose_power()
        assert isinstance(disk, SimulatedStore)
        disk.abandon()
    medium.remove()


def test_a_save_without_sync_is_lost() -> None:
    lost = 0
    for seed in range(10):
        medium = SimulatedDisk(random.Random(seed))
        disk = SimulatedStore(medium)
        disk.connection.execute("PRAGMA synchronous=OFF")
        disk.save(rows(1))
        medium.lose_power()
        disk.abandon()
        lost += SimulatedStore(medium).load().committed.version == 0
        medium.remove()
    assert lost


@pytest.mark.parametrize(
    "words",
    [
        ["--point", "9"],
        ["--seeds", "3"],
        ["--seeds", "4:4"],
        ["--without", "nothing"],
        ["--processes", "17"],
    ],
)
def test_bad_input_is_told_in_a_line(words: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert commands.main(["lab", "control", *words]) == 2
    assert capsys.readouterr().err.count("\n") == 1
