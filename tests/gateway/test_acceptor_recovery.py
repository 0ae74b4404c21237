"""The acceptor after a loss of power: what was saved is there."""

from __future__ import annotations

import shutil
from pathlib import Path

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptRequest,
    BallotRejectedReply,
    PrepareRequest,
    PromiseReply,
    VersionDecidedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import Ballot, CommittedValue, Epoch, digest
from meadowworks.storage.sqlite_store import SqliteStore


def test_an_acceptor_restores_what_it_has_saved_after_a_loss_of_power(tmp_path: Path) -> None:
    def acceptor(disk: SqliteStore) -> Acceptor:
        stored = disk.load()
        return load_acceptor(
            stored.metadata,
            new_member_id="d",
            address="h:1",
            seeds=("h:1",),
            bootstrap=True,
            voting=True,
            committed=stored.committed,
            history=stored.history,
            slots=stored.slots,
        )

    disk = SqliteStore(tmp_path / "d")
    assert disk.load().metadata is None
    replica = Replica(acceptor(disk), 0, lambda: 0.5)
    found = replica.acceptor
    found.install(Epoch(1, (("d", "h:1"),)), found.export_state())
    found.handle(PrepareRequest(1, 3, Ballot(1, 4, "p")))
    found.handle(AcceptRequest(1, 3, Ballot(1, 4, "p"), b"three"))
    disk.save(replica.writes.collect_update())
    shutil.copytree(tmp_path / "d", tmp_path / "after")  # as the power goes: what is on the disk, unclosed
    found.learn(3, b"three")
    disk.save(replica.writes.collect_update())
    shutil.copytree(tmp_path / "d", tmp_path / "later")
    again = acceptor(SqliteStore(tmp_path / "after"))
    assert again.member_id == "d"
    assert again.may_vote()
    assert again.epoch == found.epoch
    assert again.handle(PrepareRequest(1, 3, Ballot(1, 3, "q"))) == BallotRejectedReply(Ballot(1, 4, "p"))
    promised = PromiseReply(Ballot(1, 5, "q"), Ballot(1, 4, "p"), b"three")
    assert again.handle(PrepareRequest(1, 3, Ballot(1, 5, "q"))) == promised
    later = acceptor(SqliteStore(tmp_path / "later"))
    assert later.committed == CommittedValue(3, b"three")
    assert not later.slots
    assert later.history == {3: digest(b"three")}
    assert isinstance(later.handle(PrepareRequest(1, 2, Ballot(1, 9, "q"))), VersionDecidedReply)
