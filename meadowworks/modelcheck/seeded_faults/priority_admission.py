"""Seeded faults of the model `priorities`: admission ratios per priority."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

MODEL = "priorities"
ADMISSION = "meadowworks.load_balancing.priority_admission:PriorityAdmission."

PRIORITY_ADMISSION_FAULTS = (
    SeededFault(
        "the least urgent requests are admitted first",
        MODEL,
        ADMISSION + "ratios",
        "for priority in sorted(self.counts):",
        "for priority in sorted(self.counts)[::-1]:",
        ("urgent first",),
    ),
    SeededFault(
        "each priority is granted all that is left",
        MODEL,
        ADMISSION + "ratios",
        "remaining -= extra * share",
        "pass",
        ("one budget",),
    ),
    SeededFault(
        "nothing is reserved for a priority",
        MODEL,
        ADMISSION + "ratios",
        "reserved = RESERVED_SHARE * service_ratio",
        "reserved = 0.0",
        ("none starved",),
    ),
    SeededFault(
        "a priority is granted more than its requests",
        MODEL,
        ADMISSION + "ratios",
        "min(1.0 - reserved, remaining / share)",
        "remaining / share",
        ("none starved",),
    ),
)
