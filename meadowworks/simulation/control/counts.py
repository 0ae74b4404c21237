"""Event and violation counts of scenarios."""

from __future__ import annotations

from dataclasses import dataclass, fields


@dataclass
class ScenarioCounts:
    """Counts of one scenario or summed over several; the fields are the keys of the JSON object.

    The counts listed in `VIOLATIONS` must be 0. `most_slots` is the maximum number of undecided versions at
    one acceptor, `most_history` the maximum number of digests of past versions there, and `disk_kb` the
    maximum size of one disk. Drains, leaves and calls are counted when sent and when acknowledged.
    """

    days: int = 0
    orders: int = 0
    acked: int = 0
    confirmed_twice: int = 0
    old_served: int = 0
    served_without_majority: int = 0
    refused_though_taken: int = 0
    acked_then_lost: int = 0
    no_majority_left: int = 0
    never_level: int = 0
    led_with_old: int = 0
    drains_forgotten: int = 0
    wrong_caller: int = 0
    ran_twice: int = 0
    slowest_ack_ms: int = 0
    most_slots: int = 0
    most_history: int = 0
    disk_kb: int = 0
    drains: int = 0
    drains_acked: int = 0
    leaves: int = 0
    leaves_acked: int = 0
    calls: int = 0
    calls_answered: int = 0

    def merge(self, other: ScenarioCounts) -> None:
        """Add the counts of `other`; for those in `MAXIMA` keep the greater value."""
        for field in fields(self):
            own, others = getattr(self, field.name), getattr(other, field.name)
            setattr(self, field.name, max(own, others) if field.name in MAXIMA else own + others)

    def violations(self) -> dict[str, int]:
        """Return the counts of violated invariants that are not 0."""
        return {name: getattr(self, name) for name in VIOLATIONS if getattr(self, name)}


MAXIMA = ("slowest_ack_ms", "most_slots", "most_history", "disk_kb")
VIOLATIONS = (
    "confirmed_twice",
    "old_served",
    "served_without_majority",
    "refused_though_taken",
    "acked_then_lost",
    "no_majority_left",
    "never_level",
    "led_with_old",
    "drains_forgotten",
    "wrong_caller",
    "ran_twice",
)
