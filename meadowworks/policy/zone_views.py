"""What reports say: the zones' views of the servers, and verdicts on single ones."""

from statistics import median

from meadowworks.policy.control_channel import ControlChannel
from meadowworks.policy.state import LAST, OPEN_RATE, SECOND, WINDOW_NS, Met

SLO_PART, LN2 = 0.5, 0.6931  # latency under this part of the SLO time is none to throttle for
ILL, DEAD = 0.15, 0.6  # dropped share above the fleet's median that costs a rung, or all of them
LEAST_TRIES, LEAST_QUEUE = 6.0, 2.0  # heard before a verdict; with less waiting a server is not what dawdles
# Times the fleet's median latency that costs a rung if too near the SLO time; reports until that has shown.
SLOW, VERDICT_REPORTS = 1.7, 5.0
SILENT, HASTE = 0.95, 0.2  # dropped share of one that answers nothing, and its part of that wait


class ZoneViews(ControlChannel):
    def odd(self, covers_ns: int, latency_ns: int, *counts: float) -> bool:  # guards against spoilt reports
        return not 0 < covers_ns <= WINDOW_NS or latency_ns > WINDOW_NS or max(counts) > OPEN_RATE

    def on_backend_report(self, now: int, zone: int, place: int, tries: int, bad: int, latency_ns: int,
                          covers_ns: int, load: dict[str, float]) -> None:
        backend, view = self.backends.get(place), self.views[zone]
        if backend is None or self.odd(covers_ns, latency_ns, tries, load.get("queue", 0)):
            return
        backend.met.add(now, self.half_ns, tries, bad, latency_ns)
        if backend.ready:  # guards against a release taken for a jam: what drains turns calls away
            view.ways.setdefault(backend.zone, Met()).add(now, self.climb_ns, tries, bad, latency_ns)
            view.met.add(now, self.half_ns / 2, tries, bad, latency_ns)  # many tries: a jam is told sooner
        backend.queue = load.get("queue", backend.queue)
        # Only good answers count, so quick errors lift nothing; late bundles are no jump.
        until, rate = now + 2 * max(covers_ns, self.set.report_ns), (tries - bad) * SECOND / covers_ns
        view.lines[place], view.fresh = (rate, latency_ns, until), True

    def on_demand_report(self, now: int, number: int, route: int, calls: int, dropped: int,
                         covers_ns: int) -> None:
        proxy = self.proxies.get(number)
        if proxy is not None and not self.odd(covers_ns, 0, calls):
            # Counts fade with time: no line tells of long idle time, nor of a proxy that is cut off.
            half = float(max(self.set.report_ns, covers_ns))
            old = proxy.asked.get(route, (calls * (SECOND / covers_ns - LN2 * SECOND / half), 0))[0]
            proxy.asked[route] = old + calls * LN2 * SECOND / half, half

    def judge(self, now: int) -> None:  # down a rung for what drops or dawdles; if all are ill, none is
        for p, b in list(self.backends.items()):
            b.met.add(now, self.half_ns, 0, 0, 0)  # what is not heard fades, or a silent suspect stays one
            if 0 < b.gone_ns < now - WINDOW_NS and not b.ready and all(p not in t for t in self.tables):
                del self.backends[p]  # guards against a memory of all that ever were
                self.host.release_backend(p)
        heard = [b.met for b in self.backends.values() if b.ready and b.met.tries >= LEAST_TRIES]
        usual = median(m.bad / m.tries for m in heard) if heard else 0.0
        waits = [m.spent / (m.tries - m.bad) for m in heard if m.tries - m.bad >= 1]
        slow = max(SLOW * median(waits), SLO_PART * self.slo_ns) if waits else 0.0
        wait = VERDICT_REPORTS * self.set.report_ns + self.set.delay_most_ns
        for place, b in self.backends.items():
            share = b.met.bad / b.met.tries - usual if b.met.tries >= LEAST_TRIES else 0.0
            silent = b.met.bad > SILENT * b.met.tries
            if not b.ready or now - b.moved_ns < (HASTE if silent else 1) * wait:
                continue
            good = b.met.tries - b.met.bad
            slower = good >= LEAST_TRIES and b.met.spent / good >= slow and not 0 <= b.queue < LEAST_QUEUE
            full = b.queue >= LEAST_QUEUE and not silent
            rung = b.rung - (now - b.moved_ns >= self.climb_ns)
            if share >= ILL and not full or slower:
                rung = LAST if share >= DEAD and not full else b.rung + 1
            if min(LAST, max(0, rung)) != b.rung:
                b.rung, b.moved_ns, b.met = rung, now, Met()
                self.host.log(f"suspect {place} on rung {rung}")
