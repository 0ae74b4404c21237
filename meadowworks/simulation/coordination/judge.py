"""The judge of a history: checks it against all rules of coordination."""

from __future__ import annotations

from meadowworks.simulation.coordination.durability import check_durability
from meadowworks.simulation.coordination.fresh_reads import check_fresh_reads
from meadowworks.simulation.coordination.genuine_values import check_genuine_values
from meadowworks.simulation.coordination.history import CallHistory
from meadowworks.simulation.coordination.lock_exclusion import check_lock_exclusion
from meadowworks.simulation.coordination.put_records import PutRecords
from meadowworks.simulation.coordination.rising_order import check_rising_order
from meadowworks.simulation.coordination.turned_away_puts import check_turned_away_puts
from meadowworks.simulation.coordination.violation import Violation


def judge(history: CallHistory) -> list[Violation]:
    """Return all violations of a history, by rule."""
    records = PutRecords(history)
    return [
        *check_lock_exclusion(history),
        *check_rising_order(history, records),
        *check_fresh_reads(history, records),
        *check_genuine_values(history, records),
        *check_turned_away_puts(records),
        *check_durability(history, records),
    ]
