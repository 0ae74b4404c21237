"""Seeded faults of the model ``telegraph``: updates between processes, and heartbeats."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

MODEL = "telegraph"
UPDATES = "meadowworks.gossip.updates:"
PEER_SAMPLING = "meadowworks.gossip.peer_sampling:"
HEARTBEATS = "meadowworks.registry.heartbeats:HeartbeatRegistry."
DIRECTORY = "meadowworks.registry.backends:BackendDirectory."
DRAIN_LOG = "meadowworks.registry.drain_log:DrainLog."

GOSSIP_FAULTS = (
    SeededFault(
        "a late beat takes a drain back",
        MODEL,
        HEARTBEATS + "record_heartbeat",
        "state = furthest_state(heartbeat.state, self._drain_state(instance_id), registered_state)",
        "state = heartbeat.state",
        ("never back", "own words"),
    ),
    SeededFault(
        "the newest word counts, not the furthest",
        MODEL,
        DIRECTORY + "merged_state",
        "rank = max(STATE_RANK[report.state] for report in reports.values())",
        "rank = STATE_RANK[list(reports.values())[-1].state]",
        ("never back", "acknowledged", "same list", "own words"),
    ),
    SeededFault(
        "a signalbox's first word of a life stands",
        MODEL,
        DIRECTORY + "on_update",
        "self.reports.setdefault(instance_id, {})[update.source] = report",
        "self.reports.setdefault(instance_id, {}).setdefault(update.source, report)",
        ("own words",),
    ),
    SeededFault(
        "a change is held and not folded",
        MODEL,
        UPDATES + "UpdateStore.apply",
        "if entry is None or entry[1] != value:",
        "if entry is None:",
        ("same list",),
    ),
    SeededFault(
        "one that calls a life quiet is enough",
        MODEL,
        DIRECTORY + "merged_state",
        "all(report.is_suspect for report in alive)",
        "any(report.is_suspect for report in alive)",
        ("quiet by all",),
    ),
    SeededFault(
        "a receipt is not waited for",
        MODEL,
        DRAIN_LOG + "is_replicated",
        "self.acknowledged_versions.get(host, NO_VERSION) >= version",
        "version >= 0",
        ("acknowledged",),
    ),
    SeededFault(
        "a receipt of any version is one",
        MODEL,
        DRAIN_LOG + "is_replicated",
        "self.acknowledged_versions.get(host, NO_VERSION) >= version",
        "host in self.acknowledged_versions",
        ("acknowledged",),
    ),
    SeededFault(
        "changes are told to who needs a snapshot",
        MODEL,
        UPDATES + "UpdateStore.deltas_since",
        "is_snapshot = version < log.compacted_version or version < 0",
        "is_snapshot = version < 0",
        ("copies whole",),
    ),
    SeededFault(
        "a snapshot leaves what is not in it",
        MODEL,
        UPDATES + "UpdateStore._delete_missing_keys",
        "missing = set(log.entries) - {key for _, key, _ in snapshot.changes}",
        "missing = set()",
        ("copies whole",),
    ),
    SeededFault(
        "who took a snapshot tells changes from before it",
        MODEL,
        UPDATES + "UpdateStore._delete_missing_keys",
        "log.compacted_version = snapshot.latest_version",
        "pass",
        ("copies whole",),
    ),
    SeededFault(
        "an older answer is taken",
        MODEL,
        UPDATES + "UpdateStore.apply",
        "elif delta.latest_version <= log.latest_version:",
        "elif False:",
        ("copies whole", "never back", "same list"),
    ),
    SeededFault(
        "the first change that is lacked is left out",
        MODEL,
        UPDATES + "SourceLog.changes_since",
        "self.key_by_version.irange(version + 1)",
        "self.key_by_version.irange(version + 2)",
        ("copies whole", "acknowledged", "same list"),
    ),
    SeededFault(
        "an older card replaces a newer",
        MODEL,
        PEER_SAMPLING + "PartialView.merge",
        "if entry is None or record.heartbeat > entry.record.heartbeat:",
        "if True:",
        ("cards rise",),
    ),
    SeededFault(
        "a silent life is gone for good",
        MODEL,
        HEARTBEATS + "tick",
        "registration.is_suspect = True",
        "registration.state = GONE",
        ("none buried alive",),
    ),
)
