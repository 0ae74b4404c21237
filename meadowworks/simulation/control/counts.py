"""What the scenarios of a run came to."""

from __future__ import annotations

from dataclasses import dataclass, fields


@dataclass
class ScenarioCounts:
    """Sums over scenarios; the fields are those of the JSON object, and those in `VIOLATIONS` are to be 0.

    `most_slots` are undecided versions at one acceptor, `most_history` digests of past versions there,
    `disk_kb` is the size of one machine's disk. Drains, leaves, calls are counted as sent and acknowledged.
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
        """Add another's counts; of `MAXIMA` the greater ones are kept."""
        for field in fields(self):
            own, others = getattr(self, field.name), getattr(other, field.name)
            setattr(self, field.name, max(own, others) if field.name in MAXIMA else own + others)

    def violations(self) -> dict[str, int]:
        """Return the counts that should be 0 and are not."""
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
