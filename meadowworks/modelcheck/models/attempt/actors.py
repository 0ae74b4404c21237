"""The environment of the machines: the actual attempts, the clients' requests and the host of a proxy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from meadowworks.attempts.machine import AttemptMachine, FinalReply
from meadowworks.attempts.retry_policy import NEVER_RAN

IN_TABLE, DRAINED, CRASHED = range(3)  # states of a backend
NOT_SENT, WAITING, REPLIED, CLIENT_GONE, PROXY_LOST = range(5)  # states of a request
NO_REPLY = -1  # the attempt's result has not reached the proxy


class ChosenDrawMachine(AttemptMachine):
    """A machine whose random numbers the explorer chooses, so that it covers every choice.

    Exploring seeds instead would not: the numbers that zlib.crc32 yields for one seed depend on each other.
    """

    chosen_draw = 0.0

    def random(self) -> float:
        """Return the number that the explorer chose for this step."""
        return self.chosen_draw


@dataclass(slots=True)
class ActualAttempt:
    """The actual state of an attempt that its machine still tracks.

    :ivar reply: ANSWERED, NEVER_RAN or FAILED once the result has reached the proxy, else NO_REPLY.
    :ivar is_cut_off: whether the backend has crashed, so that no answer can come.
    """

    call_key: int
    backend: int
    reply: int = NO_REPLY
    is_cut_off: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether there is no proof that the attempt never ran."""
        return self.reply != NEVER_RAN


@dataclass(slots=True)
class ClientRequest:
    """A client's first request of a call, or a repeat.

    :ivar replies: number of final replies received.
    :ivar may_come_back: whether the reply named a time to retry.
    """

    state: int = NOT_SENT
    proxy: int = 0
    replies: int = 0
    may_come_back: bool = False

    @property
    def is_unresolved(self) -> bool:
        """Whether the request was sent and has not received a final reply."""
        return self.state in (WAITING, CLIENT_GONE, PROXY_LOST)

    @property
    def may_be_repeated(self) -> bool:
        """Whether the client may send the next request of the call."""
        return self.is_unresolved or self.state == REPLIED and self.may_come_back


class ProxyEvents(Protocol):
    """The world's callbacks for the actions of a proxy's machine."""

    def on_attempt_sent(self, proxy: int, key: int, number: int, backend: int) -> None:
        """Record an attempt that a proxy sends."""

    def on_final_reply(self, proxy: int, key: int, waiter: int, reply: FinalReply) -> None:
        """Record a final reply to a client."""


class ProxyHost:
    """The host of one proxy's machine."""

    def __init__(self, world: ProxyEvents, proxy: int) -> None:
        self._world = world
        self._proxy = proxy

    def send(self, key: int, number: int, backend: int) -> None:
        """Report a sent attempt to the world."""
        self._world.on_attempt_sent(self._proxy, key, number, backend)

    def reply(self, key: int, waiter: int, reply: FinalReply) -> None:
        """Report a final reply to the world."""
        self._world.on_final_reply(self._proxy, key, waiter, reply)

    def cancel(self, number: int) -> None:
        """Ignore the cancellation: the attempt may run nevertheless."""

    def count(self, event: str) -> None:
        """Ignore the event: no outcome depends on the counters."""
