"""Each zone's tables: its own backends by capacity, others' where a guard below says so."""

from meadowworks.policy.admission import PROVEN_SHARE, AdmissionControl
from meadowworks.policy.records import CandidatePool, ZoneLoad, ZoneView
from meadowworks.policy.state import EJECTION_WEIGHTS, SECOND_NS, SETTLING_NS
from meadowworks.policy.statistics import AttemptStats
from meadowworks.policy.zone_views import MIN_ATTEMPTS, MIN_QUEUE, SLO_SHARE, UNHEALTHY_RATIO

OVERLOAD_RATIOS, NO_EJECTION_FACTOR = (0.08, 0.02), 3.0  # begin and end; times as much if none is avoided
SPILL_RATIO, SPILL_STEP, SPILL_QUEUE = 0.85, 0.1, 1.0  # of its fair capacity, and mean queue, to spill over
BACKUP_FACTOR, BACKUP_LIMIT = 2.0, 0.25  # remote weight beside warming backends: of theirs, of a table's
LOAD_MARGIN, MIN_BACKENDS, SUBSET_MIN_SHARE = 0.8, 3, 0.75  # of what overloads, as calls come unevenly


class ZoneTables(AdmissionControl):
    def update_spillover(self, now: int) -> None:
        """Guards against a zone that loses backends, has warming or suspect ones, or meets far more calls."""
        loads = self.zone_loads(now)
        if not (capacity := sum(z.capacity for z in loads)):
            return
        listed, asked = sum(z.listed for z in loads), sum(z.asked for z in loads)
        own = 1 / self.settings.controller_count if self.settings.proxies_join_local_controller else 1.0
        known = (now - self.started_ns >= SETTLING_NS) * own
        need = [known * z.asked / asked + (1 - known) * z.listed / listed for z in loads]
        spare = [max(0.0, z.capacity / capacity - n) for z, n in zip(loads, need, strict=True)]
        for zone, (view, load) in enumerate(zip(self.views, loads, strict=True)):
            ratio = view.stats.failure_ratio(MIN_ATTEMPTS)
            ratio = ratio / (1 if self.settings.proxy_ejection_threshold else NO_EJECTION_FACTOR)
            if ratio > OVERLOAD_RATIOS[0] if not view.overloaded else ratio < OVERLOAD_RATIOS[1]:
                view.overloaded = not view.overloaded
                self.host.log(f"zone {zone}: {'' if view.overloaded else 'no longer '}overloaded")
            view.peak_weight = max(view.peak_weight, load.listed)
            # Guards against overloading a warming backend in an overload, unless the warming bear what may
            # come: their part by weight, or that of the calls whose proxies may be avoiding the warm.
            avoided = self.avoided_share(view, zone, load.squares / load.asked)
            share = max(avoided, load.warming / max(load.capacity, 1e-9))
            most = max(self.demand, PROVEN_SHARE * self.proven_rate) * view.peak_weight * share
            bears = self.settings.overload_factor * load.bearable * self.proven_rate
            view.warming_at_risk = view.overloaded and bears < most
            self.spill_over(zone, loads, need[zone], spare)

    def zone_loads(self, now: int) -> list[ZoneLoad]:
        loads = [ZoneLoad() for _ in self.views]
        for b in (backend for backend in self.backends.values() if backend.ready):
            load = loads[b.zone]
            load.listed += b.weight
            load.capacity += (weight := b.weight * self.weight_factor(now, b))
            load.queues.append(max(0.0, b.queue_length))
            load.warming += weight * (is_new := self.is_warming(now, b))
            load.bearable += weight * is_new / EJECTION_WEIGHTS[b.ejection_step]
        for view, load in zip(self.views, loads, strict=True):
            view.mean_queue, view.admitted_rate = sum(load.queues) / max(1, len(load.queues)), 0.0
        for number, proxy in self.proxies.items():
            load, view = loads[proxy.zone], self.views[proxy.zone]
            load.asked += (rate := self.call_rate(number))
            load.squares += rate * rate
            limits = [min(1.0, limit) for limit, _ in view.admissions]
            view.admitted_rate += sum(limits[k] * r for k, (r, _) in proxy.demand.items()) or rate
        return loads

    def spill_over(self, zone: int, loads: list[ZoneLoad], need: float, spare: list[float]) -> None:
        """Decides how much of a zone's calls goes to the backends of others."""
        view, capacity, kept = self.views[zone], loads[zone].capacity, self.views[zone].local_share
        # Uneven calls alone, with none waiting, are the zone's own; a spill once begun ends later.
        strained = view.mean_queue >= SPILL_QUEUE or not view.latency_ok or view.overloaded
        short = strained or kept < 1.0 or capacity <= SPILL_RATIO * view.peak_weight
        keep = capacity / sum(z.capacity for z in loads) / need
        end = SPILL_RATIO + (SPILL_STEP if kept < 1.0 else 0.0)
        keep = min(keep, SPILL_RATIO) if short and keep <= end else 1.0
        # Guards against a zone that has room by its weight and none by its queues.
        queue = max(SPILL_QUEUE, view.mean_queue)
        free = [s / max(1.0, v.mean_queue / queue) for s, v in zip(spare, self.views, strict=True)]
        rest = sum(free) - free[zone]
        keep = 1 - (1 - keep) * rest / max(sum(spare) - spare[zone], 1e-9)
        if abs(keep - kept) <= SPILL_STEP * kept and (keep < 1.0 or kept == 1.0):
            return
        self.host.log(f"zone {zone}: " + ("keeps its calls" if keep == 1.0 else "spills over to other zones"))
        excess = capacity * (1 - keep) / max(keep, EJECTION_WEIGHTS[-1]) / max(rest, 1e-9)
        view.local_share = keep
        view.remote_weights = [excess * s / max(z.capacity, 1e-9) for s, z in zip(free, loads, strict=True)]

    def avoided_share(self, view: ZoneView, zone: int, rate: float) -> float:
        """The part of a zone's calls that may avoid its warm backends: its proxy has `rate` a second, and
        avoids a backend where so many attempts in a row failed, for a slow start at the longest."""
        ratio, ejects_after = view.stats.failure_ratio(MIN_ATTEMPTS), self.settings.proxy_ejection_threshold
        ratio = min(1 - 1e-9, ratio)
        in_row = ratio**ejects_after if ejects_after else 0.0
        run = (1 - in_row) / (1 - ratio)  # attempts until so many in a row have failed, times in_row
        groups = self.group_tables[zone * self.subset_count : (zone + 1) * self.subset_count]
        backends = max(len(self.tables[table]) for group in groups for table, _, _ in group)
        met = rate / max(1, backends) * self.settings.slow_start_ns / SECOND_NS * in_row
        return met / (met + run)

    def is_poor_link(self, zone: int, remote: int) -> bool:
        """Guards against a slow or lossy link, not against full backends."""
        stats = self.views[zone].stats_by_zone
        here, there = stats.get(zone, AttemptStats()), stats.get(remote, AttemptStats())
        if min(here.attempts, there.attempts) < MIN_ATTEMPTS or self.views[remote].mean_queue >= MIN_QUEUE:
            return False
        late, usual = (s.latency_sum / max(s.attempts - s.failures, 1) for s in (there, here))
        excess = there.failures / there.attempts - here.failures / here.attempts
        return excess > UNHEALTHY_RATIO or late - usual > SLO_SHARE * self.slo_ns

    def candidates(self, now: int, zone: int, own_zone_only: bool) -> CandidatePool:
        poor = {z for z in range(self.settings.zone_count) if z != zone and self.is_poor_link(zone, z)}
        found = {p: b for p, b in self.backends.items() if b.ready and (b.zone == zone or not own_zone_only)}
        ready = {p: b for p, b in found.items() if b.zone not in poor} or found
        weights = {p: max(b.weight, 1e-3) * self.weight_factor(now, b) for p, b in ready.items()}
        warm = {p: b for p, b in ready.items() if not self.is_warming(now, b)}
        ready = warm if warm and self.excludes_warming(now, self.views[zone]) else ready
        local = {p: b for p, b in ready.items() if b.zone == zone} or ready
        return CandidatePool(ready, local, warm, weights, sum(weights[p] for p in local))

    def target_weights(self, now: int, zone: int, subset: int, pool: CandidatePool) -> dict[int, float]:
        """What the table of a subset of a zone's proxies is to hold."""
        view, local, weights = self.views[zone], pool.local, pool.weights
        # Guards against more connections than backends accept: its own, and of the next ones to its share.
        table: dict[int, float] = {}
        share = SUBSET_MIN_SHARE * pool.local_weight / self.subset_count
        for p in sorted(local, key=lambda p: ((local[p].subset - subset) % self.subset_count, p)):
            if local[p].subset == subset or len(table) < MIN_BACKENDS or sum(table.values()) < share:
                table[p] = weights[p]
        if view.local_share < 1.0 and len(local) < len(pool.ready):
            for p, b in pool.ready.items():
                factor = view.remote_weights[b.zone] if b.zone != zone and b.subset == subset else 0.0
                if factor > 0:
                    table[p] = weights[p] * (min(1.0, factor) if self.is_warming(now, b) else factor)
        # Guards against overloading a warming backend when the warm ones beside it go off at one stroke, and
        # where a table's backends are too few for its calls: some spill over, however busy it is there.
        total = sum(table.values())
        frail = sum(w for p, w in table.items() if self.is_warming(now, pool.ready[p]))
        others = [p for p, b in pool.warm.items() if b.subset == subset and not (p in table and p in local)]
        backups = {p: weights[p] for p in others}
        most, lack = sum(backups.values()), min(BACKUP_FACTOR * frail, BACKUP_LIMIT * total)
        lack -= sum(table[p] for p in table if p not in pool.local)
        if frail and self.proven_rate > 0:
            bears = LOAD_MARGIN * self.settings.overload_factor * -self.best_rate.value  # at a weight of 1
            lack = max(lack, min(most, view.admitted_rate / self.subset_count / bears - total))
        return table | {p: table.get(p, 0.0) + lack * w / most for p, w in backups.items() if lack > 0}

    def excludes_warming(self, now: int, view: ZoneView) -> bool:
        """Whether tables name no warming backend: what happens to it would be reported too late."""
        return view.warming_at_risk or now - self.stalled_ns < SETTLING_NS
