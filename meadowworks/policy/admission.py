"""Admission control: the median of the zones' views, and limits that keep all calls under it."""

from statistics import median

from meadowworks.policy.state import SETTLING_NS, UNLIMITED_RATE
from meadowworks.policy.zone_views import SLO_SHARE, ZoneViews

LATENCY_TOLERANCE, MIN_CUT, RECOVERY_GAIN, CAPACITY_CAP = 2.0, 0.5, 0.1, 2.0  # see docs/design/: of a view
PROVEN_SHARE, CALM_PROVEN_SHARE = 0.4, 0.8  # parts of the best throughput that a budget keeps
MIN_ADMISSION, ADMISSION_STEP, WEIGHT_STEP = 0.1, 0.05, 0.1  # least limit; least moves of a limit, a weight


class AdmissionControl(ZoneViews):
    def estimate_capacity(self, now: int) -> list[float]:
        """Calls a second to admit in each zone: the median of the views; below 0 before any report."""
        for view in self.views:
            view.good_rates = {p: rate for p, rate in view.good_rates.items() if rate[2] > now}
        total = sum(rate for view in self.views for rate, _, _ in view.good_rates.values())
        for view in self.views:
            good = sum(rate for rate, _, _ in view.good_rates.values())
            if view.has_news and good > 0:
                view.has_news = False
                latency = sum(rate * lag for rate, lag, _ in view.good_rates.values()) / good
                base = view.least_latency.add(now, latency)
                cut = max(LATENCY_TOLERANCE * base, SLO_SHARE * self.slo_ns) / max(latency, 1)
                view.latency_ok = cut >= 1
                old = view.capacity if view.capacity >= 0 else CAPACITY_CAP * total
                new = old * min(1.0, max(MIN_CUT, cut)) + RECOVERY_GAIN * total
                view.capacity = min(CAPACITY_CAP * total, new)
        # What was answered lately can be answered again: guards against a limit that feeds on itself.
        weight = sum(b.weight for b in self.backends.values() if b.ready) + 1e-9
        self.proven_rate = -self.best_rate.add(now, -total / weight) * weight
        known = [v for v in self.views if v.capacity >= 0]
        if not known:
            return [-1.0] * len(self.views)
        # Guards against one zone's overload that starves the calm ones, and their ease that feeds it.
        mixed = any(v.overloaded for v in known) and any(v.latency_ok and not v.overloaded for v in known)
        all_calm, fold = all(v.latency_ok for v in self.views), median(v.capacity for v in known)
        budgets = []
        for view in self.views:
            share = CALM_PROVEN_SHARE if (view.latency_ok if mixed else all_calm) else PROVEN_SHARE
            mean = (fold + view.capacity) / 2
            own = mean if mixed and view.overloaded else max(fold, mixed * view.capacity)
            budgets.append(max(own, share * self.proven_rate))
        return budgets

    def update_admission(self, now: int) -> None:
        """Admits routes by importance, each cut to its least limit before a more important one is."""
        routes = self.settings.routes
        rates = [[p.demand.get(k, (0.0, 0))[0] for p in self.proxies.values()] for k in range(len(routes))]
        demands = [sum(each) + 1e-9 for each in rates]
        self.demand = sum(demands)
        self.slo_ns = sum(d * r.slo_ns for d, r in zip(demands, routes, strict=True)) / self.demand
        budgets = self.estimate_capacity(now)
        if now - self.started_ns < SETTLING_NS or min(budgets) < 0:
            return
        for view, remaining in zip(self.views, budgets, strict=True):
            view.admissions = [(1.0, 1)] * len(routes)
            for importance in sorted({r.importance for r in routes}, reverse=True):
                same = [k for k, r in enumerate(routes) if r.importance == importance]
                rate = sum(demands[k] for k in same)
                ratio = max(MIN_ADMISSION, min(1.0, remaining / rate))
                remaining = max(0.0, remaining - ratio * rate)
                for k in same:
                    view.admissions[k] = round(ratio / ADMISSION_STEP) * ADMISSION_STEP, 1
                    if self.settings.admission_unit == "rate":  # calls a second at each proxy
                        most = float(f"{ratio * max(rates[k], default=0.0):.1g}") + 1
                        view.admissions[k] = UNLIMITED_RATE if ratio >= 1 else most, 1
