"""The state that all decisions share."""

from collections import deque
from collections.abc import Iterable

from meadowworks.policy.interface import Host, Settings
from meadowworks.policy.records import Backend, Proxy, ZoneView
from meadowworks.policy.statistics import SlidingMinimum
from meadowworks.policy.timers import TimerQueue

SECOND_NS = 1_000_000_000
WINDOW_NS = 30 * SECOND_NS  # of baselines, and of what is remembered
UPDATE_INTERVAL_NS, SETTLING_NS = SECOND_NS, 5 * SECOND_NS  # between routine updates of a zone; after a start
UNLIMITED_RATE = 1e6  # calls a second that no proxy has; as an admission limit, none where limits are rates
CONNECTION_SHARE = 0.8  # of the connections a backend accepts that a zone's proxies may take
# A new backend enters at a tenth and rises in steps of its slow start, to a part of the least it can do.
ENTRY_SHARE, RAMP_STEPS, RAMP_MARGIN = 0.1, (0.1, 0.25, 0.45, 0.7, 0.9), 0.9
TICKS_PER_REPORT = 2  # half a report interval is the longest wait for news
HALF_LIFE_REPORTS, RECOVERY_REPORTS = 2.0, 8.0  # of statistics; until an ejection step is won back
EJECTION_WEIGHTS, LAST_STEP = (1.0, 0.7, 0.5, 0.35, 0.2, 0.1, 0.01), 6  # of its weight, by ejection step


class ControllerState:
    def __init__(self, host: Host, settings: Settings, seed: int, now_ns: int) -> None:
        self.host, self.settings, self.timers = host, settings, TimerQueue(seed)
        self.failed_list_calls = self.nonce = self.nonce_sent_ns = 0
        self.started_ns = self.stalled_ns = self.last_tick_ns = self.queue_updated_ns = now_ns
        self.backends: dict[int, Backend] = {}
        self.proxies: dict[int, Proxy] = {}
        own = [k for k, r in enumerate(settings.routes) if r.own_zone_only]
        usual = [k for k in range(len(settings.routes)) if k not in own]
        # One table a zone; routes confined to their zone have another beside it, never filled from outside.
        masks = [(sum(1 << k for k in part), part is own) for part in (usual, own) if part]
        limit = CONNECTION_SHARE * settings.backend_connections * settings.zone_count or settings.proxy_count
        self.subset_count = max(1, -int(-settings.proxy_count // (limit or 1)))
        self.last_update_ns = [-SECOND_NS] * (groups := settings.zone_count * self.subset_count)
        self.group_tables = [[(g * len(masks) + k, *m) for k, m in enumerate(masks)] for g in range(groups)]
        self.tables: list[dict[int, float]] = [{} for group in self.group_tables for _ in group]
        self.admissions: list[dict[int, tuple[float, int]]] = [{} for _ in self.tables]
        # The retry policy goes with the first table as one line; later it costs each proxy a message.
        grant = UNLIMITED_RATE if settings.admission_unit == "rate" else 1.0, 1
        grants = [grant] * len(settings.routes)
        self.views = [ZoneView(SlidingMinimum(WINDOW_NS), [*grants]) for _ in range(settings.zone_count)]
        self.best_rate = SlidingMinimum(WINDOW_NS)  # the greatest throughput of a weight of 1, negated
        self.slo_ns = max(float(r.slo_ns) for r in settings.routes)  # the mean over recent calls
        self.sent_lines = self.delivered_lines = self.demand = self.proven_rate = 0.0
        self.queued_lines = [0.0, 0.0]  # estimated at each of RATE_SHARES
        self.pending_nonces: deque[tuple[int, int, float, float]] = deque()  # nonce, due, sent before, each
        self.last_ack = -1, 0.0  # nonce, and lines of a message that carries it
        self.slice_tables: dict[int, dict[int, float]] = {}
        self.slice_handovers: dict[int, int] = {}  # slices whose owner is gone, and when the next may follow
        self.half_life_ns = HALF_LIFE_REPORTS * settings.report_interval_ns
        self.recovery_ns = RECOVERY_REPORTS * settings.report_interval_ns
        self.tick_interval_ns = settings.report_interval_ns // TICKS_PER_REPORT
        host.set_timer(self.tick_interval_ns)
        if settings.watches_list:
            host.watch_list(True)

    def lightest_subset(self, zone: int, members: Iterable[Backend | Proxy]) -> int:
        weights = [0.0] * self.subset_count
        for member in (one for one in members if one.zone == zone):
            weights[member.subset] += max(member.weight, 1e-3)
        return min(range(self.subset_count), key=weights.__getitem__)

    def weight_factor(self, now: int, backend: Backend) -> float:
        """The part of its listed weight that a backend gets: less while it is new or suspect."""
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
        """Recent calls a second; the proxy's usual ones until it has reported."""
        return sum(rate for rate, _ in self.proxies[proxy].demand.values()) or self.proxies[proxy].weight
