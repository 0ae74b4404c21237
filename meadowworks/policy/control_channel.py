"""The channel to the proxies: what may be sent now, and what has left it."""

from collections import deque
from collections.abc import Sequence

from meadowworks.policy.state import FRESH_NS, PACE_NS, SECOND, WINDOW_NS, ControllerState, Proxy

CHANNEL_TRUST, MARKS = (0.5, 0.33), 65536  # of its rate: by urgent orders; by the rest. Numbers of marks
KEEP_DRAIN, KEEP_JOIN, KEEP_USUAL = 0.1, 0.3, 0.5  # parts of the caps that orders of a kind leave free


class ControlChannel(ControllerState):
    def take(self, now: int, users: Sequence[Proxy], lines: int, keep: float, rest: int = -1) -> int:
        """Takes room in queue and caps for lines to each user, and leaves some; with a rest, a part does."""
        gone, self.queue_ns = (now - self.queue_ns) / SECOND * self.set.channel_rate, now
        # Guards against a channel slower than stated: from a mark on that is overdue, all still waits.
        self.marks = deque(m for m in self.marks if m[1] >= now - WINDOW_NS)
        stuck = max((self.sent - before for _, due, before, _ in self.marks if due < now), default=0.0)
        self.queue = [max(stuck, q - gone * t) for q, t in zip(self.queue, CHANNEL_TRUST, strict=True)]
        fresh = [p for p in users if not p.sent or p.sent[-1] != now]  # others have a message in this reply
        for proxy in fresh:
            while proxy.sent and proxy.sent[0] <= now - self.set.messages_over_ns:
                proxy.sent.popleft()
            if self.set.messages_most and len(proxy.sent) + 1 > self.set.messages_most * (1 - keep):
                return 0
        part, rest = rest >= 0, max(0, rest)
        least = min(lines or rest, max(1, int(self.set.head)))  # fewer are not worth their heads
        heads = self.set.head * len(fresh)
        # Guards against ordinary orders that wait in the channel for longer than the next of their zone take
        # to come, and all that is urgent behind them.
        out = min(self.queue[1], self.sent - self.passed)
        if keep == KEEP_USUAL and out and out + heads > PACE_NS / SECOND * self.set.channel_rate:
            return 0
        if users:
            wait = stuck > 0 and now - self.marked_ns < FRESH_NS  # the next mark may be answered
            kept = zip((keep, max(wait, KEEP_USUAL)), self.queue, strict=True)
            most, usual = (int((self.set.queue_cap * (1 - k) - q - heads) / len(users)) for k, q in kept)
            rest = min(rest, max(0, usual - lines)) if lines <= most else most - lines
            if lines + rest < least or lines > most and not part:
                return 0
        cost = (lines + rest) * len(users) + heads + len(fresh)  # a mark each
        if fresh and self.marked_ns != now:
            self.marked_ns, self.mark = now, (self.mark + 1) % MARKS
            due = now + int(cost / self.set.channel_rate * SECOND) + self.set.report_ns
            self.marks.append((self.mark, due + self.set.delay_most_ns, self.sent, cost / len(fresh)))
            self.host.request_ack(self.mark)
        self.sent, self.queue = self.sent + cost, [q + cost for q in self.queue]
        for proxy in fresh:
            proxy.sent.append(now)
        return lines + rest

    def on_ack(self, now: int, mark: int) -> None:
        while any(m[0] == mark for m in self.marks):  # what was sent before has left the channel
            _, _, self.passed, each = self.marks.popleft()
            self.answering = mark, each
        self.passed += self.answering[1] * (mark == self.answering[0])  # and so has this message
