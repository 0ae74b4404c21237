"""Faults planted in the product: patches that each remove one guard of coordination.

Running the scenario with a fault shows whether the judge detects the absence of the guard.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import CompleteBarrier
from meadowworks.consensus.log_replica import LogReplica
from meadowworks.consensus.messages import Reply
from meadowworks.consensus.replicated_log import LogSource, LogState, ReplicatedLog
from meadowworks.consensus.values import AcceptorState, Epoch, Term
from meadowworks.coordination.commands import ExpireLock
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.coordination.locks import LockTable
from meadowworks.coordination.put_outcomes import PutOutcome, PutOutcomes
from meadowworks.coordination.results import Done

_append = LogReplica._append
_advance_term = ReplicatedLog.advance_term
_install = Acceptor.install


@dataclass(frozen=True, slots=True)
class SeededFault:
    """A replacement for a method, which leaves out one guard."""

    name: str
    text: str
    owner: Any
    method: str
    replacement: Any


def commit_entries_of_earlier_terms(self: LogReplica, now_ns: int) -> None:
    """Commit what a majority has on disk, whatever its term."""
    durable = sorted([self.own_durable_index, *(p.match_index for p in self.followers.values())])
    index = durable[len(durable) - self._acceptor.epoch.majority]
    if index <= self.commit_index:
        return
    self.commit_index = index
    self._apply_committed()
    self._complete_barriers()
    for progress in self.followers.values():
        progress.resend_at_ns = now_ns


def advance_term_in_memory(self: ReplicatedLog, term: Term, voted_for: str = "") -> None:
    """Record a term and a vote without marking them for the next write."""
    was_changed = self.metadata_changed
    _advance_term(self, term, voted_for)
    self.metadata_changed = was_changed


def complete_barrier_at_once(self: LogReplica, now_ns: int, waiter_id: int) -> None:  # noqa: ARG001
    """Report the commit index of a supposed leader without asking a majority."""
    index = self.commit_index if self.is_leader else None
    self._host.emit(CompleteBarrier(waiter_id, index))


def expire_extended_hold(self: LockTable, command: ExpireLock) -> Done:
    """Remove a hold even if it was extended meanwhile."""
    self._holds.pop(command.name, None)
    return Done()


def install_without_log(
    self: Acceptor,
    next_epoch: Epoch,
    state: AcceptorState,
    _source: LogSource | None,
) -> Reply:
    """Join an epoch with an empty log."""
    return _install(self, next_epoch, replace(state, log=LogState()))


def forget_put(self: PutOutcomes, digest: bytes, outcome: PutOutcome) -> None:
    """Remember no outcome."""


def count_unsynced_append(self: LogReplica, payload: bytes) -> int:
    """Append an entry and count it as durable here."""
    index = _append(self, payload)
    self.own_durable_index = index
    return index


def retain_nothing(self: HistoryRetention, now_ns: int, index: int) -> bool:  # noqa: ARG001
    """Confirm that events are kept without keeping them."""
    return True


SEEDED_FAULTS = (
    SeededFault("own-term", "a leader commits entries of earlier terms only with one of its own",
                LogReplica, "_advance_commit_index", commit_entries_of_earlier_terms),
    SeededFault("durable-vote", "a term and a vote are on disk before they count",
                ReplicatedLog, "advance_term", advance_term_in_memory),
    SeededFault("read-barrier", "a majority confirms the leader before it answers a read",
                LogReplica, "begin_barrier", complete_barrier_at_once),
    SeededFault("expiry-check", "a hold that was extended does not expire",
                LockTable, "expire", expire_extended_hold),
    SeededFault("log-transfer", "a new epoch starts with the log of the previous one",
                Acceptor, "install_at", install_without_log),
    SeededFault("put-memory", "a copy of a put gets the outcome of the first",
                PutOutcomes, "remember", forget_put),
    SeededFault("own-sync", "a leader counts its own entries once they are on disk",
                LogReplica, "_append", count_unsynced_append),
    SeededFault("watch-history", "events are kept for callers that received their revision late",
                HistoryRetention, "retain", retain_nothing),
)  # fmt: skip
# Faults that the scenario has not found; tests/simulation/test_coordination_faults_alone.py covers them.
UNIT_TESTED_FAULTS = ("own-term",)
SEEDED_FAULTS_BY_NAME = {fault.name: fault for fault in SEEDED_FAULTS}


@contextmanager
def seeded_fault(name: str) -> Iterator[None]:
    """Plant a fault within the context; an empty name plants none."""
    with contextlib.ExitStack() as stack:
        if name:
            fault = SEEDED_FAULTS_BY_NAME[name]
            stack.enter_context(mock.patch.object(fault.owner, fault.method, fault.replacement))
        yield
