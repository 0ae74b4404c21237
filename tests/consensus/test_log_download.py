"""The receiver's side of a log transfer, and the logs that a member may join an epoch with."""

from __future__ import annotations

from dataclasses import replace

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.log_download import LogDownload, Stage
from meadowworks.consensus.log_sender import MAX_PIECE_BYTES, reply_to_reader
from meadowworks.consensus.messages import InstalledReply, LogMissingReply, NotAMemberReply
from meadowworks.consensus.replicated_log import (
    MIN_RETAINED_ENTRY_BYTES,
    NO_POSITION,
    RETENTION_CHECKS,
    Entry,
    EntryPosition,
    FetchedLog,
    LogSnapshot,
    LogSource,
    ReplicatedLog,
)
from meadowworks.consensus.transfer_messages import SnapshotChunkReply
from meadowworks.consensus.values import NOTHING_COMMITTED, AcceptorState, Epoch, Term
from tests.consensus.helpers import ABC, A, B, C, member

FIRST, SECOND = Term(1, 1), Term(1, 2)
NEXT_EPOCH = Epoch(2, (A, B, C))
NO_REGISTERS = AcceptorState(NOTHING_COMMITTED, (), ())
SNAPSHOT = LogSnapshot(3, FIRST, bytes(MAX_PIECE_BYTES) + b"end")


def log_of(*terms: Term, epoch: int = 1) -> ReplicatedLog:
    return ReplicatedLog(epoch, max(terms), entries=[Entry(term, b"%d" % term.number) for term in terms])


def compacted_log(entry_count: int = 2) -> ReplicatedLog:
    """Return a log with a snapshot of two pieces and some entries after it."""
    log = ReplicatedLog(1, FIRST, base=EntryPosition(FIRST, 3), snapshot=SNAPSHOT)
    for number in range(entry_count):
        log.append(Entry(FIRST, b"%d" % number))
    return log


def exchange(download: LogDownload, sender: ReplicatedLog) -> None:
    download.on_reply(reply_to_reader(sender, download.request(1)))


def fetch(own: ReplicatedLog, sender: ReplicatedLog, required: EntryPosition) -> FetchedLog:
    download = LogDownload(own, required)
    for _ in range(20):
        if (fetched := download.fetched) is not None:
            return fetched
        exchange(download, sender)
        assert not download.has_failed
    raise AssertionError("the transfer does not end")


def acceptor_with(log: ReplicatedLog) -> Acceptor:
    acceptor = member("a")
    acceptor.log = log
    return acceptor


def test_an_empty_log_receives_the_snapshot_in_pieces_and_then_the_entries() -> None:
    sender = compacted_log()
    fetched = fetch(ReplicatedLog(), sender, sender.last_position)
    assert fetched == FetchedLog(EntryPosition(FIRST, 3), SNAPSHOT, tuple(sender.entries))


def test_a_log_that_is_behind_receives_the_missing_entries_alone() -> None:
    own, sender = log_of(FIRST, FIRST), log_of(FIRST, FIRST, FIRST, SECOND)
    fetched = fetch(own, sender, sender.last_position)
    assert fetched == FetchedLog(EntryPosition(FIRST, 2), None, tuple(sender.entries[2:]))


def test_uncommitted_entries_that_the_sender_lacks_are_replaced() -> None:
    own, sender = log_of(*[FIRST] * 8), log_of(FIRST, FIRST, SECOND, SECOND)
    fetched = fetch(own, sender, sender.last_position)
    assert own.accept(2, fetched)
    assert own.entries == sender.entries
    assert own.last_position == sender.last_position


def test_a_log_whose_end_the_sender_has_compacted_receives_the_snapshot() -> None:
    sender = compacted_log()
    fetched = fetch(log_of(FIRST), sender, sender.last_position)
    assert fetched.snapshot == SNAPSHOT


def test_pieces_that_come_twice_or_late_are_ignored() -> None:
    download, sender = LogDownload(ReplicatedLog(), EntryPosition(FIRST, 5)), compacted_log()
    first_chunk = reply_to_reader(sender, download.request(1))
    download.on_reply(first_chunk)
    download.on_reply(first_chunk)
    exchange(download, sender)
    entries = reply_to_reader(sender, download.request(1))
    download.on_reply(first_chunk)
    download.on_reply(entries)
    download.on_reply(entries)
    assert download.fetched == FetchedLog(EntryPosition(FIRST, 3), SNAPSHOT, tuple(sender.entries))


