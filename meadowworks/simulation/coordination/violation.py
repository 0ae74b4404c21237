"""Violations of the rules of coordination."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """The rules of coordination, by the names that users know."""

    MUTUAL_EXCLUSION = "ONE"
    RISING_ORDER = "ORDER"
    FRESH_READS = "STALE"
    GENUINE_VALUES = "MIXED"
    TURNED_AWAY_PUTS = "REFUSED"
    DURABILITY = "LOST"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule with the clause that was broken and what was seen."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.detail}"
