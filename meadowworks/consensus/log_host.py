"""The types that the replicated log shares with the replica that it is part of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import Effect
from meadowworks.consensus.log_messages import LogRequest
from meadowworks.consensus.values import Term


class Role(Enum):
    """The role of a replica in its term."""

    FOLLOWER = auto()
    PRE_CANDIDATE = auto()
    CANDIDATE = auto()
    LEADER = auto()


@dataclass(frozen=True, slots=True)
class OwnVote:
    """The term and the own vote are on disk, so votes may be requested."""

    term: Term


@dataclass(frozen=True, slots=True)
class OwnAppend:
    """The leader's own entries up to `index` are on disk."""

    term: Term
    index: int


@dataclass(frozen=True, slots=True)
class PendingBarrier:
    """A read barrier that waits for a majority to confirm its round, and for `index` to be applied."""

    waiter_id: int
    round_number: int
    index: int


class LogHost(Protocol):
    """What the log needs from the replica that it is part of."""

    acceptor: Acceptor

    def emit(self, effect: Effect) -> None:
        """Add an effect."""

    def send_log_request(self, member_id: str, address: str, request: LogRequest) -> None:
        """Send a request; its reply or failure is passed to `LogReplica`."""

    def reads_positions(self, member_id: str) -> bool:
        """Return whether a member's release reads messages with positions in place of states."""

    def defer_until_durable(self, item: OwnVote | OwnAppend) -> None:
        """Pass an item to `LogReplica.on_durable` once all current changes are on disk."""

    def random_fraction(self) -> float:
        """Return a random number from 0 to 1."""

    def log(self, event: str, **fields: str | int) -> None:
        """Request a log line."""
