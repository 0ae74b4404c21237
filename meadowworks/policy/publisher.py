"""Orders: tables brought to what is wanted, line by line as the channel allows; and slices, one by one."""

from meadowworks.policy.admission import LINE_STEP
from meadowworks.policy.control_channel import KEEP_DRAIN, KEEP_JOIN, KEEP_USUAL
from meadowworks.policy.state import PACE_NS, Pool, Proxy
from meadowworks.policy.weights import ZoneTables


class TablePublisher(ZoneTables):
    def update_tables(self, now: int) -> None:  # brings tables to what is wanted; what must go leaves at once
        if self.set.slices:
            return self.update_slices(now)
        self.balance(now)
        pools: dict[tuple[int, bool], Pool] = {}
        bound: dict[tuple[int, int], list[Proxy]] = {}
        for p in (proxy for proxy in self.proxies.values() if proxy.bound):
            bound.setdefault((p.zone, p.split), []).append(p)
        for cell in sorted(range(len(self.paced)), key=self.paced.__getitem__):  # none starves another
            zone, split = divmod(cell, self.splits)
            shut = self.shut(now, self.views[zone])
            levels: dict[tuple[int, tuple[float, int]], int] = {}
            todo: list[tuple[int, float, int, int, float]] = []  # rank, then the less the sooner; the line
            for table, routes, home in self.cells[cell]:
                for k, (level, retry) in enumerate(self.views[zone].grants):
                    grant = level, 0 if self.views[zone].jam else retry  # further tries feed a jam
                    if routes >> k & 1 and self.levels[table].get(k, (1.0, self.set.base_retry)) != grant:
                        levels[table, grant] = levels.get((table, grant), 0) | 1 << k
                if (zone, home) not in pools:
                    pools[zone, home] = self.pool(now, zone, home)
                have, want = self.tables[table], self.wanted(now, zone, split, pools[zone, home])
                moved = {p: w for p, w in want.items() if abs(have.get(p, 0.0) - w) > LINE_STEP * w}
                first = 2 if any(p in want for p in have) else 0
                # Guards against a server that restarts under its name and keeps a warm one's weight: it is
                # eased as soon as what drains leaves.
                held = {p: have.get(p, 0.0) for p in moved}
                eased = {p for p, w in moved.items() if held[p] > w and self.cold(now, self.backends[p])}
                todo += [(min(first, 1) if p in eased else first, -abs(held[p] - w), table, p, w)
                         for p, w in moved.items()]
                off = [(p, w, self.backends[p]) for p, w in have.items() if p not in want]
                # A cold one leaves at once where it may be pushed over; else it costs no message of its own.
                todo += [(1 if not b.ready or self.cold(now, b) and (shut or w > b.weight * self.part(now, b))
                          else 2, -w, table, p, 0.0) for p, w, b in off]
            # Guards against an order larger than the channel: first a line before the last leaves, then what
            # must leave (or is cold in a jam), levels, the greatest changes; more later.
            todo.sort()
            ahead = sum(rank < 2 for rank, *_ in todo)
            users = bound.get((zone, split), [])
            if not todo and not levels or users and not ahead and now - self.paced[cell] < PACE_NS:
                continue
            keep, rest = KEEP_DRAIN if ahead else KEEP_USUAL, len(todo) - ahead + len(levels)
            fit = self.take(now, users, ahead, keep, rest)
            self.paced[cell] = now if users and fit else self.paced[cell]
            if fit >= ahead + len(levels):
                fit -= len(levels)
                for (table, grant), mask in levels.items():
                    self.host.set_admission(table, mask, *grant)
                    self.levels[table].update((k, grant) for k in range(mask.bit_length()) if mask >> k & 1)
            for _, _, table, place, weight in todo[:fit]:
                self.host.set_weight(table, place, weight)
                self.tables[table][place] = weight
                if not weight:
                    del self.tables[table][place]

    def assign_tables(self, now: int, number: int) -> None:
        proxy = self.proxies[number]
        tables = self.cells[proxy.zone * self.splits + proxy.split]
        if self.set.slices or proxy.bound or not any(self.tables[t] for t, _, _ in tables):
            return
        lines = sum(1 + len(self.tables[t]) + len(self.levels[t]) for t, _, _ in tables)
        if self.take(now, [proxy], lines, KEEP_JOIN):
            proxy.bound = True
            for table, routes, _ in tables:
                self.host.assign_table(routes if len(tables) > 1 else 0, number, table)

    def on_slice_assigned(self, now: int, number: int, on: bool) -> None:
        self.slices.pop(number, None)
        self.moving.pop(number, None)
        if on:
            self.slices[number] = {}

    def on_slice_backend(self, now: int, number: int, place: int, weight: float) -> None:
        self.slices.get(number, {})[place] = weight

    def update_slices(self, now: int) -> None:  # an owner is followed only once its writes are done
        ready = [p for p, b in self.backends.items() if b.ready]
        warm = [p for p in ready if not self.cold(now, self.backends[p])] or ready
        for number, lines in self.slices.items():
            bad, retry = [p for p in lines if p not in ready], min(self.set.base_retry, 1)
            waits = self.set.exclusive and bad and now < self.moving.get(number, now + 1)
            if not warm or lines and not bad or waits and number in self.moving:
                continue
            if not self.take(now, [*self.proxies.values()], len(bad) + 2, KEEP_DRAIN):
                return
            if waits:  # first nothing goes to the former owner, later all to the next
                self.moving[number] = now + self.set.lease_ns + self.set.in_flight_ns + self.set.delay_most_ns
                self.host.set_admission(number, 0, 0.0, retry)
                continue
            if len(bad) == len(lines):
                lines[place := warm[int(self.chance() * len(warm))]] = 1.0
                self.host.set_weight(number, place, 1.0)
            for place in bad:
                del lines[place]
                if not self.set.exclusive:
                    self.host.set_weight(number, place, 0.0)
            if self.moving.pop(number, None):
                self.host.set_admission(number, 0, 1.0, retry)
