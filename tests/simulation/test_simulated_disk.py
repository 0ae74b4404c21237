"""The simulated disk: synced writes survive a loss of power, others may be lost."""

from __future__ import annotations

import random
import sqlite3

import pytest

from meadowworks.consensus.effects import StateUpdate
from meadowworks.consensus.values import CommittedValue
from meadowworks.simulation.control.simulated_disk import SimulatedDisk, SimulatedStore


def update(version: int) -> StateUpdate:
    committed = CommittedValue(version, b"%d" % version)
    return StateUpdate({"life": version}, committed, {version: b"d"}, 0, {})


@pytest.mark.parametrize("seed", range(20))
def test_saved_state_survives_power_loss_at_any_operation(seed: int) -> None:
    disk, saved = SimulatedDisk(random.Random(seed)), 0
    for incarnation in range(6):
        store = SimulatedStore(disk)
        loaded = store.load().committed.version
        assert loaded in (saved, saved + 1)  # an interrupted save may have become durable
        saved = loaded
        for _ in range(3):
            store.save(update(saved + 1))
            saved += 1
        disk.operations_left = seed % 12 + incarnation
        try:
            store.save(update(saved + 1))
            saved += 1
        except sqlite3.Error:
            pass
        disk.lose_power()
        store.abandon()
    disk.remove()


def test_unsynced_save_is_lost() -> None:
    lost = 0
    for seed in range(10):
        disk = SimulatedDisk(random.Random(seed))
        store = SimulatedStore(disk)
        store.connection.execute("PRAGMA synchronous=OFF")
        store.save(update(1))
        disk.lose_power()
        store.abandon()
        lost += SimulatedStore(disk).load().committed.version == 0
        disk.remove()
    assert lost
