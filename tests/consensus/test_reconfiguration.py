"""A change of members while the network is cut."""

from __future__ import annotations

import pytest

from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.outcomes import Chosen, EpochChanged
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import (
    Epoch,
)
from tests.consensus.helpers import ABC, A, B, C, D, member, proposer, run_call


@pytest.mark.parametrize("carried", [False, True])
def test_no_two_majorities_stand_on_the_two_sides_of_a_cut_during_a_replacement(carried: bool) -> None:
    a, b, c = (member(disk) for disk in "abc")
    d = load_acceptor(None, new_member_id="d", address="h:3", seeds=(), bootstrap=False, voting=True)
    if carried:  # d enters with a and b while a still runs
        assert run_call(Reconfiguration(ABC, Epoch(2, (A, B, C, D))), [a, b, d]) == EpochChanged(
            Epoch(2, (A, B, C, D)), False
        )
    sides = [
        run_call(proposer(box, content), reached)
        for box, content, reached in (
            (a, b"X", [a, c]),
            (b, b"Y", [b, d]),
        )
    ]
    chosen = [found for found in sides if isinstance(found, Chosen)]
    assert len(chosen) == (0 if carried else 1)  # before it, a and c are two of three; after it, of four
