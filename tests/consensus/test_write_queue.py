"""The order of writes and of the items that depend on them."""

from __future__ import annotations

from meadowworks.consensus.messages import InstalledReply
from meadowworks.consensus.timing import WRITE_RETRY_DELAY_NS
from meadowworks.consensus.write_queue import IncarnationPersisted, PeerReply, WriteQueue
from tests.consensus.helpers import member

FIRST, SECOND = PeerReply("first", "a", InstalledReply(1)), PeerReply("second", "a", InstalledReply(2))


def test_an_item_that_depends_on_no_change_is_ready_at_once() -> None:
    queue = WriteQueue(member("a"))
    queue.defer(IncarnationPersisted())
    assert list(queue.ready) == [IncarnationPersisted()]
    assert queue.next_write(0) is None


def test_an_item_deferred_during_a_write_waits_for_the_next_write() -> None:
    acceptor = member("a")
    queue = WriteQueue(acceptor)
    acceptor.learn(1, b"one")
    queue.defer(FIRST)
    write = queue.next_write(0)
    assert write is not None
    assert queue.next_write(0) is None  # one write at a time
    acceptor.learn(2, b"two")
    queue.defer(SECOND)
    queue.on_persisted(write.write_id)
    assert list(queue.ready) == [FIRST]
    second_write = queue.next_write(0)
    assert second_write is not None
    assert second_write.update.committed is not None
    assert (second_write.update.committed.version, set(second_write.update.history)) == (2, {2})
    queue.on_persisted(second_write.write_id)
    assert list(queue.ready) == [FIRST, SECOND]


def test_a_rejected_write_is_retried_unchanged_after_the_delay() -> None:
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
