"""The rule MIXED: each value that shows up was put to its key and has one revision."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from meadowworks.coordination.commands import PutCell
from meadowworks.coordination.results import RevisionMismatch
from meadowworks.simulation.coordination.history import Call, CallHistory, WatchGroupCall, group_of
from meadowworks.simulation.coordination.put_records import PutRecords
from meadowworks.simulation.coordination.violation import Rule, Violation


def check_genuine_values(history: CallHistory, records: PutRecords) -> Iterator[Violation]:
    """Check all values that a history shows, and the revisions that mismatches name."""
    yield from _check_origin(records)
    yield from _check_single_revision(records)
    yield from _check_mismatches(history, records)


def _check_origin(records: PutRecords) -> Iterator[Violation]:
    for shown in records.shown:
        put, call = records.puts.get((shown.name, shown.value)), shown.call
        if put is None or call.answered_before(put.first_sent_ns):
            yield _violation(f"{call.caller} was shown {shown.value} of {shown.name}, which nobody put there")
        if isinstance(call.arguments, WatchGroupCall) and group_of(shown.name) != call.arguments.group:
            yield _violation(f"watch of {call.arguments.group} was shown {shown.name}")


def _check_single_revision(records: PutRecords) -> Iterator[Violation]:
    revisions: dict[tuple[str, str], set[int]] = defaultdict(set)
    for shown in records.shown:
        revisions[shown.name, shown.value].add(shown.revision)
    for (name, value), shown_at in sorted(revisions.items()):
        if len(shown_at) > 1:
            yield _violation(f"{value} of {name} was shown at revisions {sorted(shown_at)}")


def _check_mismatches(history: CallHistory, records: PutRecords) -> Iterator[Violation]:
    """Check that each revision named by a mismatch belongs to a put of the key.

    A revision that was not shown otherwise must belong to a put in doubt, a different one for each.
    """
    unknown: dict[str, dict[int, int]] = defaultdict(dict)  # by key and revision: the first answer
    for call in history.calls:
        match call.arguments, call.outcome:
            case PutCell(name=name), RevisionMismatch(revision) if revision:
                if _is_known(call, name, revision, records):
                    continue
                answered_ns = call.answered_ns or 0
                unknown[name][revision] = min(answered_ns, unknown[name].get(revision, answered_ns))
    for name, first_answers in sorted(unknown.items()):
        yield from _match_puts_in_doubt(name, first_answers, records)


def _is_known(call: Call, name: str, revision: int, records: PutRecords) -> bool:
    return any(
        not call.answered_before(records.puts[s.name, s.value].first_sent_ns)
        for s in records.shown
        if s.name == name and s.revision == revision and (s.name, s.value) in records.puts
    )


def _match_puts_in_doubt(
    name: str, first_answers: dict[int, int], records: PutRecords
) -> Iterator[Violation]:
    shown = {(s.name, s.value) for s in records.shown}
    candidates = sorted(
        put.first_sent_ns
        for key, put in records.puts.items()
        if put.name == name and key not in shown and put.may_have_taken_effect()
    )
    group_revisions = records.revisions_of_group(group_of(name))
    for revision, answered_ns in sorted(first_answers.items(), key=lambda item: item[1]):
        belongs_elsewhere = bool(group_revisions.get(revision))
        if belongs_elsewhere or not candidates or candidates[0] > answered_ns:
            yield _violation(f"a mismatch names revision {revision} of {name}, which no put gave it")
        else:
            candidates.pop(0)


def _violation(detail: str) -> Violation:
    return Violation(Rule.GENUINE_VALUES, detail)
