"""The table of seeded faults fits the code, and each fault is found."""

from __future__ import annotations

import os
from dataclasses import replace
from types import CodeType

import pytest

from meadowworks.modelcheck.catalog import MODELS, SEEDED_FAULTS, build_model
from meadowworks.modelcheck.fault_search import find_faults
from meadowworks.modelcheck.model import reported_properties
from meadowworks.modelcheck.seeded_fault import injected_fault, target_function


def text_of(code: CodeType) -> tuple[bytes, str, str]:
    return code.co_code, repr(code.co_consts), repr(code.co_names)


def test_every_fault_of_the_table_fits_the_code_and_leaves_no_trace() -> None:
    assert len({fault.name for fault in SEEDED_FAULTS}) == len(SEEDED_FAULTS) >= 25
    for fault in SEEDED_FAULTS:
        function = target_function(fault.target)
        code = function.__code__
        with injected_fault(fault):
            assert function.__code__ is not code
            assert text_of(function.__code__) != text_of(code)
        assert function.__code__ is code
        reported = reported_properties(build_model(fault.model, fault.large))
        assert set(fault.violates) <= {name for name, _ in reported}


def test_a_guard_that_is_not_there_is_an_error_in_the_table() -> None:
    with (
        pytest.raises(ValueError, match="stands 0 times"),
        injected_fault(replace(SEEDED_FAULTS[0], original="no such text")),
    ):
        pass


def test_the_seeded_faults_are_found_their_paths_play_again_and_each_property_is_reported() -> None:
    names = [fault.name for fault in SEEDED_FAULTS]
    reported: dict[str, set[str]] = {name: set() for name in MODELS}
    missed = []
    for one in find_faults(names, os.cpu_count() or 1):
        if one.found and one.counterexample:
            reported[one.fault.model].add(one.counterexample.name)
        else:
            missed.append(one.fault.name)
    assert not missed
    for name in MODELS:  # a property that no fault is found by cannot fail, as far as anybody has seen
        model = build_model(name, False)
        assert {p.name for p in model.properties} | {live.name for live in model.liveness} <= reported[name]
