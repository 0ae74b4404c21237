"""The control channel to the proxies: what may be sent now, and what has been delivered."""

from collections import deque
from collections.abc import Sequence

from meadowworks.policy.records import Proxy
from meadowworks.policy.state import SECOND_NS, SETTLING_NS, UPDATE_INTERVAL_NS, WINDOW_NS, ControllerState

RATE_SHARES = 0.5, 0.33  # of the channel's stated rate that urgent updates rely on; that the others do
NONCE_COUNT = 65536
RESERVE_URGENT, RESERVE_JOIN, RESERVE_ROUTINE = 0.1, 0.3, 0.5  # parts of the limits left free


class ControlChannel(ControllerState):
    def reserve(self, now: int, users: Sequence[Proxy], lines: int, reserve: float, extra: int = -1) -> int:
        """Reserves room for lines to each user, or for a part of them and `extra`; returns for how many."""
        settings = self.settings
        drained = (now - self.queue_updated_ns) / SECOND_NS * settings.channel_rate
        self.queue_updated_ns = now
        # Guards against a channel slower than stated: from an overdue nonce on, everything still waits.
        self.pending_nonces = deque(m for m in self.pending_nonces if m[1] >= now - WINDOW_NS)
        overdue = (self.sent_lines - before for _, due, before, _ in self.pending_nonces if due < now)
        stuck = max(overdue, default=0.0)
        shares = zip(self.queued_lines, RATE_SHARES, strict=True)
        self.queued_lines = [max(stuck, queued - drained * share) for queued, share in shares]
        targets = [p for p in users if not p.message_times or p.message_times[-1] != now]  # none sent yet
        for proxy in targets:
            times = proxy.message_times
            while times and times[0] <= now - settings.message_window_ns:
                times.popleft()
            if settings.message_limit and len(times) + 1 > settings.message_limit * (1 - reserve):
                return 0
        partial, extra = extra >= 0, max(0, extra)
        min_lines = min(lines or extra, max(1, int(settings.message_overhead)))  # fewer waste a message
        overhead = settings.message_overhead * len(targets)
        # Guards against routine updates that wait in the channel past the next, the urgent behind them.
        out = min(self.queued_lines[1], self.sent_lines - self.delivered_lines)
        interval_lines = UPDATE_INTERVAL_NS / SECOND_NS * settings.channel_rate
        if reserve == RESERVE_ROUTINE and out and out + overhead > interval_lines:
            return 0
        if users:
            wait = stuck > 0 and now - self.nonce_sent_ns < SETTLING_NS  # the next nonce may be answered
            caps = zip((reserve, max(wait, RESERVE_ROUTINE)), self.queued_lines, strict=True)
            room, usual = (int((settings.queue_limit * (1 - k) - q - overhead) / len(users)) for k, q in caps)
            extra = min(extra, max(0, usual - lines)) if lines <= room else room - lines
            if lines + extra < min_lines or lines > room and not partial:
                return 0
        cost = (lines + extra) * len(users) + overhead + len(targets)  # a nonce each
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
        """A proxy has applied the message with this nonce."""
        while any(m[0] == nonce for m in self.pending_nonces):  # what was sent before has been delivered
            _, _, self.delivered_lines, each = self.pending_nonces.popleft()
            self.last_ack = nonce, each
        self.delivered_lines += self.last_ack[1] * (nonce == self.last_ack[0])  # and so has this message
