"""The rule STALE: a read returns every put that was acknowledged before it was sent."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from meadowworks.coordination.results import Cell
from meadowworks.simulation.coordination.history import Call, CallHistory, KeyMissing, ReadCellCall
from meadowworks.simulation.coordination.put_records import PutRecords, ShownValue
from meadowworks.simulation.coordination.violation import Rule, Violation


def read_revision(call: Call) -> int | None:
    """Return the revision that a read returned; 0 for a missing key, None without an answer."""
    match call.outcome:
        case Cell(revision=revision):
            return revision
        case KeyMissing():
            return 0
    return None


class AcknowledgedRevisions:
    """The acknowledged revisions of each key of a history."""

    def __init__(self, records: PutRecords) -> None:
        self._by_key: dict[str, list[ShownValue]] = defaultdict(list)
        for shown in records.acknowledged():
            self._by_key[shown.name].append(shown)

    def highest_before(self, name: str, time_ns: int) -> int:
        """Return the highest revision of a key that was acknowledged before a time, or 0."""
        shown = self._by_key.get(name, [])
        return max((s.revision for s in shown if s.call.answered_before(time_ns)), default=0)


def check_fresh_reads(history: CallHistory, records: PutRecords) -> Iterator[Violation]:
    """Check the reads of a history."""
    acknowledged = AcknowledgedRevisions(records)
    for call in history.calls:
        if not isinstance(call.arguments, ReadCellCall):
            continue
        revision, name = read_revision(call), call.arguments.name
        expected = acknowledged.highest_before(name, call.sent_ns)
        if revision is not None and revision < expected:
            yield Violation(
                Rule.FRESH_READS, f"read of {name} by {call.caller} returned {revision} after {expected}"
            )
