"""Seeded faults of the model of drains that are kept on disk."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

FENCES = "meadowworks.registry.drain_log:DrainLog."
REGISTRY_FAULTS = (
    *(
        SeededFault(name, "roster", at, was, now, breaks)
        for name, at, was, now, breaks in (
            (
                "the own disk is not waited for",
                FENCES + "is_replicated",
                "if self.durable_versions.get(self.source_id, NO_VERSION) < version:",
                "if False:",
                ("on both disks", "known by both"),
            ),
            (
                "a receipt goes before the write",
                FENCES + "_promote_pending_versions",
                "if not self.unsynced and self.write_in_flight is None:",
                "if True:",
                ("on both disks", "known by both"),
            ),
            (
                "a write's receipt goes as it begins",
                FENCES + "_promote_pending_versions",
                "if not self.unsynced and self.write_in_flight is None:",
                "if not self.unsynced:",
                ("on both disks", "known by both"),
            ),
            (
                "a receipt to an earlier life counts",
                FENCES + "on_acknowledgement",
                "if source != self.source_id:",
                "if False:",
                ("on both disks", "known by both"),
            ),
            (
                "a write that the disk refused is forgotten",
                FENCES + "on_write_failed",
                "self.unsynced |= failed.rows.keys() & self.records.keys()",
                "pass",
                ("on both disks", "known by both"),
            ),
            (
                "what is on disk is not said after a loss of power",
                FENCES + "restore",
                "BackendValue._make(value)",
                'BackendValue._make((*value[:4], "up", *value[5:]))',
                ("known by both", "said again"),
            ),
        )
    ),
)
