"""Disks that signalboxes of an older text left: opened, read, gone on with, and written the same way.

The files in `golden/disks/` were left by three signalboxes of commit f7b5d76 that founded an epoch, took
versions 1 and 2, replaced a wiped disk (epoch 2), took version 3, and heard of backends of which one drains
and one left. `undecided` accepted a version 5 that nobody finished, `promised` holds promises alone, `sealed`
knows its epoch to be over, `left` was handed over and taken away in epoch 1, and `killed` is `promised` as
SIGKILL leaves it: with its write-ahead log.
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


def copied(name: str, to: Path) -> Path:
    """A copy of a disk's folder, as the product finds it at a start."""
    to.mkdir()
    for file in (DISKS / name).iterdir():
        if file.suffix == ".gz":
            (to / file.stem).write_bytes(gzip.decompress(file.read_bytes()))
        else:
            shutil.copy(file, to / file.name)
    return to


def plain(row: tuple[Any, ...]) -> list[Any]:
    return [cell.hex() if isinstance(cell, bytes) else cell for cell in row]


def rows(folder: Path) -> dict[str, list[list[Any]]]:
    """All rows of a closed disk by table, read without the product."""
    with sqlite3.connect(folder / product.STORE_FILE) as store:
        tables = [name for (name,) in store.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        found = {
            table: [plain(row) for row in store.execute(f"SELECT * FROM {table} ORDER BY 1")]
            for table in sorted(tables)
        }
    store.close()
    return found


def schema(folder: Path) -> dict[str, list[list[Any]]]:
    """Columns by table: name, type, not null, default, place in the primary key."""
    with sqlite3.connect(folder / product.STORE_FILE) as store:
        others = store.execute("SELECT name FROM sqlite_master WHERE type <> 'table' AND sql IS NOT NULL")
        assert not others.fetchall()
        tables = [name for (name,) in store.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        found = {
            table: [list(column[1:]) for column in store.execute(f"PRAGMA table_info({table})")]
            for table in sorted(tables)
        }
    store.close()
    return found


def ballot(raw: list[Any]) -> Any:
    return product.Ballot(*raw)


def slots(raw: dict[str, list[Any]]) -> dict[int, Any]:
    return {
        int(version): product.Slot(ballot(promised), ballot(accepted), content.encode())
        for version, (promised, accepted, content) in raw.items()
    }


def held(raw: list[Any]) -> Any:
    return product.Held(raw[0], raw[1].encode())


def epoch(raw: list[Any]) -> Any:
    return product.Epoch(raw[0], tuple((disk, address) for disk, address in raw[1]))


def history(raw: dict[str, str]) -> dict[int, bytes]:
    return {int(version): bytes.fromhex(digest) for version, digest in raw.items()}


def test_the_files_are_what_they_were(tmp_path: Path) -> None:
    for name in NAMES:
        folder = copied(name, tmp_path / name)
        assert schema(folder) == CONTENTS["schema"]
        assert rows(folder) == CONTENTS["rows"][name]


@pytest.mark.parametrize("name", NAMES)
def test_a_disk_is_read_back_exactly(name: str, tmp_path: Path) -> None:
    meaning = CONTENTS["meaning"][name]
    folder = copied(name, tmp_path / name)
    store = product.Store(folder)
    assert store.meta() == meaning["meta"]
    assert store.held() == held(meaning["held"])
    assert store.history() == history(meaning["history"])
    assert store.slots() == slots(meaning["slots"])
    assert (store.lives(), store.fences()) == (meaning["lives"], meaning["fences"])
    store.close()
    assert rows(folder) == CONTENTS["rows"][name]  # to open it has changed nothing
    assert schema(folder) == CONTENTS["schema"]
    assert [file.name for file in folder.iterdir()] == [product.STORE_FILE]  # no log is left by a clean end


@pytest.mark.parametrize("name", NAMES)
def test_the_same_values_are_written_as_ever(name: str, tmp_path: Path) -> None:
    meaning = CONTENTS["meaning"][name]
    store = product.Store(tmp_path / name)
    assert store.meta() is None and store.held() == product.Held() and not store.slots()
    store.write(meaning["meta"], held(meaning["held"]), history(meaning["history"]), slots(meaning["slots"]))
    store.keep(meaning["lives"], meaning["fences"])
    store.close()
    assert schema(tmp_path / name) == CONTENTS["schema"]
    wanted = CONTENTS["rows"][name]
    found = rows(tmp_path / name)
    assert found.pop("lives") == restored(wanted["lives"])
    assert found == {table: wanted[table] for table in found}


def restored(lives: list[list[Any]]) -> list[list[Any]]:
    """As a start says lives again: without the time that they are slow."""
    found = []
    for ident, body in lives:
        value = product.unpack(bytes.fromhex(body))
        found.append([ident, product.pack([*value[:6], 0, value[7]]).hex()])
    return found


@pytest.mark.parametrize("name", NAMES)
def test_a_signalbox_goes_on_from_a_disk(name: str, tmp_path: Path) -> None:
    meaning = CONTENTS["meaning"][name]
    meta = meaning["meta"]
    folder = copied(name, tmp_path / name)
    store = product.Store(folder)
    acceptor = store.start(meta["seat"].removeprefix("@") or "127.0.77.3:18083")
    assert (acceptor.member_id, acceptor.bootstrap_id, acceptor.incarnation) == (
        meta["disk"],
        meta["seat"],
        meta["life"] + 1,
    )
    assert acceptor.epoch == epoch(meta["epoch"]) and acceptor.installed is meta["installed"]
    assert acceptor.sealed_by == (epoch(meta["sealed"]) if meta["sealed"] else None)
    for question, answer in CONTENTS["exchanges"][name]:
        reply = store.request(product.decode_letter(bytes.fromhex(question)))
        assert product.encode_letter(reply).hex() == answer
    after = CONTENTS["after"][name]
    assert store.meta() == {**meta, "life": meta["life"] + 1, **after["meta"]}
    assert store.held() == held(after["held"]) and store.history() == history(after["history"])
    assert store.slots() == slots(after["slots"])
    store.close()
    again = product.Store(folder)  # a second start
    assert again.held() == held(after["held"]) and again.slots() == slots(after["slots"])
    assert again.fences() == meaning["fences"]
    again.close()
    assert schema(folder) == CONTENTS["schema"]


def test_what_is_kept_of_backends_is_replaced_and_what_is_over_goes(tmp_path: Path) -> None:
    store = product.Store(copied("undecided", tmp_path / "d"))
    new = ["orders", "10.0.0.5:8080", "south", 1.0, "up", 1, 0, 0]
    drains = ["orders", "10.0.0.5:8080", "south", 1.0, "draining", 2, 0, 0]
    store.keep({"b5": new}, {"b5": drains})
    assert store.lives() == {"b5": new}
    assert store.fences() == {**CONTENTS["meaning"]["undecided"]["fences"], "b5": drains}
    store.close()
