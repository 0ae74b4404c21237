"""Which stream each proxy is on, and which marks were sent on it. A proxy has one stream: its newest.

Decided here: whose end counts as a proxy's leaving, and whose answer to a mark counts. What the proxies are
told is in `orders`, which this keeps in step with the streams.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionEnd, ConnectionItem, UpdateMessage, encode
from meadowworks.fleet.table_updates import TableUpdates

MAX_OUTSTANDING_NONCES = (
    64  # unanswered on a stream: more than may be sent to a proxy while a mark can still count
)


class ProxyStreams:
    def __init__(self, orders: TableUpdates) -> None:
        self.table_updates = orders
        self.by_proxy: dict[int, Mailbox[ConnectionItem]] = {}
        self.outstanding_nonces: dict[
            int, deque[int]
        ] = {}  # sent on the proxy's stream and not answered, oldest first

    def on_joined(self, proxy: int, stream: Mailbox[ConnectionItem]) -> bool:
        """Whether it takes the place of an older stream, which is ended: that one has not been seen to end,
        and its end will be no second leaving."""
        old = self.by_proxy.get(proxy)
        if old is not None:
            old.put(ConnectionEnd("replaced by a new one"))
            self.table_updates.remove_proxy(proxy)
        self.by_proxy[proxy] = stream
        self.outstanding_nonces[proxy] = deque(maxlen=MAX_OUTSTANDING_NONCES)
        self.table_updates.add_proxy(proxy)
        return old is not None

    def on_left(self, proxy: int, stream: Mailbox[ConnectionItem]) -> bool:
        """Whether the proxy has left by this: the end of a stream that was replaced means nothing."""
        if self.by_proxy.get(proxy) is not stream:
            return False
        del self.by_proxy[proxy], self.outstanding_nonces[proxy]
        self.table_updates.remove_proxy(proxy)
        return True

    def on_applied(self, proxy: int, mark: int) -> bool:
        """Whether the mark was sent on the stream that the proxy is on: one of an earlier stream tells
        nothing of what waits on this one, and one that was never sent nothing at all."""
        out = self.outstanding_nonces.get(proxy, deque())
        if mark not in out:
            return False
        while out.popleft() != mark:
            pass
        return True

    def send_updates(self, calls: Callable[[int], float] = lambda proxy: 0.0) -> Iterator[tuple[int, int]]:
        """Puts what the orders since the last call come to into the streams' mailboxes, one message a proxy;
        gives proxies and lines for each message that was made.

        The channel takes one message after the other, at size for seconds: a proxy of more calls a second is
        told first, so that most calls go by the new orders soonest."""
        told: dict[int, tuple[UpdateMessage, int | None]] = {}
        try:
            for users, parts in self.table_updates.take_messages():
                once = UpdateMessage(encode(parts), len(parts)), parts[-1].nonce
                for proxy in users:
                    check_invariant(proxy not in told, "one message a proxy a batch")
                    told[proxy] = once
                yield len(users), sum(part.channel_lines() for part in parts)
        finally:  # a fault in one message costs the others nothing
            for proxy in sorted(told, key=lambda proxy: (-calls(proxy), proxy)):
                message, mark = told[proxy]
                self.by_proxy[proxy].put(message)
                if mark is not None:
                    self.outstanding_nonces[proxy].append(mark)
