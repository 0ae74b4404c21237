"""State transfer of a leaving member."""

from __future__ import annotations

from meadowworks.consensus.outcomes import QuorumReadResult
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.values import (
    CommittedValue,
    digest,
)
from tests.consensus.helpers import ABC, member


def test_the_committed_value_is_on_a_majority_of_the_other_members_after_a_transfer() -> None:
    a, b, c = (member(member_id) for member_id in "abc")
    c.learn(4, b"four", {3: b"3" * 16}.items())
    transfer = StateTransfer(ABC, "c", c.committed, c.digest_history())
    unanswered = [member_id for member_id, _ in transfer.unanswered_members()]
    assert unanswered == ["a", "b"]
    assert not transfer.on_reply("a", a.handle(transfer.request()))
    assert not transfer.on_reply("a", a.handle(transfer.request()))
    assert not transfer.on_reply("c", c.handle(transfer.request()))
    assert not transfer.on_reply("x", c.handle(transfer.request()))
    assert transfer.on_reply("b", b.handle(transfer.request()))
    assert transfer.outcome == QuorumReadResult(4, 4, "")
    for acceptor in (a, b):
        assert acceptor.committed == CommittedValue(4, b"four")
        assert acceptor.history == {3: b"3" * 16, 4: digest(b"four")}
        assert acceptor.committed_changed
