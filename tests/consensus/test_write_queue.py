"""The order of writes, and of what rests on them."""

from __future__ import annotations

from meadowworks.consensus.messages import InstalledReply
from meadowworks.consensus.timing import WRITE_RETRY_DELAY_NS
from meadowworks.consensus.write_queue import IncarnationPersisted, PeerReply, WriteQueue
from tests.consensus.helpers import member

FIRST, SECOND = PeerReply("first", "a", InstalledReply(1)), PeerReply("second", "a", InstalledReply(2))


def test_what_rests_on_nothing_unwritten_is_ready_at_once() -> None:
    queue = WriteQueue(member("a"))
    queue.defer(IncarnationPersisted())
    assert list(queue.ready) == [IncarnationPersisted()]
    assert queue.next_write(0) is None


def test_what_comes_while_a_write_is_under_way_waits_for_the_write_that_holds_it() -> None:
    acceptor = member("a")
    queue = WriteQueue(acceptor)
    acceptor.learn(1, b"one")
    queue.defer(FIRST)
    write = queue.next_write(0)
    assert write is not None
    assert queue.next_write(0) is None  # one at a time
    acceptor.learn(2, b"two")
    queue.defer(SECOND)
    queue.on_persisted(write.write_id)
    assert list(queue.ready) == [FIRST]
    later = queue.next_write(0)
    assert later is not None
    assert later.update.committed is not None
    assert (later.update.committed.version, set(later.update.history)) == (2, {2})
    queue.on_persisted(later.write_id)
    assert list(queue.ready) == [FIRST, SECOND]


def test_a_write_that_was_refused_is_handed_out_again_as_it_was_and_not_before_its_time() -> None:
    acceptor = member("a")
    queue = WriteQueue(acceptor)
    acceptor.learn(1, b"one")
    queue.defer(FIRST)
    write = queue.next_write(0)
    queue.on_persist_failed(now_ns=0)
    acceptor.learn(2, b"two")
    assert queue.due_retry(WRITE_RETRY_DELAY_NS - 1) is None
    assert queue.due_retry(WRITE_RETRY_DELAY_NS) == write
    assert queue.due_retry(WRITE_RETRY_DELAY_NS) is None
    assert not queue.ready
