"""Seeded faults of the model of drains that are kept on disk."""

from __future__ import annotations

from meadowworks.modelcheck.fault import Fault

FENCES = "meadowworks.registry.drain_log:Fences."
REGISTRY_FAULTS = (
    *(
        Fault(name, "roster", at, was, now, breaks)
        for name, at, was, now, breaks in (
            (
                "the own disk is not waited for",
                FENCES + "kept",
                "if self.synced.get(self.me, -1) < version:",
                "if False:",
                ("on both disks", "known by both"),
            ),
            (
                "a receipt goes before the write",
                FENCES + "settle",
                "if not self.unsynced and self.writing is None:",
                "if True:",
                ("on both disks", "known by both"),
            ),
            (
                "a write's receipt goes as it begins",
                FENCES + "settle",
                "if not self.unsynced and self.writing is None:",
                "if not self.unsynced:",
                ("on both disks", "known by both"),
            ),
            (
                "a receipt to an earlier life counts",
                FENCES + "receipted",
                "if source != self.me:",
                "if False:",
                ("on both disks", "known by both"),
            ),
            (
                "a write that the disk refused is forgotten",
                FENCES + "failed",
                "self.unsynced |= lost.rows.keys() & self.fences.keys()",
                "pass",
                ("on both disks", "known by both"),
            ),
            (
                "what is on disk is not said after a loss of power",
                FENCES + "restore",
                "Fence(tuple(value), now)",
                'Fence((*value[:4], "up", *value[5:]), now)',
                ("known by both", "said again"),
            ),
        )
    ),
)
