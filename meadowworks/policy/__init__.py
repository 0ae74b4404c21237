"""The decisions of a meadowworks controller: an adapter calls one method of `Controller` for each event."""

from collections.abc import Sequence
from functools import partial

from meadowworks.policy.interface import EndpointEntry
from meadowworks.policy.publisher import TablePublisher
from meadowworks.policy.records import Backend, Proxy
from meadowworks.policy.state import LAST_STEP
from meadowworks.policy.statistics import AttemptStats

FIRST_RETRY, MAX_RETRY = 0.05, 0.4  # backoff after failed list calls, as parts of list_refresh_ns
STALL_TICKS, RECHECK_REPORTS = 3, 4.0  # tick delay that is a stall; delay of the recheck of a missing backend


class Controller(TablePublisher):
    def on_endpoints(self, now: int, kind: str, entries: Sequence[EndpointEntry]) -> None:
        """Apply changes of the endpoint list (`changes`), a whole list (`whole`, `disk`) or an `error`."""
        if kind == "error":  # keep the old list and retry with exponential backoff and jitter
            wait = min(MAX_RETRY, FIRST_RETRY * 2**self.failed_list_calls) * self.settings.list_refresh_ns
            self.failed_list_calls += 1
            retry_ns = now + int(wait * (0.5 + self.timers.random()))
            return self.timers.schedule(retry_ns, partial(self.host.watch_list, True))
        self.failed_list_calls = 0
        if kind != "changes":
            listed = {entry.backend for entry in entries}
            for index in [index for index in self.backends if index not in listed]:
                self.retain_missing(index)
        for entry in entries:
            if entry.backend not in self.backends:
                subset = self.least_loaded_subset(entry.zone, [b for b in self.backends.values() if b.ready])
                self.backends[entry.backend] = Backend(entry.zone, entry.weight, entry.started_ns, subset)
            backend = self.backends[entry.backend]
            if entry.started_ns > backend.started_ns:  # restarted: earlier statistics are void
                backend.started_ns, backend.ejection_step, backend.stats = entry.started_ns, 0, AttemptStats()
            backend.zone = entry.zone
            backend.weight = entry.weight if self.settings.fixed_weights else backend.weight
            if entry.state == "gone":
                self.retain_missing(entry.backend)
            else:
                backend.ready, backend.retained, backend.missing_since_ns = entry.state == "ready", False, 0
        self.update_tables(now)

    def retain_missing(self, index: int, is_recheck: bool = False) -> None:
        """Keep a backend that the list may lack by mistake, until a health check or reports contradict."""
        if (b := self.backends.get(index)) is None:
            return  # released before its recheck
        b.missing_since_ns = b.missing_since_ns or self.last_tick_ns
        if not b.ready or b.retained != is_recheck:
            return
        alive = self.settings.health_checks or b.ejection_step < LAST_STEP
        b.ready = b.retained = self.settings.removals_uncertain and alive
        if b.retained:
            recheck_ns = self.last_tick_ns + int(RECHECK_REPORTS * self.settings.report_interval_ns)
            self.timers.schedule(recheck_ns, partial(self.retain_missing, index, True))
            if self.settings.health_checks:
                self.host.check_health(index)

    def on_health_check(self, now: int, index: int, answered: bool) -> None:
        if (b := self.backends.get(index)) and b.retained and not answered:
            b.ready = b.retained = False
            self.update_tables(now)

    def on_proxy_joined(self, now: int, number: int, zone: int, usual_rate: float) -> None:
        self.proxies[number] = Proxy(zone, usual_rate, self.least_loaded_subset(zone, self.proxies.values()))
        tables = self.group_tables[zone * self.subset_count + self.proxies[number].subset]
        entries = [(self.backends[i], w) for table, _, _ in tables for i, w in self.tables[table].items()]
        if any(not b.ready or self.exceeds_slow_start_weight(now, b, w) for b, w in entries):
            self.update_tables(now)  # prevents assigning a table whose urgent changes are still pending
        self.assign_tables(now, number)

    def on_proxy_left(self, now: int, number: int) -> None:
        self.proxies.pop(number, None)

    def tick(self, now: int) -> None:
        self.host.set_timer(self.tick_interval_ns)
        if now - self.last_tick_ns > STALL_TICKS * self.tick_interval_ns:
            self.stalled_ns = now  # reports of the next seconds may come late
            self.host.log("tick delayed by a stall: tables leave out warming backends for a while")
        for p in self.proxies.values():
            p.demand = {k: (r * 2 ** ((self.last_tick_ns - now) / h), h) for k, (r, h) in p.demand.items()}
        self.last_tick_ns = now
        self.timers.run_due(now)
        if not self.settings.slice_count:
            self.update_ejections(now)
            self.update_admission(now)
        self.update_tables(now)
        for number in self.proxies:
            self.assign_tables(now, number)
