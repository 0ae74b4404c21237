"""Each zone's table: its own servers by capacity, others' where a guard below says so."""

from meadowworks.policy.admission import PROVEN, AdmissionControl
from meadowworks.policy.state import FRESH_NS, RUNGS, SECOND, Met, Pool, ZoneView
from meadowworks.policy.zone_views import ILL, LEAST_QUEUE, LEAST_TRIES, SLO_PART

JAM, CALM = (0.08, 0.02), 3.0  # dropped share that jams a zone, and ends it; times as much if none is avoided
SPILL_AT, SPILL_STEP, CROWD = 0.85, 0.1, 1.0  # part of its fair room, and calls waiting, to send some abroad
NET, NET_MOST = 2.0, 0.25  # weight abroad beside cold servers, as a part of theirs, and of a table's
# Part of what tips a cold server that its table may bring it, since calls come unevenly; a split's least.
BEAR, LEAST_LINES, SPLIT_LEAST = 0.8, 3, 0.75


class ZoneTables(AdmissionControl):
    def balance(self, now: int) -> None:
        """Guards against a zone that loses servers, has cold or suspect ones, or meets far more calls."""
        own = (now - self.born_ns >= FRESH_NS) / (self.set.controllers if self.set.by_zone else 1)
        room, listed, asked = ([least] * self.set.zones for least in (0.0, 1e-9, 1e-9))
        waits: list[list[float]] = [[] for _ in room]
        cold, bear = [0.0] * len(room), [0.0] * len(room)  # of the room; what that can do
        for b in (backend for backend in self.backends.values() if backend.ready):
            listed[b.zone] += b.weight
            room[b.zone] += (weight := b.weight * self.part(now, b))
            waits[b.zone].append(max(0.0, b.queue))
            cold[b.zone] += weight * (new := self.cold(now, b))
            bear[b.zone] += weight * new / RUNGS[b.rung]
        for view, queues in zip(self.views, waits, strict=True):
            view.crowd, view.asked = sum(queues) / max(1, len(queues)), 0.0
        hot = [0.0] * self.set.zones
        for number, proxy in self.proxies.items():
            asked[proxy.zone] += (rate := self.calls(number))
            hot[proxy.zone] += rate * rate
            view = self.views[proxy.zone]
            levels = [min(1.0, level) for level, _ in view.grants]
            view.asked += sum(levels[k] * r for k, (r, _) in proxy.asked.items()) or rate
        if not sum(room):
            return
        need = [own * asked[z] / sum(asked) + (1 - own) * listed[z] / sum(listed) for z in range(len(room))]
        spare = [max(0.0, r / sum(room) - n) for r, n in zip(room, need, strict=True)]
        for zone, view in enumerate(self.views):
            share = view.met.bad / max(view.met.tries, LEAST_TRIES) / (1 if self.set.ejects else CALM)
            if share > JAM[0] if not view.jam else share < JAM[1]:
                view.jam = not view.jam
                self.host.log(f"zone {zone} " + ("jammed" if view.jam else "no longer jammed"))
            view.full = max(view.full, listed[zone])
            # Guards against pushing over a cold server in a jam, unless the cold bear what may come: their
            # part by weight, or that of the calls whose proxies may be avoiding the warm.
            share = max(self.shunned(view, zone, hot[zone] / asked[zone]), cold[zone] / max(room[zone], 1e-9))
            most = max(self.asking, PROVEN * self.proven) * view.full * share
            view.frail = view.jam and self.set.tip * bear[zone] * self.proven < most
            # Uneven calls alone, with none waiting, are the zone's own; a spill once begun ends later.
            strained = view.crowd >= CROWD or not view.calm or view.jam
            short = strained or view.keep < 1.0 or room[zone] <= SPILL_AT * view.full
            keep = room[zone] / sum(room) / need[zone]
            end = SPILL_AT + (SPILL_STEP if view.keep < 1.0 else 0.0)
            keep = min(keep, SPILL_AT) if short and keep <= end else 1.0
            # Guards against a zone that has room by its weight and none by its queues.
            free = [s / max(1.0, self.views[z].crowd / max(CROWD, view.crowd)) for z, s in enumerate(spare)]
            keep = 1 - (1 - keep) * (sum(free) - free[zone]) / max(sum(spare) - spare[zone], 1e-9)
            if abs(keep - view.keep) <= SPILL_STEP * view.keep and (keep < 1.0 or view.keep == 1.0):
                continue
            self.host.log(f"zone {zone} " + ("keeps calls" if keep == 1.0 else "sends calls abroad"))
            excess = room[zone] * (1 - keep) / max(keep, RUNGS[-1]) / max(sum(free) - free[zone], 1e-9)
            view.keep = keep
            view.abroad = [excess * s / max(r, 1e-9) for s, r in zip(free, room, strict=True)]

    def shunned(self, view: ZoneView, zone: int, rate: float) -> float:
        """The part of a zone's calls that may go round its warm servers. A call's proxy has so many a second,
        and avoids a server once `ejects` tries in a row have failed there, for a cold time at the longest."""
        drops = min(1 - 1e-9, view.met.bad / max(view.met.tries, LEAST_TRIES))
        in_row = drops ** self.set.ejects if self.set.ejects else 0.0
        run = (1 - in_row) / (1 - drops)  # tries until so many in a row have failed, times in_row
        cells = self.cells[zone * self.splits : (zone + 1) * self.splits]
        lines = max(len(self.tables[table]) for cell in cells for table, _, _ in cell)
        met = rate / max(1, lines) * self.set.cold_ns / SECOND * in_row
        return met / (met + run)

    def poor(self, zone: int, far: int) -> bool:  # guards against a slow or lossy link, not full servers
        home, away = self.views[zone].ways.get(zone, Met()), self.views[zone].ways.get(far, Met())
        told = min(home.tries, away.tries) >= LEAST_TRIES and self.views[far].crowd < LEAST_QUEUE
        late = away.spent / max(away.tries - away.bad, 1) - home.spent / max(home.tries - home.bad, 1)
        return told and (away.bad / away.tries - home.bad / home.tries > ILL or late > SLO_PART * self.slo_ns)

    def pool(self, now: int, zone: int, home: bool) -> Pool:
        far = {z for z in range(self.set.zones) if z != zone and self.poor(zone, z)}
        all_ready = {p: b for p, b in self.backends.items() if b.ready and (b.zone == zone or not home)}
        ready = {p: b for p, b in all_ready.items() if b.zone not in far} or all_ready
        weights = {p: max(b.weight, 1e-3) * self.part(now, b) for p, b in ready.items()}
        warm = {p: b for p, b in ready.items() if not self.cold(now, b)}
        ready = warm if warm and self.shut(now, self.views[zone]) else ready
        own = {p: b for p, b in ready.items() if b.zone == zone} or ready
        return Pool(ready, own, warm, weights, sum(weights[p] for p in own))

    def wanted(self, now: int, zone: int, split: int, pool: Pool) -> dict[int, float]:
        view, ready, own, weights = self.views[zone], pool.ready, pool.own, pool.weights
        # Guards against more connections than servers accept: its own, and of the next ones to its share.
        lines: dict[int, float] = {}
        share = SPLIT_LEAST * pool.whole / self.splits
        for p in sorted(own, key=lambda p: ((own[p].split - split) % self.splits, p)):
            if own[p].split == split or len(lines) < LEAST_LINES or sum(lines.values()) < share:
                lines[p] = weights[p]
        if view.keep < 1.0 and len(own) < len(ready):
            lines.update((p, weights[p] * (min(1.0, a) if self.cold(now, b) else a)) for p, b in ready.items()
                         if b.zone != zone and b.split == split and (a := view.abroad[b.zone]) > 0)
        # Guards against pushing over a cold server when the warm ones beside it go off at one stroke, and
        # where a table's servers are too few for its calls: some go abroad, however busy it is there.
        total, frail = sum(lines.values()), sum(w for p, w in lines.items() if self.cold(now, ready[p]))
        net = {p: weights[p] for p, b in pool.warm.items()
               if b.split == split and (p not in lines or p not in own)}
        most, lack = sum(net.values()), min(NET * frail, NET_MOST * total)
        lack -= sum(lines[p] for p in lines if p not in own)
        if frail and self.proven > 0:
            bear = BEAR * self.set.tip * -self.best[0][1]  # calls a second at a weight of 1
            lack = max(lack, min(most, view.asked / self.splits / bear - total))
        return lines | {p: lines.get(p, 0.0) + lack * w / most for p, w in net.items() if lack > 0}

    def shut(self, now: int, view: ZoneView) -> bool:  # to cold servers: they are heard of too late
        return view.frail or now - self.blind_ns < FRESH_NS
