"""Membership changes during a network partition."""

from __future__ import annotations

import pytest

from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.outcomes import Chosen, EpochChanged
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import (
    Epoch,
)
from tests.consensus.helpers import ABC, A, B, C, D, member, new_proposer, run_call


@pytest.mark.parametrize("completed", [False, True])
def test_at_most_one_side_of_a_partition_has_a_majority_during_a_replacement(completed: bool) -> None:
    a, b, c = (member(member_id) for member_id in "abc")
    d = load_acceptor(None, new_member_id="d", address="h:3", seeds=(), bootstrap=False, voting=True)
    if completed:  # d is added by a and b
        assert run_call(Reconfiguration(ABC, Epoch(2, (A, B, C, D))), [a, b, d]) == EpochChanged(
            Epoch(2, (A, B, C, D)), False
        )
    outcomes = [
        run_call(new_proposer(acceptor, value), reachable)
        for acceptor, value, reachable in (
            (a, b"X", [a, c]),
            (b, b"Y", [b, d]),
        )
    ]
    chosen = [outcome for outcome in outcomes if isinstance(outcome, Chosen)]
    assert len(chosen) == (0 if completed else 1)  # a and c are two of three members, then two of four
