"""What reports say: each zone's view of the backends, and the ejection of single ones."""

from statistics import median

from meadowworks.policy.control_channel import ControlChannel
from meadowworks.policy.interface import AttemptReport
from meadowworks.policy.state import LAST_STEP, SECOND_NS, UNLIMITED_RATE, WINDOW_NS
from meadowworks.policy.statistics import AttemptStats

SLO_SHARE, LN2 = 0.5, 0.6931  # latency below this part of the SLO is no reason to throttle
UNHEALTHY_RATIO, DEAD_RATIO = 0.15, 0.6  # failure ratio above the median that costs a step, or all of them
MIN_ATTEMPTS, MIN_QUEUE = 6.0, 2.0  # reported before a verdict; with a shorter queue a backend is not slow
SLOW_FACTOR, STEP_REPORTS = 1.7, 5.0  # times the median latency that cost a step; reports until it shows
SILENT_RATIO, SILENT_WAIT_SHARE = 0.95, 0.2  # failure ratio of one that answers nothing; its part of the wait


class ZoneViews(ControlChannel):
    def is_implausible(self, period_ns: int, latency_ns: int, *counts: float) -> bool:
        """Guards against corrupt reports."""
        return not 0 < period_ns <= WINDOW_NS or latency_ns > WINDOW_NS or max(counts) > UNLIMITED_RATE

    def on_backend_report(self, now: int, zone: int, index: int, report: AttemptReport) -> None:
        attempts, failures, latency_ns, period_ns, load = report
        backend, view = self.backends.get(index), self.views[zone]
        if backend is None or self.is_implausible(period_ns, latency_ns, attempts, load.get("queue", 0)):
            return
        backend.stats.add(now, self.half_life_ns, attempts, failures, latency_ns)
        if backend.ready:  # guards against a release taken for an overload: what drains rejects calls
            view.stats_by_zone[backend.zone].add(now, self.recovery_ns, attempts, failures, latency_ns)
            view.stats.add(now, self.half_life_ns / 2, attempts, failures, latency_ns)  # many: shows sooner
        backend.queue_length = load.get("queue", backend.queue_length)
        # Only successes count, so quick errors lift nothing; late bundles are no jump.
        expiry = now + 2 * max(period_ns, self.settings.report_interval_ns)
        view.good_rates[index] = (attempts - failures) * SECOND_NS / period_ns, latency_ns, expiry
        view.has_news = True

    def on_demand_report(self, now: int, number: int, route: int, calls: int, period_ns: int) -> None:
        proxy = self.proxies.get(number)
        if proxy is not None and not self.is_implausible(period_ns, 0, calls):
            # Decays with time: no report tells of a long idle time, nor of a proxy that is cut off.
            half_life = float(max(self.settings.report_interval_ns, period_ns))
            first = calls * (SECOND_NS / period_ns - LN2 * SECOND_NS / half_life)
            rate = proxy.demand.get(route, (first, 0))[0] + calls * LN2 * SECOND_NS / half_life
            proxy.demand[route] = rate, half_life

    def update_ejections(self, now: int) -> None:
        """Moves backends that fail or are slow a step down, and others up; if all are unhealthy, none is."""
        for index, b in list(self.backends.items()):
            b.stats.add(now, self.half_life_ns, 0, 0, 0)  # decays, or a silent suspect stays one
            gone = 0 < b.missing_since_ns < now - WINDOW_NS and not b.ready
            if gone and all(index not in table for table in self.tables):
                del self.backends[index]  # guards against a memory of all that ever were
                self.host.release_backend(index)
        known = [b.stats for b in self.backends.values() if b.ready and b.stats.attempts >= MIN_ATTEMPTS]
        usual = median(s.failures / s.attempts for s in known) if known else 0.0
        latencies = [s.latency_sum / s.successes for s in known if s.successes >= 1]
        slow = max(SLOW_FACTOR * median(latencies), SLO_SHARE * self.slo_ns) if latencies else 0.0
        wait = STEP_REPORTS * self.settings.report_interval_ns + self.settings.max_delay_ns
        for index, b in self.backends.items():
            stats, since_change = b.stats, now - b.step_changed_ns
            silent = stats.failures > SILENT_RATIO * stats.attempts
            if not b.ready or since_change < (SILENT_WAIT_SHARE if silent else 1) * wait:
                continue
            excess = stats.failures / stats.attempts - usual if stats.attempts >= MIN_ATTEMPTS else 0.0
            slower = stats.successes >= MIN_ATTEMPTS and stats.latency_sum / stats.successes >= slow
            slower = slower and not 0 <= b.queue_length < MIN_QUEUE
            full = b.queue_length >= MIN_QUEUE and not silent
            step = b.ejection_step - (since_change >= self.recovery_ns)
            if excess >= UNHEALTHY_RATIO and not full or slower:
                step = LAST_STEP if excess >= DEAD_RATIO and not full else b.ejection_step + 1
            if min(LAST_STEP, max(0, step)) != b.ejection_step:
                b.ejection_step, b.step_changed_ns, b.stats = step, now, AttemptStats()
                self.host.log(f"backend {index}: ejection step {step} of {LAST_STEP}")
