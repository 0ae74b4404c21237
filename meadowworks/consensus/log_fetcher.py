"""Fetching of another replica's log, for joining an epoch or for a follower that is far behind.

A replica runs one transfer at a time, with one request in flight. Requests that could only be handled with
more of the log start the transfer and keep it going; it ends when nobody has asked for it for a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from meadowworks.consensus.log_download import LogDownload
from meadowworks.consensus.messages import InstallPositionRequest
from meadowworks.consensus.replicated_log import FetchedLog, ReplicatedLog
from meadowworks.consensus.timing import MILLISECOND_NS, SECOND_NS
from meadowworks.consensus.transfer_messages import TransferReply, TransferRequest

ABANDON_AFTER_NS = 10 * SECOND_NS  # without a request that needs the log
PIECE_TIMEOUT_NS = 1_500 * MILLISECOND_NS  # for a request without a reply or a failure
# After as many failures in a row, the next request that needs the log may name another sender.
FAILURES_BEFORE_CHANGE = 2


class FetchHost(Protocol):
    """What the fetcher needs from the replica that it is part of."""

    def send_fetch_request(self, address: str, request: TransferRequest, fetch_number: int) -> None:
        """Send a request; its reply or failure is passed to `LogFetcher` with the number."""

    def on_log_fetched(
        self, now_ns: int, fetched: FetchedLog, install: InstallPositionRequest | None
    ) -> bool:
        """Use a fetched log, to join an epoch if `install` is given.

        :returns: whether the transfer is over; otherwise a later request may use what was fetched.
        """

    def log(self, event: str, **fields: str | int) -> None:
        """Request a log line."""


@dataclass(slots=True)
class Fetch:
    """A transfer; `install` is None if a follower fetches a snapshot of its leader."""

    download: LogDownload
    address: str
    install: InstallPositionRequest | None
    started_ns: int
    wanted_ns: int
    in_flight_since_ns: int = 0  # 0: nothing is in flight
    failures: int = 0


class LogFetcher:
    """Runs the transfer of a log to this replica."""

    def __init__(self, host: FetchHost, log: ReplicatedLog) -> None:
        self._host, self._log = host, log
        self.fetch: Fetch | None = None
        self._fetch_number = 0
        self._epoch = 0  # of the requests

    def fetch_for_install(self, now_ns: int, request: InstallPositionRequest) -> None:
        """Fetch the log that an acceptor needs to join an epoch."""
        source = request.log_source
        assert source is not None
        self._epoch = request.epoch
        fetch = self._current(now_ns, source.address)
        if fetch is None:
            self._start(now_ns, source.address, LogDownload(self._log, source.position), request)
            return
        is_first = fetch.install is None or request.next_epoch.number > fetch.install.next_epoch.number
        if is_first or fetch.download.has_failed:
            # Otherwise the required position stays, so that the transfer ends while entries are appended.
            fetch.install, fetch.download.required = request, source.position
        if fetch.download.is_complete:
            self._finish(now_ns, fetch)

    def fetch_snapshot(self, now_ns: int, epoch: int, address: str) -> None:
        """Fetch a snapshot of the leader, whose log does not go back far enough."""
        self._epoch = epoch
        fetch = self._current(now_ns, address)
        if fetch is None or fetch.download.is_complete:  # a complete one was for an epoch that is not joined
            self._start(now_ns, address, LogDownload(self._log, None), None)

    def on_reply(self, now_ns: int, fetch_number: int, reply: TransferReply) -> None:
        """Handle a piece of the log."""
        fetch = self.fetch
        if fetch is None or fetch_number != self._fetch_number:
            return
        fetch.in_flight_since_ns, fetch.failures = 0, 0
        fetch.download.on_reply(reply)
        if fetch.download.has_failed:
            fetch.failures = FAILURES_BEFORE_CHANGE
            return
        if fetch.download.is_complete:
            self._finish(now_ns, fetch)
        else:
            self._send(now_ns, fetch)

    def on_failed(self, fetch_number: int) -> None:
        """Handle a request that will get no reply; the next tick repeats it."""
        if self.fetch is not None and fetch_number == self._fetch_number:
            self.fetch.in_flight_since_ns = 0
            self.fetch.failures += 1

    def tick(self, now_ns: int) -> None:
        """Repeat a failed request, or end a transfer that nobody needs."""
        fetch = self.fetch
        if fetch is None:
            return
        if now_ns - fetch.wanted_ns > ABANDON_AFTER_NS:
            self._host.log("log_fetch_abandoned", peer=fetch.address, bytes=fetch.download.received_bytes)
            self.fetch = None
        elif fetch.download.is_complete:
            return
        elif not fetch.in_flight_since_ns:
            self._send(now_ns, fetch)
        elif now_ns - fetch.in_flight_since_ns > PIECE_TIMEOUT_NS:
            self.on_failed(self._fetch_number)

    def _current(self, now_ns: int, address: str) -> Fetch | None:
        """Return the transfer in progress, which goes on from another sender if its own one fails."""
        fetch = self.fetch
        if fetch is None:
            return None
        fetch.wanted_ns = now_ns
        if address != fetch.address and fetch.failures >= FAILURES_BEFORE_CHANGE:
            fetch.address, fetch.failures = address, 0
            self._send(now_ns, fetch)
        return fetch

    def _start(
        self, now_ns: int, address: str, download: LogDownload, install: InstallPositionRequest | None
    ) -> None:
        self.fetch = Fetch(download, address, install, now_ns, now_ns)
        self._host.log("log_fetch_started", peer=address)
        self._send(now_ns, self.fetch)

    def _send(self, now_ns: int, fetch: Fetch) -> None:
        fetch.in_flight_since_ns = now_ns
        self._fetch_number += 1
        self._host.send_fetch_request(fetch.address, fetch.download.request(self._epoch), self._fetch_number)

    def _finish(self, now_ns: int, fetch: Fetch) -> None:
        fetched = fetch.download.fetched
        assert fetched is not None
        if not self._host.on_log_fetched(now_ns, fetched, fetch.install):
            return
        self.fetch = None
        took_ms = (now_ns - fetch.started_ns) // MILLISECOND_NS
        size_bytes = fetch.download.received_bytes
        self._host.log("log_fetched", peer=fetch.address, bytes=size_bytes, took_ms=took_ms)
