"""Tests that each seeded fault fits the code and is found by a property."""

from __future__ import annotations

import os
from dataclasses import replace
from types import CodeType

import pytest

from meadowworks.modelcheck.catalog import MODELS, SEEDED_FAULTS, build_model
from meadowworks.modelcheck.fault_search import find_faults
from meadowworks.modelcheck.model import reported_properties
from meadowworks.modelcheck.seeded_fault import injected_fault, target_function


def bytecode_of(code: CodeType) -> tuple[bytes, str, str]:
    return code.co_code, repr(code.co_consts), repr(code.co_names)


def test_every_seeded_fault_fits_the_code_and_is_removed_afterwards() -> None:
    assert len({fault.name for fault in SEEDED_FAULTS}) == len(SEEDED_FAULTS) >= 25
    for fault in SEEDED_FAULTS:
        function = target_function(fault.target)
        code = function.__code__
        with injected_fault(fault):
            assert function.__code__ is not code
            assert bytecode_of(function.__code__) != bytecode_of(code)
        assert function.__code__ is code
        reported = reported_properties(build_model(fault.model, fault.large))
        assert set(fault.violates) <= {name for name, _ in reported}


def test_missing_guard_is_reported_as_an_error() -> None:
    with (
        pytest.raises(ValueError, match="occurs 0 times"),
        injected_fault(replace(SEEDED_FAULTS[0], original="no such text")),
    ):
        pass


def test_each_fault_is_found_and_replayed_and_each_property_finds_a_fault() -> None:
    names = [fault.name for fault in SEEDED_FAULTS]
    reported: dict[str, set[str]] = {name: set() for name in MODELS}
    missed = []
    for search in find_faults(names, os.cpu_count() or 1):
        if search.found and search.counterexample:
            reported[search.fault.model].add(search.counterexample.name)
        else:
            missed.append(search.fault.name)
    assert not missed
    for name in MODELS:  # a property that finds no fault may be unable to fail
        model = build_model(name, False)
        assert {prop.name for prop in model.properties} | {prop.name for prop in model.liveness} <= reported[
            name
        ]
