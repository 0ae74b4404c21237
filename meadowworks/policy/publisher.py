"""Table updates: changes tables towards their targets as the channel allows, and reassigns slices."""

from functools import cache, partial

from meadowworks.policy.admission import WEIGHT_STEP
from meadowworks.policy.control_channel import RESERVE_JOIN, RESERVE_ROUTINE, RESERVE_URGENT
from meadowworks.policy.records import PoolLookup, Proxy, WeightChange
from meadowworks.policy.state import UPDATE_INTERVAL_NS
from meadowworks.policy.weights import ZoneTables


class TablePublisher(ZoneTables):
    def update_tables(self, now: int) -> None:
        """Change all tables towards their targets; urgent removals do not wait for the update interval."""
        if self.settings.slice_count:
            return self.update_slices(now)
        self.update_spillover(now)
        pools = cache(partial(self.candidate_pool, now))
        users: dict[tuple[int, int], list[Proxy]] = {}
        for proxy in self.proxies.values():
            if proxy.assigned:
                users.setdefault((proxy.zone, proxy.subset), []).append(proxy)
        for group in sorted(range(len(self.last_update_ns)), key=self.last_update_ns.__getitem__):
            self.update_group(now, group, pools, users.get(divmod(group, self.subset_count), []))

    def update_group(self, now: int, group: int, pools: PoolLookup, users: list[Proxy]) -> None:
        """Update the tables of a group, the proxies of one subset of a zone, as the channel allows."""
        zone, subset = divmod(group, self.subset_count)
        limits: dict[tuple[int, tuple[float, int]], int] = {}
        changes: list[WeightChange] = []
        for table, routes, own_zone_only in self.group_tables[group]:
            for k, (limit, retry) in enumerate(self.views[zone].admissions):
                grant = limit, 0 if self.views[zone].overloaded else retry  # retries would worsen an overload
                current = self.admissions[table].get(k, (1.0, self.settings.initial_retry_policy))
                if routes >> k & 1 and current != grant:
                    limits[table, grant] = limits.get((table, grant), 0) | 1 << k
            target = self.target_weights(now, zone, subset, pools(zone, own_zone_only))
            changes += self.weight_changes(now, zone, table, target)
        # If the channel lacks room for all: urgent changes first, then limits, then the largest changes.
        changes.sort()
        urgent = sum(change.rank < 2 for change in changes)
        deferred = users and not urgent and now - self.last_update_ns[group] < UPDATE_INTERVAL_NS
        if not changes and not limits or deferred:
            return
        reserve, extra = RESERVE_URGENT if urgent else RESERVE_ROUTINE, len(changes) - urgent + len(limits)
        granted = self.reserve(now, users, urgent, reserve, extra)
        self.last_update_ns[group] = now if users and granted else self.last_update_ns[group]
        if granted >= urgent + len(limits):
            granted -= len(limits)
            for (table, grant), mask in limits.items():
                self.host.set_admission(table, mask, *grant)
                self.admissions[table].update((k, grant) for k in range(mask.bit_length()) if mask >> k & 1)
        for _, _, table, index, weight in changes[:granted]:
            self.host.set_weight(table, index, weight)
            self.tables[table][index] = weight
            if not weight:
                del self.tables[table][index]

    def weight_changes(self, now: int, zone: int, table: int, target: dict[int, float]) -> list[WeightChange]:
        """Return the differences of a table from its target; changes of a lower rank are sent first."""
        current, excluded, changes = self.tables[table], self.excludes_warming(now, self.views[zone]), []
        rank = 2 if any(i in target for i in current) else 0
        for i, w in target.items():
            old = current.get(i, 0.0)
            if abs(old - w) > WEIGHT_STEP * w:
                # Prevents a backend that restarts under its name from keeping the weight of a warm one.
                lowered = old > w and self.is_warming(now, self.backends[i])
                changes.append(WeightChange(min(rank, 1) if lowered else rank, -abs(old - w), table, i, w))
        for i, w in current.items():
            if i not in target:
                # A warming backend that may be overloaded leaves at once, any other one by a routine update.
                b = self.backends[i]
                at_risk = self.is_warming(now, b) and (excluded or w > b.weight * self.weight_factor(now, b))
                changes.append(WeightChange(1 if not b.ready or at_risk else 2, -w, table, i, 0.0))
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

    def on_slice_assigned(self, now: int, number: int, assigned: bool) -> None:
        self.slice_tables.pop(number, None)
        self.slice_handovers.pop(number, None)
        if assigned:
            self.slice_tables[number] = {}

    def on_slice_backend(self, now: int, number: int, index: int, weight: float) -> None:
        self.slice_tables.get(number, {})[index] = weight

    def update_slices(self, now: int) -> None:
        """Reassign slices of unready backends; exclusive ones only once the old owner's writes have ended."""
        ready = [i for i, b in self.backends.items() if b.ready]
        warm = [i for i in ready if not self.is_warming(now, self.backends[i])] or ready
        exclusive, retry = self.settings.exclusive_slices, min(self.settings.initial_retry_policy, 1)
        for number, table in self.slice_tables.items():
            unready = [i for i in table if i not in ready]
            must_wait = exclusive and unready and now < self.slice_handovers.get(number, now + 1)
            if not warm or table and not unready or must_wait and number in self.slice_handovers:
                continue
            if not self.reserve(now, [*self.proxies.values()], len(unready) + 2, RESERVE_URGENT):
                return
            if must_wait:  # stop calls to the old owner first, and assign the next owner later
                fence_ns = self.settings.slice_lease_ns + self.settings.max_in_flight_ns
                self.slice_handovers[number] = now + fence_ns + self.settings.max_delay_ns
                self.host.set_admission(number, 0, 0.0, retry)
                continue
            if len(unready) == len(table):
                table[owner := warm[int(self.timers.random() * len(warm))]] = 1.0
                self.host.set_weight(number, owner, 1.0)
            for index in unready:
                del table[index]
                if not exclusive:
                    self.host.set_weight(number, index, 0.0)
            if self.slice_handovers.pop(number, None):
                self.host.set_admission(number, 0, 1.0, retry)
