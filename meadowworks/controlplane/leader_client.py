"""Calls to the leader of the coordination log on another node."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from meadowworks.controlplane.config_service import PeerCallerPool
from meadowworks.controlplane.coordination_calls import (
    Call,
    InDoubt,
    NotLeader,
    Reply,
    decode_reply,
    encode_call,
)
from meadowworks.gossip.messages import DECODE_ERRORS
from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import RequestError

CALL_PATH = b"/coordination"
MS_PER_SECOND = 1000
log = logs.get_logger("coordination")


class LeaderSearch:
    """Chooses the node to which one call is sent next.

    :param own_address: the peer address of this node.
    :param known_leader: returns the address of the leader as this node knows it, or an empty string.
    :param members: returns the addresses of the members of the newest epoch.
    :param choose: chooses an element of a non-empty sequence.
    """

    def __init__(
        self,
        own_address: str,
        known_leader: Callable[[], str],
        members: Callable[[], Sequence[str]],
        choose: Callable[[Sequence[str]], str],
    ) -> None:
        self._own_address = own_address
        self._known_leader = known_leader
        self._members = members
        self._choose = choose
        self._named_leader = ""  # by another node
        self._failed: set[str] = set()  # no reply, or one that leaves the call in doubt
        self._asked: set[str] = set()  # replied that they are not the leader
        self._asked_since_pause: set[str] = set()

    def next_address(self) -> str:
        """Return the address to try next, or an empty string if there is no other member."""
        if self._named_leader:
            return self._named_leader
        if known_leader := self._usable_leader():
            return known_leader
        others = [address for address in self._members() if address != self._own_address]
        untried = [address for address in others if address not in self._failed | self._asked]
        if untried:
            return self._choose(untried)
        self._failed.clear()
        self._asked.clear()
        return self._usable_leader() or (self._choose(others) if others else "")

    def on_reply(self, address: str, reply: Reply | None) -> None:
        """Record the reply of a node that gave no answer, or None if it could not be reached."""
        has_failed = reply is None or isinstance(reply, InDoubt)
        (self._failed if has_failed else self._asked).add(address)
        self._asked_since_pause.add(address)
        named_leader = reply.leader_address if isinstance(reply, NotLeader) else ""
        is_usable = named_leader not in {self._own_address} | self._failed | self._asked_since_pause
        self._named_leader = named_leader if is_usable else ""

    def has_named_leader(self) -> bool:
        """Return whether another node has just named a leader, which is tried without a pause."""
        return bool(self._named_leader)

    def on_pause(self) -> None:
        """Allow that nodes are tried again because others name them.

        Without a pause, two nodes that name each other would be called in a tight loop.
        """
        self._asked_since_pause.clear()

    def _usable_leader(self) -> str:
        """Return the leader that this node knows, if it is another node that may be tried."""
        known_leader = self._known_leader()
        is_excluded = known_leader in {self._own_address} | self._failed | self._asked_since_pause
        return "" if is_excluded else known_leader


class LeaderClient:
    """Sends calls to other nodes.

    :param peer_clients: clients for the other members.
    """

    def __init__(self, peer_clients: PeerCallerPool) -> None:
        self._peer_clients = peer_clients

    async def send(self, address: str, call: Call, timeout_s: float) -> Reply | None:
        """Send a call and return the reply, or None if the call was certainly not handled."""
        host, _, port = address.rpartition(":")
        body = encode_call(call, int(timeout_s * MS_PER_SECOND))
        try:
            return decode_reply(
                await self._peer_clients.client(host, int(port)).call(CALL_PATH, body, timeout_s)
            )
        except RequestError as error:
            log.debug("coordination_call_failed", peer=address, reason=str(error))
            return InDoubt() if error.may_have_run else None
        except DECODE_ERRORS as error:
            log.warning("malformed_peer_reply", peer=address, reason=str(error))
            return InDoubt()
