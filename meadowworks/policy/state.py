"""The state that all decisions share, and weights in slow start."""

from collections import deque
from collections.abc import Iterable

from meadowworks.policy.interface import Host, Settings
from meadowworks.policy.records import Backend, Proxy, ZoneView
from meadowworks.policy.statistics import SlidingMinimum
from meadowworks.policy.timers import TimerQueue

SECOND_NS = 1_000_000_000
WINDOW_NS = 30 * SECOND_NS  # of sliding minima; missing backends and late nonces expire after it
UPDATE_INTERVAL_NS, SETTLING_NS = SECOND_NS, 5 * SECOND_NS  # between routine updates; after a start
UNLIMITED_RATE = 1e6  # calls a second that no proxy reaches; as a rate limit it admits all calls
CONNECTION_SHARE = 0.8  # part of a backend's connections that the proxies of one zone may use
# Slow start: the weight is a tenth at first, then RAMP_MARGIN of the least capacity at each step of age.
ENTRY_SHARE, RAMP_STEPS, RAMP_MARGIN = 0.1, (0.1, 0.25, 0.45, 0.7, 0.9), 0.9
TICKS_PER_REPORT = 2  # reports wait half an interval at most
HALF_LIFE_REPORTS, RECOVERY_REPORTS = 2.0, 8.0  # half-life of statistics; time to regain an ejection step
EJECTION_WEIGHTS, LAST_STEP = (1.0, 0.7, 0.5, 0.35, 0.2, 0.1, 0.01), 6  # weight factors by step


class ControllerState:
    def __init__(self, host: Host, settings: Settings, seed: int, now_ns: int) -> None:
        self.host, self.settings, self.timers = host, settings, TimerQueue(seed)
        self.failed_list_calls = self.nonce = self.nonce_sent_ns = 0
        self.started_ns = self.stalled_ns = self.last_tick_ns = self.queue_updated_ns = now_ns
        self.backends: dict[int, Backend] = {}
        self.proxies: dict[int, Proxy] = {}
        confined = [k for k, r in enumerate(settings.routes) if r.own_zone_only]
        others = [k for k in range(len(settings.routes)) if k not in confined]
        # One table for each group; routes confined to their zone have a second one of local backends alone.
        masks = [(sum(1 << k for k in part), part is confined) for part in (others, confined) if part]
        limit = CONNECTION_SHARE * settings.backend_connections * settings.zone_count or settings.proxy_count
        self.subset_count = max(1, -int(-settings.proxy_count // (limit or 1)))
        self.last_update_ns = [-SECOND_NS] * (groups := settings.zone_count * self.subset_count)
        self.group_tables = [[(g * len(masks) + k, *m) for k, m in enumerate(masks)] for g in range(groups)]
        self.tables: list[dict[int, float]] = [{} for group in self.group_tables for _ in group]
        self.admissions: list[dict[int, tuple[float, int]]] = [{} for _ in self.tables]
        # Set here, the retry policy goes along with the first table; later it would cost a message per proxy.
        grant = UNLIMITED_RATE if settings.admission_unit == "rate" else 1.0, 1
        grants = [grant] * len(settings.routes)
        self.views = [ZoneView(SlidingMinimum(WINDOW_NS), [*grants]) for _ in range(settings.zone_count)]
        self.best_rate = SlidingMinimum(WINDOW_NS)  # negated: the highest throughput per unit of weight
        self.slo_ns = max(float(r.slo_ns) for r in settings.routes)  # later the mean over recent calls
        self.sent_lines = self.delivered_lines = self.demand = self.proven_rate = 0.0
        self.queued_lines = [0.0, 0.0]  # estimated at each of RATE_SHARES
        self.pending_nonces: deque[tuple[int, int, float, float]] = deque()  # nonce, due, lines before, lines
        self.last_ack = -1, 0.0  # nonce, and lines of a message that carries it
        self.slice_tables: dict[int, dict[int, float]] = {}
        self.slice_handovers: dict[int, int] = {}  # by slice: when its next owner may start
        self.half_life_ns = HALF_LIFE_REPORTS * settings.report_interval_ns
        self.recovery_ns = RECOVERY_REPORTS * settings.report_interval_ns
        self.tick_interval_ns = settings.report_interval_ns // TICKS_PER_REPORT
        host.set_timer(self.tick_interval_ns)
        if settings.watches_list:
            host.watch_list(True)

    def least_loaded_subset(self, zone: int, members: Iterable[Backend | Proxy]) -> int:
        weights = [0.0] * self.subset_count
        for member in (m for m in members if m.zone == zone):
            weights[member.subset] += max(member.weight, 1e-3)
        return min(range(self.subset_count), key=weights.__getitem__)

    def weight_factor(self, now: int, backend: Backend) -> float:
        """Return the factor of a backend's listed weight: less than 1 in slow start or while ejected."""
        age = (now - backend.started_ns) / self.settings.slow_start_ns if backend.started_ns else 1.0
        step = max((start for start in RAMP_STEPS if age >= start), default=0.0)
        min_capacity = self.settings.slow_start_share + (1 - self.settings.slow_start_share) * step
        ramp = 1.0 if step == RAMP_STEPS[-1] else RAMP_MARGIN * min_capacity if step else ENTRY_SHARE
        return EJECTION_WEIGHTS[backend.ejection_step] * ramp

    def is_warming(self, now: int, backend: Backend) -> bool:
        return now - backend.started_ns < self.settings.slow_start_ns

    def exceeds_slow_start_weight(self, now: int, backend: Backend, weight: float) -> bool:
        return self.is_warming(now, backend) and weight > backend.weight * self.weight_factor(now, backend)

    def call_rate(self, proxy: int) -> float:
        """Return a proxy's recent calls a second, or its usual ones until it has reported."""
        return sum(rate for rate, _ in self.proxies[proxy].demand.values()) or self.proxies[proxy].weight
