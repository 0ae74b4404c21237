"""The rule ORDER: numbers and revisions rise, conditional puts are ordered, and watches are complete."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from meadowworks.coordination.commands import IssueNumber
from meadowworks.coordination.results import GroupEvents, NumberIssued
from meadowworks.simulation.coordination.history import Call, CallHistory, WatchGroupCall, group_of
from meadowworks.simulation.coordination.put_records import PutRecords
from meadowworks.simulation.coordination.violation import Rule, Violation


@dataclass(frozen=True, slots=True)
class GivenNumber:
    """A number or revision that was given to a call; `sent_ns` is the time of its first copy."""

    value: int
    sent_ns: int
    answered_ns: int


def check_rising_order(history: CallHistory, records: PutRecords) -> Iterator[Violation]:
    """Check the numbers, the revisions and the watches of a history."""
    yield from _check_numbers(history)
    yield from _check_revisions(records)
    yield from _check_conditional_puts(records)
    for call in history.calls:
        if isinstance(call.arguments, WatchGroupCall) and isinstance(call.outcome, GroupEvents):
            yield from _check_watch(call, call.arguments, call.outcome, records)


def _check_numbers(history: CallHistory) -> Iterator[Violation]:
    numbers: dict[str, list[GivenNumber]] = defaultdict(list)
    for call in history.calls:
        match call.arguments, call.outcome:
            case IssueNumber(name), NumberIssued(value) if call.answered_ns is not None:
                numbers[name].append(GivenNumber(value, call.sent_ns, call.answered_ns))
    for name, given in sorted(numbers.items()):
        seen: set[int] = set()
        for number in given:
            if number.value in seen:
                yield _violation(f"number {number.value} of {name} was given twice")
            seen.add(number.value)
        yield from _check_rise(f"number of {name}", given)


def _check_revisions(records: PutRecords) -> Iterator[Violation]:
    given: dict[str, list[GivenNumber]] = defaultdict(list)
    values_by_revision: dict[tuple[str, int], set[tuple[str, str]]] = defaultdict(set)
    for shown in records.shown:
        group = group_of(shown.name)
        values_by_revision[group, shown.revision].add((shown.name, shown.value))
        put = records.puts.get((shown.name, shown.value))
        if put is not None and shown.call.answered_ns is not None:
            number = GivenNumber(shown.revision, put.first_sent_ns, shown.call.answered_ns)
            given[group].append(number)
    for (group, revision), values in sorted(values_by_revision.items()):
        if len(values) > 1:
            yield _violation(f"revision {revision} of {group} was given twice: {sorted(values)}")
    for group, numbers in sorted(given.items()):
        yield from _check_rise(f"revision of {group}", numbers)


def _check_rise(what: str, given: list[GivenNumber]) -> Iterator[Violation]:
    """Check that each number exceeds those that were given before its call was sent."""
    by_answer = sorted(given, key=lambda number: number.answered_ns)
    highest, position = None, 0
    for number in sorted(given, key=lambda n: n.sent_ns):
        while position < len(by_answer) and by_answer[position].answered_ns < number.sent_ns:
            highest = max(by_answer[position].value, highest or 0)
            position += 1
        if highest is not None and number.value <= highest:
            yield _violation(f"{what}: {number.value} was given after {highest}")


def _check_conditional_puts(records: PutRecords) -> Iterator[Violation]:
    for shown in records.acknowledged():
        for expected in records.puts[shown.name, shown.value].expected_revisions():
            if expected >= shown.revision:
                yield _violation(f"put to {shown.name} at {shown.revision} expected {expected}")
            for revision in records.revisions_of_key(shown.name):
                if expected < revision < shown.revision:
                    yield _violation(
                        f"put to {shown.name} at {shown.revision} expected {expected} and passed {revision}"
                    )


def _check_watch(
    call: Call, watch: WatchGroupCall, answer: GroupEvents, records: PutRecords
) -> Iterator[Violation]:
    revisions = [event.revision for event in answer.events]
    rises = all(earlier < later for earlier, later in pairwise([watch.after, *revisions]))
    if not rises or (revisions and revisions[-1] > answer.revision):
        yield _violation(
            f"events of {watch.group} for {call.caller} after {watch.after} up to {answer.revision}"
            f" do not rise: {revisions}"
        )
    if watch.after == 0:
        return
    known = records.revisions_of_group(watch.group)
    missing = sorted(r for r in known if watch.after < r <= answer.revision and r not in revisions)
    if missing:
        yield _violation(
            f"watch of {watch.group} by {call.caller} after {watch.after} up to {answer.revision}"
            f" passes over {missing}"
        )


def _violation(detail: str) -> Violation:
    return Violation(Rule.RISING_ORDER, detail)
