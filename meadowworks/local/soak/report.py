"""The result of a soak: its violations, its problems, and what was called."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from meadowworks.simulation.coordination.history import Arguments, Call, CallHistory, is_in_doubt
from meadowworks.simulation.coordination.violation import Violation
from meadowworks.simulation.event_scheduler import MS, SECOND

TRACEBACK_MARK = "Traceback (most recent call last)"
CALLS_FILE = "calls.log"
FAULTS_FILE = "faults.log"


@dataclass(slots=True)
class SoakReport:
    """What a run has shown.

    :ivar violations: of the rules of coordination.
    :ivar problems: anything else that must not happen: processes that end, unexpected responses.
    :ivar warnings: what a developer should look at, without an effect that a caller could not bear.
    :ivar closing_s: how long the closing calls took.
    """

    seed: int
    folder: Path
    history: CallHistory
    violations: list[Violation] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    closing_s: float = 0.0

    def passed(self) -> bool:
        """Return whether nothing is wrong; warnings do not count."""
        return not self.violations and not self.problems

    def keeps_folder(self) -> bool:
        """Return whether the folder of the run stays."""
        return not self.passed() or bool(self.warnings)

    def lines(self) -> list[str]:
        """Return the report as text."""
        lines = [f"seed {self.seed}: {len(self.faults)} lines of faults, closed after {self.closing_s:.1f} s"]
        outcomes = Counter((_name(call.arguments), _name(call.outcome)) for call in self.history.calls)
        lines += [f"  {count:6} {call} {outcome}" for (call, outcome), count in sorted(outcomes.items())]
        lines += [f"violation {violation}" for violation in self.violations]
        lines += [f"problem {problem}" for problem in self.problems]
        lines += [f"warning {warning}" for warning in self.warnings]
        if self.keeps_folder():
            lines.append(f"logs, disks, faults and calls: {self.folder}")
        return lines

    def write_files(self, started_ns: int) -> None:
        """Write the calls and the faults beside the logs, with times since the start."""
        calls = sorted(self.history.calls, key=lambda call: call.sent_ns)
        text = "".join(f"{format_call(call, started_ns)}\n" for call in calls)
        (self.folder / CALLS_FILE).write_text(text)
        (self.folder / FAULTS_FILE).write_text("".join(f"{line}\n" for line in self.faults))


def format_call(call: Call, started_ns: int) -> str:
    """Return a call as a line."""
    sent_s = (call.sent_ns - started_ns) / SECOND
    duration = "-" if call.answered_ns is None else f"{(call.answered_ns - call.sent_ns) / MS:.0f} ms"
    return f"{sent_s:8.3f} {duration:>8} {call.caller} {call.arguments} -> {call.outcome}"


def find_unanswered_kinds(calls: Sequence[Call], kinds: Sequence[type[Arguments]]) -> list[str]:
    """Return a problem for each kind of call that never had a clear answer.

    Prevents a run in which nothing was served from passing.
    """
    answered = {type(call.arguments) for call in calls if not is_in_doubt(call.outcome)}
    return [f"no {kind.__name__} was answered" for kind in kinds if kind not in answered]


def find_tracebacks(log_files: Sequence[Path]) -> list[str]:
    """Return a warning for each log with a traceback."""
    return [f"{file.name} has a traceback" for file in log_files if TRACEBACK_MARK in file.read_text()]


def _name(value: object) -> str:
    return type(value).__name__
