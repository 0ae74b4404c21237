"""Seeded faults of the model of updates between controllers and heartbeats."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

NEWS, BEATS = "meadowworks.gossip.updates:", "meadowworks.registry.heartbeats:HeartbeatRegistry."
FENCES = "meadowworks.registry.drain_log:DrainLog."
GOSSIP_FAULTS = (
    *(
        SeededFault(name, "telegraph", at, was, now, breaks)
        for name, at, was, now, breaks in (
            (
                "a late beat takes a drain back",
                BEATS + "heartbeat",
                "state = furthest_state(heartbeat.state, self._drain_state(instance_id), known_state)",
                "state = heartbeat.state",
                ("never back", "own words"),
            ),
            (
                "the newest word counts, not the furthest",
                "meadowworks.registry.backends:BackendDirectory.merged_state",
                "rank = max(STATE_RANK[report.state] for report in reports.values())",
                "rank = STATE_RANK[list(reports.values())[-1].state]",
                ("never back", "acknowledged", "same list", "own words"),
            ),
            (
                "a signalbox's first word of a life stands",
                "meadowworks.registry.backends:BackendDirectory.on_update",
                "reports[update.source] = report",
                "reports.setdefault(update.source, report)",
                ("own words",),
            ),
            (
                "a change is held and not folded",
                NEWS + "UpdateStore.apply",
                "if held is None or held[1] != value:",
                "if held is None:",
                ("same list",),
            ),
            (
                "one that calls a life quiet is enough",
                "meadowworks.registry.backends:BackendDirectory.merged_state",
                "all(report.suspect for report in alive)",
                "any(report.suspect for report in alive)",
                ("quiet by all",),
            ),
            (
                "a receipt is not waited for",
                FENCES + "is_replicated",
                "self.acknowledged_versions.get(host, NO_VERSION) >= version",
                "version >= 0",
                ("acknowledged",),
            ),
            (
                "a receipt of any version is one",
                FENCES + "is_replicated",
                "self.acknowledged_versions.get(host, NO_VERSION) >= version",
                "host in self.acknowledged_versions",
                ("acknowledged",),
            ),
            (
                "changes are told to who needs a snapshot",
                NEWS + "UpdateStore.deltas_since",
                "is_snapshot = held < log.compacted_version or held < 0",
                "is_snapshot = held < 0",
                ("copies whole",),
            ),
            (
                "a snapshot leaves what is not in it",
                NEWS + "UpdateStore._delete_missing_keys",
                "missing = set(log.entries) - {key for _, key, _ in snapshot.changes}",
                "missing = set()",
                ("copies whole",),
            ),
            (
                "who took a snapshot tells changes from before it",
                NEWS + "UpdateStore._delete_missing_keys",
                "log.compacted_version = snapshot.latest_version",
                "pass",
                ("copies whole",),
            ),
            (
                "an older answer is taken",
                NEWS + "UpdateStore.apply",
                "elif delta.latest_version <= log.latest_version:",
                "elif False:",
                ("copies whole", "never back", "same list"),
            ),
            (
                "the first change that is lacked is left out",
                NEWS + "SourceLog.changes_since",
                "self.key_by_version.irange(version + 1)",
                "self.key_by_version.irange(version + 2)",
                ("copies whole", "acknowledged", "same list"),
            ),
            (
                "an older card replaces a newer",
                "meadowworks.gossip.peer_sampling:PartialView.merge",
                "if known is None or record.heartbeat > known.record.heartbeat:",
                "if True:",
                ("cards rise",),
            ),
            (
                "a silent life is gone for good",
                BEATS + "tick",
                "registration.suspect = True",
                "registration.state = GONE",
                ("none buried alive",),
            ),
        )
    ),
)
