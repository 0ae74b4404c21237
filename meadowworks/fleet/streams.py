"""Which stream each proxy is on, and which nonces were sent on it. A proxy has one stream: its newest.

Decided here: whose end counts as a proxy's leaving, and whose acknowledgement counts. What the proxies are
sent is in `TableUpdates`, which this keeps in step with the streams.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionEnd, ConnectionItem, UpdateMessage, encode_updates
from meadowworks.fleet.table_updates import TableUpdates

# Unacknowledged on a stream: more than may be sent to a proxy while one of them can still count.
MAX_OUTSTANDING_NONCES = 64


class ProxyStreams:
    """The stream of each proxy: the mailbox of its connection's actor."""

    def __init__(self, table_updates: TableUpdates) -> None:
        self.table_updates = table_updates
        self.by_proxy: dict[int, Mailbox[ConnectionItem]] = {}
        self.outstanding_nonces: dict[int, deque[int]] = {}  # on the proxy's stream, oldest first

    def on_joined(self, proxy: int, stream: Mailbox[ConnectionItem]) -> bool:
        """Takes in a proxy's newest stream.

        An older one is ended: it has not been seen to end, and its end will be no second leaving.

        :returns: whether there was an older one.
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
        """Takes in the end of a stream.

        :returns: whether the proxy has left by this: the end of a stream that was replaced means nothing.
        """
        if self.by_proxy.get(proxy) is not stream:
            return False
        del self.by_proxy[proxy], self.outstanding_nonces[proxy]
        self.table_updates.remove_proxy(proxy)
        return True

    def on_applied(self, proxy: int, nonce: int) -> bool:
        """Takes in an acknowledgement.

        :returns: whether the nonce was sent on the stream that the proxy is on: one of an earlier stream
            tells nothing of what waits on this one, and one that was never sent tells nothing at all.
        """
        outstanding = self.outstanding_nonces.get(proxy, deque())
        if nonce not in outstanding:
            return False
        while outstanding.popleft() != nonce:
            pass
        return True

    def send_updates(self, call_rate: Callable[[int], float] = lambda _: 0.0) -> Iterator[tuple[int, int]]:
        """Puts what has changed since the last call into the streams' mailboxes, one message a proxy.

        The channel takes one message after the other, for seconds in a large fleet: a proxy of more calls a
        second is updated first, so that most calls go by the new tables soonest.

        :returns: for each message that was made, its proxies and its lines.
        """
        messages: dict[int, tuple[UpdateMessage, int | None]] = {}
        try:
            for proxies, updates in self.table_updates.take_messages():
                message = UpdateMessage(encode_updates(updates), len(updates)), updates[-1].nonce
                for proxy in proxies:
                    check_invariant(proxy not in messages, "one message a proxy a batch")
                    messages[proxy] = message
                yield len(proxies), sum(update.channel_lines() for update in updates)
        finally:  # a fault in one message costs the others nothing
            for proxy in sorted(messages, key=lambda proxy: (-call_rate(proxy), proxy)):
                update, nonce = messages[proxy]
                self.by_proxy[proxy].put(update)
                if nonce is not None:
                    self.outstanding_nonces[proxy].append(nonce)
