"""Replicas: leaving, and requests before the first write."""

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


def test_a_leaving_replica_waits_for_a_majority_of_the_epoch_without_it() -> None:
    old_epoch, new_epoch = Epoch(1, (A, B, C, D)), Epoch(2, (A, B, C))
    replica = started_replica(member("d", old_epoch))
    replica.leave(0, 9 * SECOND_NS)
    replica.take_effects()
    (operation_id,) = replica.operations
    request_id = max(key for key, (_, round_number, _) in replica.pending_requests.items() if round_number)
    replica.on_reply(1, request_id, "a", StaleEpochReply(new_epoch))  # one of three members
    replica.tick(SECOND_NS)
    requests = [effect for effect in replica.take_effects() if isinstance(effect, SendRequest)]
    assert {effect.address for effect in requests} == {"h:0", "h:1", "h:2"}
    assert operation_id in replica.operations
    first, second, _ = requests
    replica.on_reply(SECOND_NS, first.request_id, "a", member("a", new_epoch).handle(first.request))
    assert not any(isinstance(effect, CompleteOperation) for effect in replica.take_effects())
    replica.on_reply(SECOND_NS, second.request_id, "b", member("b", new_epoch).handle(second.request))
    assert CompleteOperation(LEAVE_WAITER_ID, Committed()) in replica.take_effects()


def test_no_request_is_sent_before_the_incarnation_is_on_disk() -> None:
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
