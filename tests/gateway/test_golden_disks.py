"""Disks written by control-plane nodes of commit f7b5d76: read, continued from, and written unchanged.

The files in `golden/disks/` were written by three nodes that bootstrapped an epoch, committed versions 1 and
2, replaced a wiped disk (epoch 2), committed version 3, and received heartbeats of backends, of which one
drains and one has left. `undecided` has an accepted version 5 that was never decided, `promised` has only
promises, `sealed` has a sealed epoch, `left` was handed over and removed in epoch 1, and `killed` is the disk
`promised` after SIGKILL, with its write-ahead log.
"""

from __future__ import annotations

import gzip
import json
import shutil
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from tests.gateway import golden_product as product

DISKS = Path(__file__).parent / "golden" / "disks"
CONTENTS: dict[str, Any] = json.loads((DISKS / "contents.json").read_text(encoding="utf-8"))
NAMES = tuple(CONTENTS["rows"])


def copy_disk(name: str, target: Path) -> Path:
    """Copy and decompress a disk's folder, as the product finds it at startup."""
    target.mkdir()
    for file in (DISKS / name).iterdir():
        if file.suffix == ".gz":
            (target / file.stem).write_bytes(gzip.decompress(file.read_bytes()))
        else:
            shutil.copy(file, target / file.name)
    return target


def hex_row(row: tuple[Any, ...]) -> list[Any]:
    return [cell.hex() if isinstance(cell, bytes) else cell for cell in row]


