"""Seeded faults of the model `roster`: durable drain records."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

MODEL = "roster"
DRAIN_LOG = "meadowworks.registry.drain_log:DrainLog."

REGISTRY_FAULTS = (
    SeededFault(
        "the own disk is not waited for",
        MODEL,
        DRAIN_LOG + "is_replicated",
        "if self.durable_versions.get(self.source_id, NO_VERSION) < version:",
        "if False:",
        ("on both disks", "known by both"),
    ),
    SeededFault(
        "a receipt goes before the write",
        MODEL,
        DRAIN_LOG + "_promote_pending_versions",
        "if not self.unsynced and self.write_in_flight is None:",
        "if True:",
        ("on both disks", "known by both"),
    ),
    SeededFault(
        "a write's receipt goes as it begins",
        MODEL,
        DRAIN_LOG + "_promote_pending_versions",
        "if not self.unsynced and self.write_in_flight is None:",
        "if not self.unsynced:",
        ("on both disks", "known by both"),
    ),
    SeededFault(
        "a receipt to an earlier life counts",
        MODEL,
        DRAIN_LOG + "on_acknowledgement",
        "if source != self.source_id:",
        "if False:",
        ("on both disks", "known by both"),
    ),
    SeededFault(
        "a write that the disk refused is forgotten",
        MODEL,
        DRAIN_LOG + "on_write_failed",
        "self.unsynced |= failed.rows.keys() & self.records.keys()",
        "pass",
        ("on both disks", "known by both"),
    ),
    SeededFault(
        "what is on disk is not said after a loss of power",
        MODEL,
        DRAIN_LOG + "restore",
        "BackendValue._make(value)",
        'BackendValue._make((*value[:4], "up", *value[5:]))',
        ("known by both", "said again"),
    ),
)
