"""The hand-over of a member that leaves."""

from __future__ import annotations

from meadowworks.consensus.outcomes import QuorumReadResult
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.values import (
    CommittedValue,
    digest,
)
from tests.consensus.helpers import ABC, member


def test_what_a_leaver_alone_holds_is_on_a_majority_of_the_others_when_it_ends() -> None:
    a, b, c = (member(disk) for disk in "abc")
    c.learn(4, b"four", {3: b"3" * 16}.items())
    op = StateTransfer(ABC, "c", c.committed, c.digest_history())
    asked = [disk for disk, _ in op.unanswered_members()]
    assert asked == ["a", "b"]
    assert not op.on_reply("a", a.handle(op.request()))
    assert not op.on_reply("a", a.handle(op.request()))
    assert not op.on_reply("c", c.handle(op.request()))
    assert not op.on_reply("x", c.handle(op.request()))
    assert op.on_reply("b", b.handle(op.request()))
    assert op.outcome == QuorumReadResult(4, 4, "")
    for one in (a, b):
        assert one.committed == CommittedValue(4, b"four")
        assert one.history == {3: b"3" * 16, 4: digest(b"four")}
        assert one.committed_changed
