"""Admission control: the median of the zones' capacity estimates, and limits that keep calls under it."""

from statistics import median

from meadowworks.policy.state import SETTLING_NS, UNLIMITED_RATE
from meadowworks.policy.zone_views import SLO_SHARE, ZoneViews

LATENCY_TOLERANCE, MIN_CUT, RECOVERY_GAIN, CAPACITY_CAP = 2.0, 0.5, 0.1, 2.0  # factors; see docs/design/
PROVEN_SHARE, HEALTHY_PROVEN_SHARE = 0.4, 0.8  # least budget, as parts of the proven rate
MIN_ADMISSION, ADMISSION_STEP, WEIGHT_STEP = 0.1, 0.05, 0.1  # least limit; least changes of limits, weights


class AdmissionControl(ZoneViews):
    def estimate_capacity(self, now: int) -> list[float]:
        """Return the calls a second to admit in each zone, by the median of the estimates; -1: no report."""
        for view in self.views:
            view.success_rates = {i: rate for i, rate in view.success_rates.items() if rate[2] > now}
        total = sum(rate for view in self.views for rate, _, _ in view.success_rates.values())
        for view in self.views:
            successes = sum(rate for rate, _, _ in view.success_rates.values())
            if view.has_new_reports and successes > 0:
                view.has_new_reports = False
                latency = sum(rate * ns for rate, ns, _ in view.success_rates.values()) / successes
                base = view.min_latency.add(now, latency)
                cut = max(LATENCY_TOLERANCE * base, SLO_SHARE * self.slo_ns) / max(latency, 1)
                view.latency_ok = cut >= 1
                old = view.capacity if view.capacity >= 0 else CAPACITY_CAP * total
                new = old * min(1.0, max(MIN_CUT, cut)) + RECOVERY_GAIN * total
                view.capacity = min(CAPACITY_CAP * total, new)
        # Prevents a limit from lowering itself: throughput that was reached recently can be reached again.
        weight = sum(b.weight for b in self.backends.values() if b.ready) + 1e-9
        self.proven_rate = -self.best_rate.add(now, -total / weight) * weight
        active = [v for v in self.views if v.capacity >= 0]
        if not active:
            return [-1.0] * len(self.views)
        # Prevents an overloaded zone from throttling healthy ones, and these from raising its limit.
        mixed = any(v.overloaded for v in active) and any(v.latency_ok and not v.overloaded for v in active)
        all_ok, median_capacity = all(v.latency_ok for v in self.views), median(v.capacity for v in active)
        budgets = []
        for view in self.views:
            share = HEALTHY_PROVEN_SHARE if (view.latency_ok if mixed else all_ok) else PROVEN_SHARE
            mean = (median_capacity + view.capacity) / 2
            budget = mean if mixed and view.overloaded else max(median_capacity, mixed * view.capacity)
            budgets.append(max(budget, share * self.proven_rate))
        return budgets

    def update_admission(self, now: int) -> None:
        """Admit routes by importance: each is cut to the least limit before a more important one is cut."""
        routes = self.settings.routes
        rates = [[p.demand.get(k, (0.0, 0))[0] for p in self.proxies.values()] for k in range(len(routes))]
        demands = [sum(route_rates) + 1e-9 for route_rates in rates]
        self.demand = sum(demands)
        self.slo_ns = sum(d * r.slo_ns for d, r in zip(demands, routes, strict=True)) / self.demand
        budgets = self.estimate_capacity(now)
        if now - self.started_ns < SETTLING_NS or min(budgets) < 0:
            return
        for view, remaining in zip(self.views, budgets, strict=True):
            view.admissions = [(1.0, 1)] * len(routes)
            for importance in sorted({r.importance for r in routes}, reverse=True):
                tier = [k for k, r in enumerate(routes) if r.importance == importance]
                rate = sum(demands[k] for k in tier)
                ratio = max(MIN_ADMISSION, min(1.0, remaining / rate))
                remaining = max(0.0, remaining - ratio * rate)
                for k in tier:
                    view.admissions[k] = round(ratio / ADMISSION_STEP) * ADMISSION_STEP, 1
                    if self.settings.admission_unit == "rate":  # calls a second at each proxy
                        limit = float(f"{ratio * max(rates[k], default=0.0):.1g}") + 1
                        view.admissions[k] = UNLIMITED_RATE if ratio >= 1 else limit, 1
