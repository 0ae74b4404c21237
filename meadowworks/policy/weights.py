"""The tables of each zone: local backends by capacity, and remote ones where a guard adds them."""

from meadowworks.policy.admission import PROVEN_SHARE, AdmissionControl
from meadowworks.policy.records import CandidatePool, ZoneLoad, ZoneView
from meadowworks.policy.state import EJECTION_WEIGHTS, SECOND_NS, SETTLING_NS
from meadowworks.policy.statistics import AttemptStats
from meadowworks.policy.zone_views import MIN_ATTEMPTS, MIN_QUEUE, SLO_SHARE, UNHEALTHY_RATIO

OVERLOAD_RATIOS, NO_EJECTION_FACTOR = (0.08, 0.02), 3.0  # at start and end; divisor if proxies never eject
SPILL_RATIO, SPILL_STEP, SPILL_QUEUE = 0.85, 0.1, 1.0  # least capacity ratio, hysteresis, mean queue
BACKUP_FACTOR, BACKUP_LIMIT = 2.0, 0.25  # remote weight per warming weight; its part of a table
LOAD_MARGIN, MIN_BACKENDS, SUBSET_MIN_SHARE = 0.8, 3, 0.75  # for uneven calls; least size, share of weight


class ZoneTables(AdmissionControl):
    def update_spillover(self, now: int) -> None:
        """Update each zone's overload state and the share of its calls that spills over to other zones."""
        loads = self.zone_loads(now)
        if not (capacity := sum(z.capacity for z in loads)):
            return
        listed, calls = sum(z.listed for z in loads), sum(z.call_rate for z in loads)
        coverage = 1 / self.settings.controller_count if self.settings.proxies_join_local_controller else 1.0
        confidence = (now - self.started_ns >= SETTLING_NS) * coverage
        need = [confidence * z.call_rate / calls + (1 - confidence) * z.listed / listed for z in loads]
        spare = [max(0.0, z.capacity / capacity - n) for z, n in zip(loads, need, strict=True)]
        for zone, (view, load) in enumerate(zip(self.views, loads, strict=True)):
            ratio = view.stats.failure_ratio(MIN_ATTEMPTS)
            ratio = ratio / (1 if self.settings.proxy_ejection_threshold else NO_EJECTION_FACTOR)
            if ratio > OVERLOAD_RATIOS[0] if not view.overloaded else ratio < OVERLOAD_RATIOS[1]:
                view.overloaded = not view.overloaded
                self.host.log(f"zone {zone}: {'' if view.overloaded else 'no longer '}overloaded")
            view.peak_weight = max(view.peak_weight, load.listed)
            # Prevents overloading warming backends in an overloaded zone, unless they can take the calls that
            # may reach them: their part by weight, or those of proxies that may have ejected warm backends.
            ejected = self.ejected_share(view, zone, load.call_rate_squares / load.call_rate)
            share = max(ejected, load.warming / max(load.capacity, 1e-9))
            expected = max(self.demand, PROVEN_SHARE * self.proven_rate) * view.peak_weight * share
            bearable = self.settings.overload_factor * load.warming_limit * self.proven_rate
            view.warming_at_risk = view.overloaded and bearable < expected
            self.spill_over(zone, loads, need[zone], spare)

    def zone_loads(self, now: int) -> list[ZoneLoad]:
        loads = [ZoneLoad() for _ in self.views]
        for b in (backend for backend in self.backends.values() if backend.ready):
            load = loads[b.zone]
            load.listed += b.weight
            load.capacity += (weight := b.weight * self.weight_factor(now, b))
            load.queues.append(max(0.0, b.queue_length))
            load.warming += weight * (warming := self.is_warming(now, b))
            load.warming_limit += weight * warming / EJECTION_WEIGHTS[b.ejection_step]
        for view, load in zip(self.views, loads, strict=True):
            view.mean_queue, view.admitted_rate = sum(load.queues) / max(1, len(load.queues)), 0.0
        for number, proxy in self.proxies.items():
            load, view = loads[proxy.zone], self.views[proxy.zone]
            load.call_rate += (rate := self.call_rate(number))
            load.call_rate_squares += rate * rate
            limits = [min(1.0, limit) for limit, _ in view.admissions]
            view.admitted_rate += sum(limits[k] * r for k, (r, _) in proxy.demand.items()) or rate
        return loads

    def spill_over(self, zone: int, loads: list[ZoneLoad], need: float, spare: list[float]) -> None:
        """Set the share of a zone's calls that stays local, and the weight factors of other zones."""
        view, capacity, old = self.views[zone], loads[zone].capacity, self.views[zone].local_share
        # Uneven calls alone, without queues, cause no spillover; one that has begun ends at a higher ratio.
        strained = view.mean_queue >= SPILL_QUEUE or not view.latency_ok or view.overloaded
        short = strained or old < 1.0 or capacity <= SPILL_RATIO * view.peak_weight
        share = capacity / sum(z.capacity for z in loads) / need
        end_ratio = SPILL_RATIO + (SPILL_STEP if old < 1.0 else 0.0)
        share = min(share, SPILL_RATIO) if short and share <= end_ratio else 1.0
        # Prevents spilling over to zones that have spare weight but long queues.
        queue = max(SPILL_QUEUE, view.mean_queue)
        free = [s / max(1.0, v.mean_queue / queue) for s, v in zip(spare, self.views, strict=True)]
        available = sum(free) - free[zone]
        share = 1 - (1 - share) * available / max(sum(spare) - spare[zone], 1e-9)
        if abs(share - old) <= SPILL_STEP * old and (share < 1.0 or old == 1.0):
            return
        self.host.log(f"zone {zone}: {'keeps its calls' if share == 1.0 else 'spills over to other zones'}")
        excess = capacity * (1 - share) / max(share, EJECTION_WEIGHTS[-1]) / max(available, 1e-9)
        view.local_share = share
        view.remote_weights = [excess * s / max(z.capacity, 1e-9) for s, z in zip(free, loads, strict=True)]

    def ejected_share(self, view: ZoneView, zone: int, rate: float) -> float:
        """Return the part of a zone's calls whose proxies may have ejected the warm backends: each has `rate`
        calls a second, and ejects a backend after consecutive failures, for one slow start at most."""
        ratio, threshold = view.stats.failure_ratio(MIN_ATTEMPTS), self.settings.proxy_ejection_threshold
        ratio = min(1 - 1e-9, ratio)
        chance = ratio**threshold if threshold else 0.0
        until_ejection = (1 - chance) / (1 - ratio)  # expected attempts, times chance
        groups = self.group_tables[zone * self.subset_count : (zone + 1) * self.subset_count]
        backends = max(len(self.tables[table]) for group in groups for table, _, _ in group)
        attempts = rate / max(1, backends) * self.settings.slow_start_ns / SECOND_NS * chance
        return attempts / (attempts + until_ejection)

    def is_path_degraded(self, zone: int, remote: int) -> bool:
        """Return whether the path to another zone is slow or lossy; full backends do not count."""
        stats = self.views[zone].stats_by_zone
        here, there = stats.get(zone, AttemptStats()), stats.get(remote, AttemptStats())
        if min(here.attempts, there.attempts) < MIN_ATTEMPTS or self.views[remote].mean_queue >= MIN_QUEUE:
            return False
        remote_ns, local_ns = (s.latency_sum / max(s.attempts - s.failures, 1) for s in (there, here))
        excess = there.failures / there.attempts - here.failures / here.attempts
        return excess > UNHEALTHY_RATIO or remote_ns - local_ns > SLO_SHARE * self.slo_ns

    def candidate_pool(self, now: int, zone: int, own_zone_only: bool) -> CandidatePool:
        poor = {z for z in range(self.settings.zone_count) if z != zone and self.is_path_degraded(zone, z)}
        usable = {i: b for i, b in self.backends.items() if b.ready and (b.zone == zone or not own_zone_only)}
        ready = {i: b for i, b in usable.items() if b.zone not in poor} or usable
        weights = {i: max(b.weight, 1e-3) * self.weight_factor(now, b) for i, b in ready.items()}
        warm = {i: b for i, b in ready.items() if not self.is_warming(now, b)}
        ready = warm if warm and self.excludes_warming(now, self.views[zone]) else ready
        local = {i: b for i, b in ready.items() if b.zone == zone} or ready
        return CandidatePool(ready, local, warm, weights, sum(weights[i] for i in local))

    def target_weights(self, now: int, zone: int, subset: int, pool: CandidatePool) -> dict[int, float]:
        """Return the target weights of the table of one subset of a zone's proxies."""
        view, local, weights = self.views[zone], pool.local, pool.weights
        # Limits connections: the subset's own backends, and of the next subsets as many as it needs.
        table: dict[int, float] = {}
        share = SUBSET_MIN_SHARE * pool.local_weight / self.subset_count
        for i in sorted(local, key=lambda i: ((local[i].subset - subset) % self.subset_count, i)):
            if local[i].subset == subset or len(table) < MIN_BACKENDS or sum(table.values()) < share:
                table[i] = weights[i]
        if view.local_share < 1.0 and len(local) < len(pool.ready):
            for i, b in pool.ready.items():
                factor = view.remote_weights[b.zone] if b.zone != zone and b.subset == subset else 0.0
                if factor > 0:
                    table[i] = weights[i] * (min(1.0, factor) if self.is_warming(now, b) else factor)
        # Prevents overloading warming backends when the warm ones beside them fail at once, or when a table
        # has too few backends for its calls: adds warm backends of other zones, even busy ones.
        total = sum(table.values())
        warming = sum(w for i, w in table.items() if self.is_warming(now, pool.ready[i]))
        others = [i for i, b in pool.warm.items() if b.subset == subset and not (i in table and i in local)]
        backups = {i: weights[i] for i in others}
        spare, missing = sum(backups.values()), min(BACKUP_FACTOR * warming, BACKUP_LIMIT * total)
        missing -= sum(table[i] for i in table if i not in pool.local)
        if warming and self.proven_rate > 0:
            max_rate = LOAD_MARGIN * self.settings.overload_factor * -self.best_rate.value  # per weight
            missing = max(missing, min(spare, view.admitted_rate / self.subset_count / max_rate - total))
        return table | {i: table.get(i, 0.0) + missing * w / spare for i, w in backups.items() if missing > 0}

    def excludes_warming(self, now: int, view: ZoneView) -> bool:
        """Return whether tables leave out warming backends, as reports of them could come too late."""
        return view.warming_at_risk or now - self.stalled_ns < SETTLING_NS
