"""Recovery of an acceptor from its disk after a power failure."""

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


def test_an_acceptor_is_restored_from_its_disk_after_a_power_failure(tmp_path: Path) -> None:
    def load(store: SqliteStore) -> Acceptor:
        stored = store.load()
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

    store = SqliteStore(tmp_path / "d")
    assert store.load().metadata is None
    replica = Replica(load(store), 0, lambda: 0.5)
    acceptor = replica.acceptor
    acceptor.install(Epoch(1, (("d", "h:1"),)), acceptor.export_state())
    acceptor.handle(PrepareRequest(1, 3, Ballot(1, 4, "p")))
    acceptor.handle(AcceptRequest(1, 3, Ballot(1, 4, "p"), b"three"))
    store.save(replica.writes.collect_update())
    shutil.copytree(tmp_path / "d", tmp_path / "after")  # copied while open, as after a power failure
    acceptor.learn(3, b"three")
    store.save(replica.writes.collect_update())
    shutil.copytree(tmp_path / "d", tmp_path / "later")
    restored = load(SqliteStore(tmp_path / "after"))
    assert restored.member_id == "d"
    assert restored.may_vote()
    assert restored.epoch == acceptor.epoch
    assert restored.handle(PrepareRequest(1, 3, Ballot(1, 3, "q"))) == BallotRejectedReply(Ballot(1, 4, "p"))
    promised = PromiseReply(Ballot(1, 5, "q"), Ballot(1, 4, "p"), b"three")
    assert restored.handle(PrepareRequest(1, 3, Ballot(1, 5, "q"))) == promised
    later = load(SqliteStore(tmp_path / "later"))
    assert later.committed == CommittedValue(3, b"three")
    assert not later.slots
    assert later.history == {3: digest(b"three")}
    assert isinstance(later.handle(PrepareRequest(1, 2, Ballot(1, 9, "q"))), VersionDecidedReply)
