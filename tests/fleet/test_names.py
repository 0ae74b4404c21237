"""Tests the indices of names."""

from __future__ import annotations

from meadowworks.fleet.names import NameIndex


def test_released_name_gets_new_index() -> None:
    names = NameIndex()
    old = names.index("s-1")
    names.release(old)
    assert not names.name_by_index and names.index("s-1") != old and len(names.index_by_name) == 1
