"""The metrics of a node's coordination services, as listed in docs/metrics.md."""

from __future__ import annotations

from collections.abc import Iterator

from meadowworks.controlplane.coordination import Coordination
from meadowworks.runtime.metrics import MetricFamily, Sample, gauge

PREFIX = "meadowworks_control_plane_coordination_"


def coordination_metrics(coordination: Coordination) -> Iterator[MetricFamily]:
    """Yield the metrics with their current values."""
    yield from _log_metrics(coordination)
    yield from _state_metrics(coordination)
    yield from _call_metrics(coordination)


def _log_metrics(coordination: Coordination) -> Iterator[MetricFamily]:
    replicated = coordination.replicated
    replica, term = replicated.replica, replicated.leader_term
    yield gauge(PREFIX + "leader", "1 if this node leads the log.", Sample(replica.is_log_leader()))
    yield gauge(
        PREFIX + "leader_known",
        "1 if this node knows a leader of the log.",
        Sample(bool(replica.log_leader_address())),
    )
    yield gauge(PREFIX + "term_epoch", "Epoch of the newest term known here.", Sample(term.epoch))
    yield gauge(PREFIX + "term_number", "Number of that term in its epoch.", Sample(term.number))
    yield gauge(
        PREFIX + "applied_index", "Index of the latest applied entry.", Sample(replicated.applied_index)
    )
    yield gauge(
        PREFIX + "log_entries", "Entries since the latest snapshot.", Sample(replica.log_entry_count())
    )
    yield gauge(PREFIX + "log_bytes", "Size of these entries.", Sample(replica.log_bytes()))


def _state_metrics(coordination: Coordination) -> Iterator[MetricFamily]:
    counts = coordination.replicated.state.counts()
    yield gauge(PREFIX + "locks_held", "Locks that are held.", Sample(counts.held_locks))
    yield gauge(PREFIX + "keys", "Keys with a value.", Sample(counts.cells))
    yield gauge(PREFIX + "events", "Events that are kept for watches.", Sample(counts.events))


def _call_metrics(coordination: Coordination) -> Iterator[MetricFamily]:
    yield gauge(
        PREFIX + "calls_waiting",
        "Calls of this node's API without an answer yet.",
        Sample(coordination.service.waiting_count),
    )
    yield gauge(
        PREFIX + "leader_calls_waiting",
        "Calls of all nodes without an answer yet, at the leader.",
        Sample(coordination.service.leader_calls.waiting_count),
    )
    yield gauge(
        PREFIX + "watches_waiting",
        "Watches without an answer yet.",
        Sample(coordination.watches.waiting_count),
    )
