"""What stands around the machines: attempts as they are, clients' requests, and the host of a proxy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from meadowworks.attempts.machine import AttemptMachine, FinalReply
from meadowworks.attempts.retry_policy import NEVER_RAN

IN_TABLE, DRAINED, CRASHED = range(3)  # states of a backend
NOT_SENT, WAITING, REPLIED, CLIENT_GONE, PROXY_LOST = range(5)  # states of a request
NO_REPLY = -1  # in place of what a proxy learns of an attempt


class ChosenDrawMachine(AttemptMachine):
    """A machine whose random numbers the explorer chooses, to try every choice.

    Seeds can't stand for that: with zlib.crc32 the numbers of one seed depend on each other.
    """

    chosen_draw = 0.0

    def random(self) -> float:
        """Return what was chosen for this step."""
        return self.chosen_draw


@dataclass(slots=True)
class ActualAttempt:
    """An attempt as it really is, while its machine knows it.

    :ivar reply: ANSWERED, NEVER_RAN or FAILED once the proxy was told.
    :ivar is_cut_off: its backend crashed, so that no answer will come.
    """

    call_key: int
    backend: int
    reply: int = NO_REPLY
    is_cut_off: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether there is no proof that it never ran."""
        return self.reply != NEVER_RAN


@dataclass(slots=True)
class ClientRequest:
    """A client's first request of a call, or a repeat.

    :ivar replies: how often it was told something final.
    :ivar may_come_back: it was told when to come back.
    """

    state: int = NOT_SENT
    proxy: int = 0
    replies: int = 0
    may_come_back: bool = False

    @property
    def is_unresolved(self) -> bool:
        """Whether it was sent and nothing final was told."""
        return self.state in (WAITING, CLIENT_GONE, PROXY_LOST)

    @property
    def may_be_repeated(self) -> bool:
        """Whether its client may send the next request of the call."""
        return self.is_unresolved or self.state == REPLIED and self.may_come_back


class ProxyEvents(Protocol):
    """What a proxy's machine does to the world."""

    def on_attempt_sent(self, proxy: int, key: int, number: int, backend: int) -> None:
        """An attempt leaves a proxy."""

    def on_final_reply(self, proxy: int, key: int, waiter: int, reply: FinalReply) -> None:
        """A client is told the outcome."""


class ProxyHost:
    """The host of one proxy's machine."""

    def __init__(self, world: ProxyEvents, proxy: int) -> None:
        self._world = world
        self._proxy = proxy

    def send(self, key: int, number: int, backend: int) -> None:
        """An attempt leaves."""
        self._world.on_attempt_sent(self._proxy, key, number, backend)

    def reply(self, key: int, waiter: int, reply: FinalReply) -> None:
        """A client is told the outcome."""
        self._world.on_final_reply(self._proxy, key, waiter, reply)

    def cancel(self, number: int) -> None:
        """Change nothing: the attempt may run all the same."""

    def count(self, event: str) -> None:
        """Count nothing: no outcome depends on it."""