def rows(folder: Path) -> dict[str, list[list[Any]]]:
    """Return all rows of a closed store by table, read without the product."""
    with sqlite3.connect(folder / product.STORE_FILE) as store:
        tables = [name for (name,) in store.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        rows_by_table = {
            table: [hex_row(row) for row in store.execute(f"SELECT * FROM {table} ORDER BY 1")]
            for table in sorted(tables)
        }
    store.close()
    return rows_by_table


def schema(folder: Path) -> dict[str, list[list[Any]]]:
    """Return the columns by table: name, type, not null, default, position in the primary key."""
    with sqlite3.connect(folder / product.STORE_FILE) as store:
        other_objects = store.execute(
            "SELECT name FROM sqlite_master WHERE type <> 'table' AND sql IS NOT NULL"
        )
        assert not other_objects.fetchall()
        tables = [name for (name,) in store.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        columns_by_table = {
            table: [list(column[1:]) for column in store.execute(f"PRAGMA table_info({table})")]
            for table in sorted(tables)
        }
    store.close()
    return columns_by_table


def ballot(raw: list[Any]) -> Any:
    return product.Ballot(*raw)


def slots(raw: dict[str, list[Any]]) -> dict[int, Any]:
    return {
        int(version): product.AcceptorSlot(ballot(promised), ballot(accepted), content.encode())
        for version, (promised, accepted, content) in raw.items()
    }


def committed(raw: list[Any]) -> Any:
    return product.CommittedValue(raw[0], raw[1].encode())


def epoch(raw: list[Any]) -> Any:
    return product.Epoch(raw[0], tuple((member_id, address) for member_id, address in raw[1]))


def history(raw: dict[str, str]) -> dict[int, bytes]:
    return {int(version): bytes.fromhex(digest) for version, digest in raw.items()}


def test_golden_disks_have_the_expected_rows_and_schema(tmp_path: Path) -> None:
    for name in NAMES:
        folder = copy_disk(name, tmp_path / name)
        assert schema(folder) == CONTENTS["schema"]
        assert rows(folder) == CONTENTS["rows"][name]


@pytest.mark.parametrize("name", NAMES)
def test_stored_values_are_read_unchanged(name: str, tmp_path: Path) -> None:
    meaning = CONTENTS["meaning"][name]
    folder = copy_disk(name, tmp_path / name)
    store = product.NodeStore(folder)
    assert store.metadata() == meaning["meta"]
    assert store.committed() == committed(meaning["held"])
    assert store.history() == history(meaning["history"])
    assert store.slots() == slots(meaning["slots"])
    assert (store.backend_hints(), store.drain_records()) == (meaning["lives"], meaning["fences"])
    store.close()
    assert rows(folder) == CONTENTS["rows"][name]  # opening and closing the store changes no row
    assert schema(folder) == CONTENTS["schema"]
    assert [file.name for file in folder.iterdir()] == [product.STORE_FILE]  # no write-ahead log is left


@pytest.mark.parametrize("name", NAMES)
def test_stored_values_are_written_unchanged(name: str, tmp_path: Path) -> None:
    meaning = CONTENTS["meaning"][name]
    store = product.NodeStore(tmp_path / name)
    assert store.metadata() is None and store.committed() == product.CommittedValue() and not store.slots()
    store.save_consensus_state(
        meaning["meta"], committed(meaning["held"]), history(meaning["history"]), slots(meaning["slots"])
    )
    store.save_registry(meaning["lives"], meaning["fences"])
    store.close()
    assert schema(tmp_path / name) == CONTENTS["schema"]
    expected = CONTENTS["rows"][name]
    written = rows(tmp_path / name)
    assert written.pop("lives") == without_warmup(expected["lives"])
    assert written == {table: expected[table] for table in written}


def without_warmup(backends: list[list[Any]]) -> list[list[Any]]:
    """Return rows of backends without their warm-up time, which is not restored at startup."""
    restored = []
    for backend_id, body in backends:
        value = product.decode(bytes.fromhex(body))
        restored.append([backend_id, product.encode([*value[:6], 0, value[7]]).hex()])
    return restored


@pytest.mark.parametrize("name", NAMES)
def test_a_control_plane_node_continues_from_a_stored_disk(name: str, tmp_path: Path) -> None:
    meaning = CONTENTS["meaning"][name]
    metadata = meaning["meta"]
    folder = copy_disk(name, tmp_path / name)
    store = product.NodeStore(folder)
    acceptor = store.start_replica(metadata["seat"].removeprefix("@") or "127.0.77.3:18083")
    assert (acceptor.member_id, acceptor.bootstrap_id, acceptor.incarnation) == (
        metadata["disk"],
        metadata["seat"],
        metadata["life"] + 1,
    )
    assert acceptor.epoch == epoch(metadata["epoch"]) and acceptor.installed is metadata["installed"]
    assert acceptor.sealed_by == (epoch(metadata["sealed"]) if metadata["sealed"] else None)
    for request, expected in CONTENTS["exchanges"][name]:
        reply = store.handle_request(product.decode_consensus_message(bytes.fromhex(request)))
        assert product.encode_consensus_message(reply).hex() == expected
    after = CONTENTS["after"][name]
    assert store.metadata() == {**metadata, "life": metadata["life"] + 1, **after["meta"]}
    assert store.committed() == committed(after["held"]) and store.history() == history(after["history"])
    assert store.slots() == slots(after["slots"])
    store.close()
    second_start = product.NodeStore(folder)
    assert second_start.committed() == committed(after["held"]) and second_start.slots() == slots(
        after["slots"]
    )
    assert second_start.drain_records() == meaning["fences"]
    second_start.close()
    assert schema(folder) == CONTENTS["schema"]


def test_stored_backends_are_replaced_and_drain_records_are_kept(tmp_path: Path) -> None:
    store = product.NodeStore(copy_disk("undecided", tmp_path / "d"))
    new = ["orders", "10.0.0.5:8080", "south", 1.0, "up", 1, 0, 0]
    draining = ["orders", "10.0.0.5:8080", "south", 1.0, "draining", 2, 0, 0]
    store.save_registry({"b5": new}, {"b5": draining})
    assert store.backend_hints() == {"b5": new}
    assert store.drain_records() == {**CONTENTS["meaning"]["undecided"]["fences"], "b5": draining}
    store.close()
