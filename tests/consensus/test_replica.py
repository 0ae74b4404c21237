"""A replica as a machine: shutting down, and what leaves before its first write."""

from __future__ import annotations

from meadowworks.consensus.effects import Committed, CompleteOperation, Persist, SendRequest
from meadowworks.consensus.messages import (
    StaleEpochReply,
)
from meadowworks.consensus.operations import LEAVE_WAITER_ID
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import SECOND_NS
from meadowworks.consensus.values import (
    Epoch,
)
from tests.consensus.helpers import A, B, C, D, member, started_replica


def test_a_leaver_waits_until_the_epoch_without_it_has_a_majority() -> None:
    before, after = Epoch(1, (A, B, C, D)), Epoch(2, (A, B, C))
    replica = started_replica(member("d", before))
    replica.leave(0, 9 * SECOND_NS)
    replica.take_effects()
    (job,) = replica.operations
    question = max(number for number, (_, turn, _) in replica.pending_requests.items() if turn)
    replica.on_reply(1, question, "a", StaleEpochReply(after))  # at one of three
    replica.tick(SECOND_NS)
    asked = [effect for effect in replica.take_effects() if isinstance(effect, SendRequest)]
    assert {ask.address for ask in asked} == {"h:0", "h:1", "h:2"}
    assert job in replica.operations
    one, two, _ = asked
    replica.on_reply(SECOND_NS, one.request_id, "a", member("a", after).handle(one.request))
    assert not any(isinstance(effect, CompleteOperation) for effect in replica.take_effects())
    replica.on_reply(SECOND_NS, two.request_id, "b", member("b", after).handle(two.request))
    assert CompleteOperation(LEAVE_WAITER_ID, Committed()) in replica.take_effects()


def test_nothing_is_asked_before_the_life_is_on_the_disk() -> None:
    replica = Replica(member("d", Epoch(1, (A, B, C, D))), 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take_effects()
    assert isinstance(write, Persist)
    replica.leave(1, 9 * SECOND_NS)
    replica.tick(SECOND_NS)
    assert not any(isinstance(effect, SendRequest) for effect in replica.take_effects())
    replica.on_persisted(SECOND_NS, write.write_id)
    replica.tick(2 * SECOND_NS)
    assert any(isinstance(effect, SendRequest) for effect in replica.take_effects())