def test_another_sender_with_the_same_snapshot_continues_and_with_another_one_begins_anew() -> None:
    download = LogDownload(ReplicatedLog(), EntryPosition(FIRST, 5))
    exchange(download, compacted_log())
    exchange(download, compacted_log())
    assert download.stage is Stage.ENTRIES
    download = LogDownload(ReplicatedLog(), EntryPosition(FIRST, 5))
    exchange(download, compacted_log())
    other = compacted_log()
    other.snapshot = replace(SNAPSHOT, content=b"x" + SNAPSHOT.content)
    exchange(download, other)
    assert download.stage is Stage.SNAPSHOT
    exchange(download, other)
    fetched = download.fetched
    assert fetched is None or fetched.snapshot == other.snapshot


# Chunks of two snapshots under one identity would restore a state that no node has.
def test_a_snapshot_with_another_digest_is_not_used() -> None:
    download = LogDownload(ReplicatedLog(), NO_POSITION)
    download.on_reply(SnapshotChunkReply(EntryPosition(FIRST, 3), 3, b"digest of another", 0, b"abc"))
    assert download.has_failed
    assert download.fetched is None


def test_a_sender_that_lacks_what_is_required_fails_the_transfer() -> None:
    download, sender = LogDownload(log_of(FIRST), EntryPosition(SECOND, 9)), log_of(FIRST, FIRST)
    exchange(download, sender)
    exchange(download, sender)
    assert download.has_failed


def test_entries_after_the_snapshot_that_was_read_are_kept_until_no_one_reads() -> None:
    sender, download = compacted_log(4), LogDownload(ReplicatedLog(), EntryPosition(FIRST, 7))
    exchange(download, sender)
    sender.compact(6, b"later")
    exchange(download, sender)
    exchange(download, sender)
    assert download.fetched is not None
    for _ in range(RETENTION_CHECKS + 1):
        sender.check_retention()
    assert sender.retained is None


def test_a_retained_snapshot_is_dropped_when_the_entries_after_it_outgrow_it() -> None:
    sender = compacted_log(0)
    sender.retain_snapshot()
    sender.append(Entry(FIRST, bytes(MIN_RETAINED_ENTRY_BYTES + 1)))
    sender.compact(4, b"later")
    assert sender.retained is None


def test_a_member_that_is_ahead_of_the_source_keeps_its_log() -> None:
    acceptor = acceptor_with(log_of(FIRST, FIRST, SECOND))
    reply = acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, LogSource(EntryPosition(FIRST, 2), "h:1"))
    assert reply == InstalledReply(2)
    assert acceptor.log is not None
    assert len(acceptor.log.entries) == 3
    assert acceptor.log.epoch == 2


def test_a_member_joins_no_epoch_before_its_log_reaches_the_source() -> None:
    acceptor, source = acceptor_with(log_of(FIRST, FIRST)), LogSource(EntryPosition(SECOND, 3), "h:1")
    assert acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, source) == LogMissingReply(1)
    assert acceptor.epoch == ABC
    acceptor.fetched_log = FetchedLog(EntryPosition(FIRST, 2), None, (Entry(FIRST, b"3"),))
    assert acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, source) == LogMissingReply(1)
    # The own log has changed since the transfer began, so that the fetched entries don't follow it.
    acceptor.fetched_log = FetchedLog(EntryPosition(SECOND, 2), None, (Entry(SECOND, b"3"),))
    assert acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, source) == LogMissingReply(1)
    acceptor.fetched_log = FetchedLog(EntryPosition(FIRST, 2), None, (Entry(SECOND, b"3"),))
    assert acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, source) == InstalledReply(2)


def test_a_replica_that_is_no_member_fetches_no_log() -> None:
    acceptor = member("d")
    acceptor.log = ReplicatedLog()
    source = LogSource(EntryPosition(SECOND, 3), "h:1")
    assert acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, source) == NotAMemberReply(1)


def test_a_repeated_install_changes_nothing() -> None:
    acceptor, source = acceptor_with(log_of(FIRST)), LogSource(EntryPosition(FIRST, 1), "h:1")
    acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, source)
    assert acceptor.log is not None
    acceptor.log.append(Entry(Term(2, 1), b"new"))
    later = LogSource(EntryPosition(Term(2, 1), 9), "h:2")
    assert acceptor.install_at(NEXT_EPOCH, NO_REGISTERS, later) == InstalledReply(2)
    assert len(acceptor.log.entries) == 2
