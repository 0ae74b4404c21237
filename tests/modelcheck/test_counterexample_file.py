"""Tests of counterexample files: written files can be read and replayed, invalid ones are rejected."""

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
    """The JSON object of the counterexample of a seeded fault."""
    search = find_fault(FAULT)
    assert search.counterexample
    return to_json(build_model("attempt", large=False), search.counterexample, large=False, fault_name=FAULT)


def write(directory: Path, stored: dict[str, object]) -> Path:
    file = directory / "path.json"
    file.write_text(json.dumps(stored), encoding="utf-8")
    return file


def test_written_file_is_read_back_and_violates_its_property_again(
    tmp_path: Path, stored: dict[str, object]
) -> None:
    counterexample = read_counterexample(write(tmp_path, stored))
    assert (counterexample.fault, counterexample.violates, counterexample.start_index) == (
        FAULT,
        stored["breaks"],
        stored["start"],
    )
    assert [list(step) for step in counterexample.steps] == stored["steps"]
    _, violated = replay_counterexample(counterexample)
    assert counterexample.violates in violated


def test_path_of_a_fault_violates_nothing_without_the_fault(
    tmp_path: Path, stored: dict[str, object]
) -> None:
    counterexample = read_counterexample(write(tmp_path, {**stored, "fault": ""}))
    _, violated = replay_counterexample(counterexample)
    assert not violated


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"form": 2}, "no path of form 1"),
        ({"start": True}, "start is missing or not of type int"),
        ({"large": 0}, "large is missing or not of type bool"),
        ({"steps": None}, "steps is not a list of steps"),
        ({"cycle": [[]]}, "step 1 of cycle must be a list"),
    ],
)
def test_invalid_file_is_rejected_with_the_reason(
    tmp_path: Path, stored: dict[str, object], changes: dict[str, object], message: str
) -> None:
    with pytest.raises(CounterexampleFileError, match=message):
        read_counterexample(write(tmp_path, {**stored, **changes}))


def test_unknown_model_or_fault_is_rejected(tmp_path: Path, stored: dict[str, object]) -> None:
    for changes in ({"model": "none"}, {"fault": "none"}):
        counterexample = read_counterexample(write(tmp_path, {**stored, **changes}))
        with pytest.raises(UnknownNameError):
            replay_counterexample(counterexample)
