"""A simulated control channel and the proxies that it reaches."""

from __future__ import annotations

from collections import deque

from meadowworks.fleet.messages import TableUpdate
from meadowworks.fleet.table_updates import Admission, TableUpdates
from meadowworks.modelcheck.models.policy.deployment import (
    DRAIN_GRACE_NS,
    NS_PER_S,
    ROUTE_NAMES,
    SETTINGS,
)


class ProxyState:
    """The state of a proxy that has joined.

    :ivar tables: by route, the weights by backend name.
    :ivar admissions: by route.
    :ivar message_times_ns: the send times of its messages within the window of the message limit.
    :ivar without_backend_since_ns: since when a table is empty although a backend is available, or None.
    """

    def __init__(self) -> None:
        self.tables: list[dict[str, float]] = [{} for _ in ROUTE_NAMES]
        self.admissions: list[Admission | None] = [None for _ in ROUTE_NAMES]
        self.message_times_ns: deque[int] = deque()
        self.without_backend_since_ns: int | None = None

    def apply(self, updates: list[TableUpdate]) -> None:
        """Apply a message as a proxy does."""
        for update in updates:
            for route, name in enumerate(ROUTE_NAMES):
                if not update.routes or name in update.routes:
                    self._apply_to_route(route, update)

    def _apply_to_route(self, route: int, update: TableUpdate) -> None:
        table = self.tables[route]
        if update.replaces:
            table.clear()
            self.admissions[route] = None
        table.update(update.weights)
        for name in [name for name, weight in table.items() if not weight]:
            del table[name]
        if update.admission:
            self.admissions[route] = update.admission

    def has_backend_in(self, names: set[str]) -> bool:
        """Return whether a table contains one of these backends."""
        return any(names & set(table) for table in self.tables)


class SimulatedChannel:
    """A channel that delivers to the proxies at once and whose acknowledgements may stall.

    :ivar proxies: the proxies that have joined.
    :ivar backlog_lines: the number of lines that were queued in the channel at `backlog_ns`.
    :ivar pending_nonces: the nonces of acknowledgements in flight.
    :ivar last_stalled_ns: the latest time at which the channel was stalled.
    """

    def __init__(self, now_ns: int) -> None:
        self.proxies: dict[int, ProxyState] = {}
        self.backlog_lines, self.backlog_ns = 0.0, now_ns
        self.pending_nonces: list[int] = []
        self.is_stalled = False
        self.last_stalled_ns = -DRAIN_GRACE_NS

    def send(self, now_ns: int, updates: TableUpdates) -> None:
        """Send all changes of a step, one message per proxy; the proxies apply them at once."""
        self._drain(now_ns)
        for proxies, message in updates.take_messages():
            for number in proxies:
                lines = sum(update.channel_lines() for update in message)
                self.backlog_lines += SETTINGS.message_overhead + lines
                proxy = self.proxies[number]
                proxy.message_times_ns.append(now_ns)
                while proxy.message_times_ns[0] <= now_ns - SETTINGS.message_window_ns:
                    proxy.message_times_ns.popleft()
                proxy.apply(message)

    def _drain(self, now_ns: int) -> None:
        sent_lines = (now_ns - self.backlog_ns) / NS_PER_S * SETTINGS.channel_rate
        self.backlog_lines, self.backlog_ns = max(0.0, self.backlog_lines - sent_lines), now_ns

    def observe(self, now_ns: int, expects_backend: bool) -> None:
        """Record since when each proxy has had an empty table.

        :param expects_backend: whether the controller has a backend that it could assign to each proxy.
        """
        for proxy in self.proxies.values():
            if not expects_backend or all(proxy.tables):
                proxy.without_backend_since_ns = None
            elif proxy.without_backend_since_ns is None:
                proxy.without_backend_since_ns = now_ns
        if self.is_stalled:
            self.last_stalled_ns = now_ns

    def is_at_capacity(self, now_ns: int, proxy: int) -> bool:
        """Return whether the limits on messages or lines leave no room for another urgent message.

        Half of the queue and two messages are reserved. A stalled channel has no room either.
        """
        messages = len(self.proxies[proxy].message_times_ns)
        return (
            messages >= SETTINGS.message_limit - 2
            or self.backlog_lines > SETTINGS.queue_limit / 2
            or now_ns - self.last_stalled_ns <= DRAIN_GRACE_NS
        )
