"""Table updates: tables brought to their targets as the channel allows; and slices, one by one."""

from functools import cache, partial

from meadowworks.policy.admission import WEIGHT_STEP
from meadowworks.policy.control_channel import RESERVE_JOIN, RESERVE_ROUTINE, RESERVE_URGENT
from meadowworks.policy.records import Candidates, Proxy, WeightChange
from meadowworks.policy.state import UPDATE_INTERVAL_NS
from meadowworks.policy.weights import ZoneTables


class TablePublisher(ZoneTables):
    def update_tables(self, now: int) -> None:
        """Brings tables to their targets; what must go leaves at once."""
        if self.settings.slice_count:
            return self.update_slices(now)
        self.update_spillover(now)
        candidates = cache(partial(self.candidates, now))
        users: dict[tuple[int, int], list[Proxy]] = {}
        for proxy in self.proxies.values():
            if proxy.assigned:
                users.setdefault((proxy.zone, proxy.subset), []).append(proxy)
        for group in sorted(range(len(self.last_update_ns)), key=self.last_update_ns.__getitem__):
            self.update_group(now, group, candidates, users.get(divmod(group, self.subset_count), []))

    def update_group(self, now: int, group: int, candidates: Candidates, users: list[Proxy]) -> None:
        """Updates the tables of a subset of a zone's proxies, as far as the channel allows."""
        zone, subset = divmod(group, self.subset_count)
        limits: dict[tuple[int, tuple[float, int]], int] = {}
        changes: list[WeightChange] = []
        for table, routes, own_zone_only in self.group_tables[group]:
            for k, (limit, retry) in enumerate(self.views[zone].admissions):
                grant = limit, 0 if self.views[zone].overloaded else retry  # retries feed an overload
                known = self.admissions[table].get(k, (1.0, self.settings.initial_retry_policy))
                if routes >> k & 1 and known != grant:
                    limits[table, grant] = limits.get((table, grant), 0) | 1 << k
            target = self.target_weights(now, zone, subset, candidates(zone, own_zone_only))
            changes += self.weight_changes(now, zone, table, target)
        # Guards against an update larger than the channel: the urgent, limits, the greatest changes first.
        changes.sort()
        urgent = sum(change.rank < 2 for change in changes)
        waits = users and not urgent and now - self.last_update_ns[group] < UPDATE_INTERVAL_NS
        if not changes and not limits or waits:
            return
        reserve, rest = RESERVE_URGENT if urgent else RESERVE_ROUTINE, len(changes) - urgent + len(limits)
        fit = self.reserve(now, users, urgent, reserve, rest)
        self.last_update_ns[group] = now if users and fit else self.last_update_ns[group]
        if fit >= urgent + len(limits):
            fit -= len(limits)
            for (table, grant), mask in limits.items():
                self.host.set_admission(table, mask, *grant)
                self.admissions[table].update((k, grant) for k in range(mask.bit_length()) if mask >> k & 1)
        for _, _, table, index, weight in changes[:fit]:
            self.host.set_weight(table, index, weight)
            self.tables[table][index] = weight
            if not weight:
                del self.tables[table][index]

    def weight_changes(self, now: int, zone: int, table: int, target: dict[int, float]) -> list[WeightChange]:
        """How a table differs from its target; a lower rank goes first."""
        current, excluded, changes = self.tables[table], self.excludes_warming(now, self.views[zone]), []
        rank = 2 if any(p in target for p in current) else 0
        for p, w in target.items():
            held = current.get(p, 0.0)
            if abs(held - w) > WEIGHT_STEP * w:
                # Guards against a backend that restarts under its name and keeps a warm one's weight.
                lowered = held > w and self.is_warming(now, self.backends[p])
                changes.append(WeightChange(min(rank, 1) if lowered else rank, -abs(held - w), table, p, w))
        for p, w in current.items():
            if p not in target:
                # A warming one leaves at once where it may be overloaded; else it costs no message.
                b = self.backends[p]
                at_risk = self.is_warming(now, b) and (excluded or w > b.weight * self.weight_factor(now, b))
                changes.append(WeightChange(1 if not b.ready or at_risk else 2, -w, table, p, 0.0))
        return changes

    def assign_tables(self, now: int, number: int) -> None:
        proxy = self.proxies[number]
        tables = self.group_tables[proxy.zone * self.subset_count + proxy.subset]
        if self.settings.slice_count or proxy.assigned or not any(self.tables[t] for t, _, _ in tables):
            return
        lines = sum(1 + len(self.tables[t]) + len(self.admissions[t]) for t, _, _ in tables)
        if self.reserve(now, [proxy], lines, RESERVE_JOIN):
            proxy.assigned = True
            for table, routes, _ in tables:
                self.host.assign_table(routes if len(tables) > 1 else 0, number, table)

    def on_slice_assigned(self, now: int, number: int, on: bool) -> None:
        self.slice_tables.pop(number, None)
        self.slice_handovers.pop(number, None)
        if on:
            self.slice_tables[number] = {}

    def on_slice_backend(self, now: int, number: int, index: int, weight: float) -> None:
        self.slice_tables.get(number, {})[index] = weight

    def update_slices(self, now: int) -> None:
        """Moves slices off what is not ready; an owner is followed only once its writes are done."""
        ready = [p for p, b in self.backends.items() if b.ready]
        warm = [p for p in ready if not self.is_warming(now, self.backends[p])] or ready
        exclusive, retry = self.settings.exclusive_slices, min(self.settings.initial_retry_policy, 1)
        for number, table in self.slice_tables.items():
            bad = [p for p in table if p not in ready]
            waits = exclusive and bad and now < self.slice_handovers.get(number, now + 1)
            if not warm or table and not bad or waits and number in self.slice_handovers:
                continue
            if not self.reserve(now, [*self.proxies.values()], len(bad) + 2, RESERVE_URGENT):
                return
            if waits:  # first nothing goes to the former owner, later all to the next
                pause = self.settings.slice_lease_ns + self.settings.max_in_flight_ns
                self.slice_handovers[number] = now + pause + self.settings.max_delay_ns
                self.host.set_admission(number, 0, 0.0, retry)
                continue
            if len(bad) == len(table):
                table[owner := warm[int(self.timers.random() * len(warm))]] = 1.0
                self.host.set_weight(number, owner, 1.0)
            for index in bad:
                del table[index]
                if not exclusive:
                    self.host.set_weight(number, index, 0.0)
            if self.slice_handovers.pop(number, None):
                self.host.set_admission(number, 0, 1.0, retry)
