"""Counterexamples as files: what is written is read back and replayed, what is no path is refused."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from meadowworks.modelcheck.catalog import UnknownNameError, build_model
from meadowworks.modelcheck.counterexample_file import (
    CounterexampleFileError,
    read_counterexample,
    replay_counterexample,
    to_json,
)
from meadowworks.modelcheck.fault_search import find_fault

FAULT = "one further try too many"


@pytest.fixture(scope="module")
def stored() -> dict[str, object]:
    """The counterexample of a seeded fault, as it goes into a file."""
    search = find_fault(FAULT)
    assert search.counterexample
    return to_json(build_model("attempt", large=False), search.counterexample, large=False, fault_name=FAULT)


def write(folder: Path, stored: dict[str, object]) -> Path:
    file = folder / "path.json"
    file.write_text(json.dumps(stored), encoding="utf-8")
    return file


def test_a_file_is_read_as_it_was_written_and_breaks_its_property_again(
    tmp_path: Path, stored: dict[str, object]
) -> None:
    found = read_counterexample(write(tmp_path, stored))
    assert (found.fault, found.violates, found.start_index) == (FAULT, stored["breaks"], stored["start"])
    assert [list(step) for step in found.steps] == stored["steps"]
    _, broken = replay_counterexample(found)
    assert found.violates in broken


def test_the_path_of_a_fault_holds_without_it(tmp_path: Path, stored: dict[str, object]) -> None:
    found = read_counterexample(write(tmp_path, {**stored, "fault": ""}))
    _, broken = replay_counterexample(found)
    assert not broken


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"form": 2}, "no path of form 1"),
        ({"start": True}, "start is missing or no int"),
        ({"large": 0}, "large is missing or no bool"),
        ({"steps": None}, "steps is no list of steps"),
        ({"cycle": [[]]}, "step 1 of cycle makes no sense"),
    ],
)
def test_what_is_no_path_is_refused_with_the_reason(
    tmp_path: Path, stored: dict[str, object], changes: dict[str, object], said: str
) -> None:
    with pytest.raises(CounterexampleFileError, match=said):
        read_counterexample(write(tmp_path, {**stored, **changes}))


def test_an_unknown_model_or_fault_is_refused(tmp_path: Path, stored: dict[str, object]) -> None:
    for changes in ({"model": "none"}, {"fault": "none"}):
        found = read_counterexample(write(tmp_path, {**stored, **changes}))
        with pytest.raises(UnknownNameError):
            replay_counterexample(found)
