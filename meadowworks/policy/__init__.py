"""All decisions of a meadowworks controller.

An adapter builds a `Controller`, gives it a `Host` (interface.py) and calls a method for each event."""

import heapq
from collections.abc import Sequence
from functools import partial

from meadowworks.policy.interface import EndpointEntry
from meadowworks.policy.publisher import TablePublisher
from meadowworks.policy.state import LAST, Backend, Met, Proxy

ASK_PART, ASK_MOST = 0.05, 0.4  # waits after a list call failed, of the time to ask within: first, longest
STALL_TICKS, RECHECK = 3, 4.0  # a turn this late was held up; reports until one called gone is looked at


class Controller(TablePublisher):
    def on_endpoints(self, now: int, how: str, entries: Sequence[EndpointEntry]) -> None:
        if how == "error":  # the old list stands; ask again, each time later and never all at once
            wait = min(ASK_MOST, ASK_PART * 2**self.failures) * self.set.ask_within_ns
            self.failures += 1
            return self.later(now + int(wait * (0.5 + self.chance())), partial(self.host.watch_list, True))
        self.failures = 0
        if how != "changes":
            named = {entry.backend for entry in entries}
            for place in [place for place in self.backends if place not in named]:
                self.retain(place)
        for entry in entries:
            if entry.backend not in self.backends:
                split = self.lightest(entry.zone, [b for b in self.backends.values() if b.ready])
                self.backends[entry.backend] = Backend(entry.zone, entry.weight, entry.since_ns, split)
            known = self.backends[entry.backend]
            if entry.since_ns > known.since_ns:  # a start, under whatever name: what was known is void
                known.since_ns, known.rung, known.met = entry.since_ns, 0, Met()
            known.zone, known.weight = entry.zone, entry.weight if self.set.fixed_weights else known.weight
            if entry.state == "gone":
                self.retain(entry.backend)
            else:
                known.ready, known.lost, known.gone_ns = entry.state == "ready", False, 0
        self.update_tables(now)

    def retain(self, place: int, again: bool = False) -> None:  # guards against a list that is wrong
        if (b := self.backends.get(place)) is None:
            return  # forgotten since it was to be looked at again
        b.gone_ns = b.gone_ns or self.ticked_ns
        if not b.ready or b.lost != again:
            return
        b.ready = b.lost = self.set.only_draining_binds and (self.set.probes or b.rung < LAST)
        if b.lost:
            self.later(self.ticked_ns + int(RECHECK * self.set.report_ns), partial(self.retain, place, True))
            if self.set.probes:
                self.host.check_health(place)

    def on_health_check(self, now: int, place: int, answered: bool) -> None:
        if (b := self.backends.get(place)) and b.lost and not answered:
            b.ready = b.lost = False
            self.update_tables(now)

    def on_proxy_joined(self, now: int, number: int, zone: int, usual: float) -> None:
        self.proxies[number] = Proxy(zone, usual, self.lightest(zone, self.proxies.values()))
        own = self.cells[zone * self.splits + self.proxies[number].split]
        if any(not (b := self.backends[p]).ready or self.cold(now, b) and w > b.weight * self.part(now, b)
               for table, _, _ in own for p, w in self.tables[table].items()):
            self.update_tables(now)  # guards against putting it on a table that caps held back
        self.assign_tables(now, number)

    def on_proxy_left(self, now: int, number: int) -> None:
        self.proxies.pop(number, None)

    def tick(self, now: int) -> None:
        self.host.set_timer(self.tick_ns)
        if now - self.ticked_ns > STALL_TICKS * self.tick_ns:
            self.blind_ns = now  # it stood still, and may again: what happens next is heard late
            self.host.log("stood still")
        for p in self.proxies.values():
            p.asked = {k: (r * 2 ** ((self.ticked_ns - now) / h), h) for k, (r, h) in p.asked.items()}
        self.ticked_ns = now
        while self.due and self.due[0][0] <= now:
            heapq.heappop(self.due)[2]()
        if not self.set.slices:
            self.judge(now)
            self.spend(now)
        self.update_tables(now)
        for number in self.proxies:
            self.assign_tables(now, number)
