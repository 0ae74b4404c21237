"""The current stream of each proxy, and the nonces sent on it. A proxy has one stream: its newest.

Decides whether the end of a stream means that its proxy has left, and whether an acknowledgement is valid.
`TableUpdates` holds the content that the proxies are sent; `ProxyStreams` keeps its proxies up to date.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionEnd, ConnectionItem, UpdateMessage, encode_updates
from meadowworks.fleet.table_updates import TableUpdates

# Unacknowledged nonces kept for a stream; the policy no longer waits for older ones.
MAX_OUTSTANDING_NONCES = 64


class ProxyStreams:
    """The stream of each proxy, which is the mailbox of its connection's actor."""

    def __init__(self, table_updates: TableUpdates) -> None:
        self.table_updates = table_updates
        self.by_proxy: dict[int, Mailbox[ConnectionItem]] = {}
        self.outstanding_nonces: dict[int, deque[int]] = {}  # by proxy, oldest first

    def on_joined(self, proxy: int, stream: Mailbox[ConnectionItem]) -> bool:
        """Register a proxy's newest stream.

        An older stream of the proxy is closed, which counts as a leave; its later end is ignored.

        :returns: whether there was an older stream.
        """
        old = self.by_proxy.get(proxy)
        if old is not None:
            old.put(ConnectionEnd("replaced by a new one"))
            self.table_updates.remove_proxy(proxy)
        self.by_proxy[proxy] = stream
        self.outstanding_nonces[proxy] = deque(maxlen=MAX_OUTSTANDING_NONCES)
        self.table_updates.add_proxy(proxy)
        return old is not None

    def on_left(self, proxy: int, stream: Mailbox[ConnectionItem]) -> bool:
        """Handle the end of a stream.

        :returns: whether the proxy has left; False if the stream had been replaced.
        """
        if self.by_proxy.get(proxy) is not stream:
            return False
        del self.by_proxy[proxy], self.outstanding_nonces[proxy]
        self.table_updates.remove_proxy(proxy)
        return True

    def on_applied(self, proxy: int, nonce: int) -> bool:
        """Handle an acknowledgement.

        :returns: whether the nonce was sent on the proxy's current stream. A nonce of an earlier stream does
            not acknowledge a message of this one.
        """
        outstanding = self.outstanding_nonces.get(proxy, deque())
        if nonce not in outstanding:
            return False
        while outstanding.popleft() != nonce:
            pass
        return True

    def send_updates(self, call_rate: Callable[[int], float] = lambda _: 0.0) -> Iterator[tuple[int, int]]:
        """Put the changes since the last call into the streams' mailboxes, one message per proxy.

        The control channel is serial and may need seconds in a large fleet. Proxies with a higher call rate
        are updated first, so that most calls use the new tables early.

        :param call_rate: calls per second of a proxy.
        :returns: an iterator over the messages; for each, the number of its proxies and of its channel lines.
        """
        messages: dict[int, tuple[UpdateMessage, int | None]] = {}
        try:
            for proxies, updates in self.table_updates.take_messages():
                message = UpdateMessage(encode_updates(updates), len(updates)), updates[-1].nonce
                for proxy in proxies:
                    check_invariant(proxy not in messages, "one message per proxy and batch")
                    messages[proxy] = message
                yield len(proxies), sum(update.channel_lines() for update in updates)
        finally:  # a fault in one message does not hold back the others
            for proxy in sorted(messages, key=lambda proxy: (-call_rate(proxy), proxy)):
                update, nonce = messages[proxy]
                self.by_proxy[proxy].put(update)
                if nonce is not None:
                    self.outstanding_nonces[proxy].append(nonce)
