"""The design's fold: views by median into one estimate, and one level that keeps all grants under it."""

from collections import deque
from statistics import median

from meadowworks.policy.state import FRESH_NS, OPEN_RATE, WINDOW_NS
from meadowworks.policy.zone_views import SLO_PART, ZoneViews

TOLERANCE, LEAST_CUT, GAIN, CAP = 2.0, 0.5, 0.1, 2.0  # the design's (docs/design/): of a view
PROVEN, PROVEN_CALM = 0.4, 0.8  # parts of the best throughput that a budget keeps; the latter in calm
FLOOR, LEVEL_STEP, LINE_STEP = 0.1, 0.05, 0.1  # the least level; the least moves of a level and of a weight


class AdmissionControl(ZoneViews):
    def lowest(self, now: int, seen: deque[tuple[int, float]], value: float) -> float:
        while seen and seen[-1][1] >= value:
            seen.pop()
        seen.append((now, value))
        while seen[0][0] < now - WINDOW_NS:
            seen.popleft()
        return seen[0][1]

    def estimate(self, now: int) -> list[float]:  # calls a second for each zone: the median of the views
        for view in self.views:
            view.lines = {p: line for p, line in view.lines.items() if line[2] > now}
        total = sum(rate for view in self.views for rate, _, _ in view.lines.values())
        for view in self.views:
            good = sum(rate for rate, _, _ in view.lines.values())
            if view.fresh and good > 0:
                view.fresh = False
                latency = sum(rate * lag for rate, lag, _ in view.lines.values()) / good
                base = self.lowest(now, view.lows, latency)
                cut = max(TOLERANCE * base, SLO_PART * self.slo_ns) / max(latency, 1)
                view.calm = cut >= 1
                old = view.calls if view.calls >= 0 else CAP * total
                view.calls = min(CAP * total, old * min(1.0, max(LEAST_CUT, cut)) + GAIN * total)
        # What was answered lately can be answered again: guards against a level that feeds on itself.
        weight = sum(b.weight for b in self.backends.values() if b.ready) + 1e-9
        self.proven = -self.lowest(now, self.best, -total / weight) * weight
        # Guards against one zone's jam that starves the calm ones, and their ease that feeds it.
        heard = [v for v in self.views if v.calls >= 0]
        torn = any(v.jam for v in heard) and any(v.calm and not v.jam for v in heard)
        fold, budgets = median(v.calls for v in heard) if heard else -1.0, []
        for view in self.views:
            part = PROVEN_CALM if (view.calm if torn else all(v.calm for v in self.views)) else PROVEN
            mine = (fold + view.calls) / 2 if torn and view.jam else max(fold, torn * view.calls)
            budgets.append(max(mine, part * self.proven) if heard else -1.0)
        return budgets

    def spend(self, now: int) -> None:
        routes = self.set.routes
        each = [[p.asked.get(k, (0.0, 0))[0] for p in self.proxies.values()] for k in range(len(routes))]
        asked = [sum(rates) + 1e-9 for rates in each]
        self.asking = sum(asked)
        self.slo_ns = sum(a * r.slo_ns for a, r in zip(asked, routes, strict=True)) / self.asking
        budgets = self.estimate(now)
        if now - self.born_ns < FRESH_NS or min(budgets) < 0:
            return
        for view, left in zip(self.views, budgets, strict=True):
            view.grants = [(1.0, 1)] * len(routes)
            for importance in sorted({r.importance for r in routes}, reverse=True):
                same = [k for k, r in enumerate(routes) if r.importance == importance]
                calls = sum(asked[k] for k in same)
                level = max(FLOOR, min(1.0, left / calls))
                left = max(0.0, left - level * calls)
                for k in same:
                    view.grants[k] = round(level / LEVEL_STEP) * LEVEL_STEP, 1
                    if self.set.level_kind == "rate":  # calls a second at each proxy
                        most = float(f"{level * max(each[k], default=0.0):.1g}") + 1
                        view.grants[k] = OPEN_RATE if level >= 1 else most, 1
