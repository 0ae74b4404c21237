"""The SQLite store of a replica: a full disk, closing and reopening."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path

import pytest

from meadowworks.consensus.effects import StateUpdate
from meadowworks.consensus.values import AcceptorSlot, Ballot, CommittedValue
from meadowworks.storage.sqlite_store import SqliteStore

LARGE = b"x" * (1 << 20)


def update(version: int, value: bytes) -> StateUpdate:
    slot = AcceptorSlot(Ballot(1, version, "a.1"), Ballot(1, version, "a.1"), b"next")
    return StateUpdate(
        {"life": version}, CommittedValue(version, value), {version: b"d"}, 0, {version + 1: slot}
    )


def test_a_write_to_a_full_disk_changes_nothing_and_succeeds_once_there_is_space(tmp_path: Path) -> None:
    with SqliteStore(tmp_path) as store:
        store.save(update(1, b"small"))
        store.save_drain_records({"b0": b"draining"}, ())
        before = store.load()
        (pages,) = store.connection.execute("PRAGMA page_count").fetchone()
        store.connection.execute(f"PRAGMA max_page_count={pages + 4}")
        writes: tuple[Callable[[], None], ...] = (
            lambda: store.save(update(2, LARGE)),
            lambda: store.save_drain_records({"b1": LARGE}, ("b0",)),
            lambda: store.save_backend_hints({"b1": LARGE}),
        )
        for write in writes:
            with pytest.raises(sqlite3.OperationalError, match="full"):
                write()
            assert not store.connection.in_transaction
        assert store.load() == before
        assert store.load_drain_records() == {"b0": b"draining"}
        assert store.load_backend_hints() == {}
        store.connection.execute("PRAGMA max_page_count=1000000")
        store.save(update(2, LARGE))
        assert store.load().committed == CommittedValue(2, LARGE)


def test_a_store_closes_at_the_end_of_its_block_and_a_new_one_reads_the_saved_state(
    tmp_path: Path,
) -> None:
    with SqliteStore(tmp_path) as store:
        store.save(update(3, b"value"))
        saved = store.load()
    with pytest.raises(sqlite3.ProgrammingError):
        store.load()
    with SqliteStore(tmp_path) as reopened:
        assert reopened.load() == saved
