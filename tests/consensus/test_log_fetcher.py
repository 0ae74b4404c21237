"""The transfer of a log to a replica: what starts it and what ends it."""

from __future__ import annotations

from meadowworks.consensus.log_fetcher import LogFetcher
from meadowworks.consensus.log_sender import reply_to_reader
from meadowworks.consensus.messages import InstallPositionRequest
from meadowworks.consensus.replicated_log import Entry, EntryPosition, FetchedLog, LogSource, ReplicatedLog
from meadowworks.consensus.transfer_messages import TransferRequest
from meadowworks.consensus.values import NOTHING_COMMITTED, AcceptorState, Epoch, Term
from tests.consensus.helpers import A, B, C

TERM = Term(1, 1)
SENDER = ReplicatedLog(1, TERM, entries=[Entry(TERM, b"entry")])


class RefusingHost:
    """A replica that joins no epoch; the sender answers each request at once."""

    def __init__(self) -> None:
        self.uses: list[InstallPositionRequest | None] = []
        self.fetcher = LogFetcher(self, ReplicatedLog())
        self.requests: list[tuple[TransferRequest, int]] = []

    def send_fetch_request(self, address: str, request: TransferRequest, fetch_number: int) -> None:
        self.requests.append((request, fetch_number))

    def on_log_fetched(
        self, now_ns: int, fetched: FetchedLog, install: InstallPositionRequest | None
    ) -> bool:
        self.uses.append(install)
        return install is None

    def log(self, event: str, **fields: str | int) -> None:
        pass

    def deliver_all(self) -> None:
        while self.requests:
            request, number = self.requests.pop(0)
            self.fetcher.on_reply(1, number, reply_to_reader(SENDER, request))


def install_request(epoch: int) -> InstallPositionRequest:
    source = LogSource(EntryPosition(TERM, 1), "h:1")
    registers = AcceptorState(NOTHING_COMMITTED, (), ())
    return InstallPositionRequest(epoch, Epoch(epoch, (A, B, C)), registers, source)


# A log that was fetched for an epoch which is not joined kept a follower from fetching its leader's snapshot.
def test_a_refused_log_serves_later_epochs_and_hinders_no_snapshot() -> None:
    host = RefusingHost()
    host.fetcher.fetch_for_install(1, install_request(2))
    host.deliver_all()
    host.fetcher.fetch_for_install(1, install_request(3))
    assert host.uses == [install_request(2), install_request(3)]
    assert not host.requests
    host.fetcher.fetch_snapshot(1, 3, "h:2")
    host.deliver_all()
    assert host.uses[-1] is None
    assert host.fetcher.fetch is None
