"""The rule REFUSED: a put that was turned away never shows up."""

from __future__ import annotations

from collections.abc import Iterator

from meadowworks.simulation.coordination.put_records import PutRecords
from meadowworks.simulation.coordination.violation import Rule, Violation


def check_turned_away_puts(records: PutRecords) -> Iterator[Violation]:
    """Check that no value of a put that was turned away shows up."""
    for shown in records.shown:
        put = records.puts.get((shown.name, shown.value))
        if put is not None and put.was_turned_away():
            yield Violation(
                Rule.TURNED_AWAY_PUTS,
                f"{shown.value} of {shown.name} shows up at {shown.revision}, but its put was turned away",
            )
