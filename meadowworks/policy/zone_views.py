"""Views of the backends by zone, built from reports, and the ejection of single backends."""

from statistics import median

from meadowworks.policy.control_channel import ControlChannel
from meadowworks.policy.interface import AttemptReport
from meadowworks.policy.state import LAST_STEP, SECOND_NS, UNLIMITED_RATE, WINDOW_NS
from meadowworks.policy.statistics import AttemptStats

SLO_SHARE, LN2 = 0.5, 0.6931  # latency below this part of the SLO never throttles or ejects
UNHEALTHY_RATIO, DEAD_RATIO = 0.15, 0.6  # failure ratio above the median that costs one step; all steps
MIN_ATTEMPTS, MIN_QUEUE = 6.0, 2.0  # least sample to judge by; with a shorter queue no backend is slow
SLOW_FACTOR, STEP_REPORTS = 1.7, 5.0  # of the median latency; report intervals between steps
SILENT_RATIO, SILENT_WAIT_SHARE = 0.95, 0.2  # failure ratio of an unresponsive backend; its part of that time


class ZoneViews(ControlChannel):
    def is_implausible(self, period_ns: int, latency_ns: int, *counts: float) -> bool:
        """Return whether a report is corrupt: its values are out of any plausible range."""
        return not 0 < period_ns <= WINDOW_NS or latency_ns > WINDOW_NS or max(counts) > UNLIMITED_RATE

    def on_backend_report(self, now: int, zone: int, index: int, report: AttemptReport) -> None:
        attempts, failures, latency_ns, period_ns, load = report
        backend, view = self.backends.get(index), self.views[zone]
        if backend is None or self.is_implausible(period_ns, latency_ns, attempts, load.get("queue", 0)):
            return
        backend.stats.add(now, self.half_life_ns, attempts, failures, latency_ns)
        if backend.ready:  # draining backends reject calls, which is no overload
            view.stats_by_zone[backend.zone].add(now, self.recovery_ns, attempts, failures, latency_ns)
            view.stats.add(now, self.half_life_ns / 2, attempts, failures, latency_ns)
        backend.queue_length = load.get("queue", backend.queue_length)
        # Prevents fast errors, or a report that covers a long period, from raising the rate.
        expiry = now + 2 * max(period_ns, self.settings.report_interval_ns)
        view.success_rates[index] = (attempts - failures) * SECOND_NS / period_ns, latency_ns, expiry
        view.has_new_reports = True

    def on_demand_report(self, now: int, number: int, route: int, calls: int, period_ns: int) -> None:
        proxy = self.proxies.get(number)
        if proxy is not None and not self.is_implausible(period_ns, 0, calls):
            # The rate decays with time, since idle and disconnected proxies send no reports.
            half_life_ns = float(max(self.settings.report_interval_ns, period_ns))
            initial = calls * (SECOND_NS / period_ns - LN2 * SECOND_NS / half_life_ns)
            rate = proxy.demand.get(route, (initial, 0))[0] + calls * LN2 * SECOND_NS / half_life_ns
            proxy.demand[route] = rate, half_life_ns

    def update_ejections(self, now: int) -> None:
        """Eject backends that fail more than the median, or are slow, by a step each; let others recover."""
        for index, b in list(self.backends.items()):
            b.stats.add(now, self.half_life_ns, 0, 0, 0)  # decay, also without reports
            expired = 0 < b.missing_since_ns < now - WINDOW_NS and not b.ready
            if expired and all(index not in table for table in self.tables):
                del self.backends[index]  # bounds memory as backends are replaced
                self.host.release_backend(index)
        judged = [b.stats for b in self.backends.values() if b.ready and b.stats.attempts >= MIN_ATTEMPTS]
        usual_ratio = median(s.failures / s.attempts for s in judged) if judged else 0.0
        latencies = [s.latency_sum / s.successes for s in judged if s.successes >= 1]
        slow_ns = max(SLOW_FACTOR * median(latencies), SLO_SHARE * self.slo_ns) if latencies else 0.0
        wait = STEP_REPORTS * self.settings.report_interval_ns + self.settings.max_delay_ns
        for index, b in self.backends.items():
            stats, since_change = b.stats, now - b.step_changed_ns
            is_silent = stats.failures > SILENT_RATIO * stats.attempts
            if not b.ready or since_change < (SILENT_WAIT_SHARE if is_silent else 1) * wait:
                continue
            excess = stats.failures / stats.attempts - usual_ratio if stats.attempts >= MIN_ATTEMPTS else 0.0
            is_slow = stats.successes >= MIN_ATTEMPTS and stats.latency_sum / stats.successes >= slow_ns
            is_slow = is_slow and not 0 <= b.queue_length < MIN_QUEUE
            is_full = b.queue_length >= MIN_QUEUE and not is_silent
            step = b.ejection_step - (since_change >= self.recovery_ns)
            if excess >= UNHEALTHY_RATIO and not is_full or is_slow:
                step = LAST_STEP if excess >= DEAD_RATIO and not is_full else b.ejection_step + 1
            if min(LAST_STEP, max(0, step)) != b.ejection_step:
                b.ejection_step, b.step_changed_ns, b.stats = step, now, AttemptStats()
                self.host.log(f"backend {index}: ejection step {step} of {LAST_STEP}")
