"""The rule LOST: recent history stays available, and nothing acknowledged is missing when a run closes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from meadowworks.coordination.commands import AcquireLock, IssueNumber
from meadowworks.coordination.results import (
    Cell,
    GroupEvents,
    HistoryDiscarded,
    LockGranted,
    LockRefused,
    NumberIssued,
)
from meadowworks.simulation.coordination.fresh_reads import AcknowledgedRevisions, read_revision
from meadowworks.simulation.coordination.history import (
    Arguments,
    Call,
    CallHistory,
    KeyMissing,
    ReadCellCall,
    WatchGroupCall,
    group_of,
)
from meadowworks.simulation.coordination.put_records import PutRecords
from meadowworks.simulation.coordination.violation import Rule, Violation


def check_durability(history: CallHistory, records: PutRecords) -> Iterator[Violation]:
    """Check the watches of a history and the calls that close it."""
    yield from _check_discarded_history(history)
    yield from _check_closing_answers(history, records)
    yield from _check_closing_times(history)


def _check_discarded_history(history: CallHistory) -> Iterator[Violation]:
    received: dict[tuple[str, str, int], list[int]] = defaultdict(list)  # by caller, group and revision
    for call in history.calls:
        if isinstance(call.arguments, WatchGroupCall) and isinstance(call.outcome, GroupEvents):
            revisions = {call.outcome.revision, *(event.revision for event in call.outcome.events)}
            for revision in revisions:
                received[call.caller, call.arguments.group, revision].append(call.answered_ns or 0)
    for call in history.calls:
        match call.arguments, call.outcome:
            case WatchGroupCall(group=group, after=after), HistoryDiscarded():
                discarded_ns = call.answered_ns or 0
                times = [t for t in received[call.caller, group, after] if t <= call.sent_ns]
                if times and discarded_ns - max(times) < history.bounds.history_ns:
                    yield _violation(
                        f"{call.caller} received {after} of {group} {discarded_ns - max(times)} ns before 410"
                    )


def _check_closing_answers(history: CallHistory, records: PutRecords) -> Iterator[Violation]:
    acknowledged = AcknowledgedRevisions(records)
    for call in history.closing_calls():
        match call.arguments:
            case ReadCellCall(name):
                revision, expected = read_revision(call), acknowledged.highest_before(name, call.sent_ns)
                yield from _check_not_behind(call, name, revision, expected)
            case WatchGroupCall(group=group):
                revision = call.outcome.revision if isinstance(call.outcome, GroupEvents) else None
                yield from _check_not_behind(call, group, revision, _group_revision(records, group, call))
            case IssueNumber(name):
                value = call.outcome.value if isinstance(call.outcome, NumberIssued) else None
                yield from _check_not_behind(call, name, value, _highest_number(history, name, call) + 1)
            case AcquireLock(name=name):
                fence = call.outcome.fence if isinstance(call.outcome, LockGranted) else None
                yield from _check_not_behind(call, name, fence, _highest_fence(history, name, call))


def _check_not_behind(call: Call, name: str, answered: int | None, expected: int) -> Iterator[Violation]:
    if answered is not None and answered < expected:
        yield _violation(
            f"closing call of {call.caller} for {name} got {answered}, expected {expected} or more"
        )


def _group_revision(records: PutRecords, group: str, call: Call) -> int:
    return max(
        (
            shown.revision
            for shown in records.acknowledged()
            if group_of(shown.name) == group and shown.call.answered_before(call.sent_ns)
        ),
        default=0,
    )


def _highest_number(history: CallHistory, name: str, closing_call: Call) -> int:
    return max(
        (
            call.outcome.value
            for call in history.calls
            if isinstance(call.outcome, NumberIssued)
            and isinstance(call.arguments, IssueNumber)
            and call.arguments.name == name
            and call.answered_before(closing_call.sent_ns)
        ),
        default=0,
    )


def _highest_fence(history: CallHistory, name: str, closing_call: Call) -> int:
    return max(
        (
            call.outcome.fence
            for call in history.calls
            if isinstance(call.outcome, LockGranted)
            and isinstance(call.arguments, AcquireLock)
            and call.arguments.name == name
            and call.answered_before(closing_call.sent_ns)
        ),
        default=0,
    )


def _check_closing_times(history: CallHistory) -> Iterator[Violation]:
    if history.closing_ns is None:
        return
    deadline_ns = history.closing_ns + history.bounds.recovery_ns
    calls_by_arguments: dict[tuple[str, Arguments], list[Call]] = defaultdict(list)
    for call in history.closing_calls():
        if isinstance(call.arguments, AcquireLock | IssueNumber | ReadCellCall | WatchGroupCall):
            calls_by_arguments[call.caller, call.arguments].append(call)
    for (caller, arguments), calls in calls_by_arguments.items():
        if not any(_is_answered(call, deadline_ns, history) for call in calls):
            yield _violation(f"closing call of {caller} has no answer in time: {arguments}")


def _is_answered(call: Call, deadline_ns: int, history: CallHistory) -> bool:
    if call.answered_ns is None or call.answered_ns > deadline_ns:
        return False
    if isinstance(call.outcome, LockRefused):
        return _another_asks_for_lock(call, history)
    answers = LockGranted | NumberIssued | Cell | KeyMissing | GroupEvents | HistoryDiscarded
    return isinstance(call.outcome, answers)


def _another_asks_for_lock(call: Call, history: CallHistory) -> bool:
    """Return whether another closing call may hold the lock, so that a refusal is an answer."""
    arguments = call.arguments
    return isinstance(arguments, AcquireLock) and any(
        isinstance(other.arguments, AcquireLock)
        and other.arguments.name == arguments.name
        and other.caller != call.caller
        for other in history.closing_calls()
    )


def _violation(detail: str) -> Violation:
    return Violation(Rule.DURABILITY, detail)
