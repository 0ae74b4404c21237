"""The control channel to the proxies: reserves capacity for updates and tracks their delivery."""

from collections import deque
from collections.abc import Sequence

from meadowworks.policy.records import Proxy
from meadowworks.policy.state import SECOND_NS, SETTLING_NS, UPDATE_INTERVAL_NS, WINDOW_NS, ControllerState

RATE_SHARES = 0.5, 0.33  # parts of the stated rate that urgent and routine updates count on
NONCE_COUNT = 65536
RESERVE_URGENT, RESERVE_JOIN, RESERVE_ROUTINE = 0.1, 0.3, 0.5  # parts of the channel's limits kept free


class ControlChannel(ControllerState):
    def reserve(self, now: int, users: Sequence[Proxy], lines: int, reserve: float, extra: int = -1) -> int:
        """Reserve capacity for `lines` and up to `extra` more to each user; return how many are granted."""
        settings = self.settings
        drained = (now - self.queue_updated_ns) / SECOND_NS * settings.channel_rate
        self.queue_updated_ns = now
        # Detects a channel slower than stated: all lines sent since an overdue nonce count as queued.
        self.pending_nonces = deque(m for m in self.pending_nonces if m[1] >= now - WINDOW_NS)
        overdue = (self.sent_lines - before for _, due, before, _ in self.pending_nonces if due < now)
        overdue_lines = max(overdue, default=0.0)
        shares = zip(self.queued_lines, RATE_SHARES, strict=True)
        self.queued_lines = [max(overdue_lines, queued - drained * share) for queued, share in shares]
        targets = [p for p in users if not p.message_times or p.message_times[-1] != now]  # no message yet
        for proxy in targets:
            times = proxy.message_times
            while times and times[0] <= now - settings.message_window_ns:
                times.popleft()
            if settings.message_limit and len(times) + 1 > settings.message_limit * (1 - reserve):
                return 0
        partial, extra = extra >= 0, max(0, extra)  # -1: all lines or none
        min_lines = min(lines or extra, max(1, int(settings.message_overhead)))  # worth a message's overhead
        overhead = settings.message_overhead * len(targets)
        # Prevents a queue of routine updates, longer than their interval, ahead of urgent ones.
        outstanding = min(self.queued_lines[1], self.sent_lines - self.delivered_lines)
        interval_lines = UPDATE_INTERVAL_NS / SECOND_NS * settings.channel_rate
        if reserve == RESERVE_ROUTINE and outstanding and outstanding + overhead > interval_lines:
            return 0
        if users:
            wait = overdue_lines > 0 and now - self.nonce_sent_ns < SETTLING_NS  # a newer nonce may be acked
            caps = zip((reserve, max(wait, RESERVE_ROUTINE)), self.queued_lines, strict=True)
            room, usual = (int((settings.queue_limit * (1 - k) - q - overhead) / len(users)) for k, q in caps)
            extra = min(extra, max(0, usual - lines)) if lines <= room else room - lines
            if lines + extra < min_lines or lines > room and not partial:
                return 0
        cost = (lines + extra) * len(users) + overhead + len(targets)  # one line for each nonce
        if targets and self.nonce_sent_ns != now:
            self.nonce_sent_ns, self.nonce = now, (self.nonce + 1) % NONCE_COUNT
            due = now + int(cost / settings.channel_rate * SECOND_NS)
            due += settings.report_interval_ns + settings.max_delay_ns
            self.pending_nonces.append((self.nonce, due, self.sent_lines, cost / len(targets)))
            self.host.request_ack(self.nonce)
        self.sent_lines, self.queued_lines = self.sent_lines + cost, [q + cost for q in self.queued_lines]
        for proxy in targets:
            proxy.message_times.append(now)
        return lines + extra

    def on_ack(self, now: int, nonce: int) -> None:
        """Record that a proxy has applied the message with this nonce."""
        while any(m[0] == nonce for m in self.pending_nonces):  # older messages have arrived too
            _, _, self.delivered_lines, message_lines = self.pending_nonces.popleft()
            self.last_ack = nonce, message_lines
        self.delivered_lines += self.last_ack[1] * (nonce == self.last_ack[0])
