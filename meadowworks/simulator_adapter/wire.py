"""The line protocol: reads batches of lines from one stream and writes the replies to another."""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from typing import TextIO

from meadowworks.fleet.settings import NS_PER_US, SettingsError
from meadowworks.simulator_adapter.events import EVENTS, NONE, PolicyCall, Values, parse_endpoints
from meadowworks.simulator_adapter.host import ControllerInstance

ENTRY_FIELDS = 8  # in a BACKEND line
QUOTED_LINE, QUOTED_KIND = 80, 40  # maximum number of characters quoted in an error

NumberedLines = Iterator[tuple[int, str]]


class WireError(Exception):
    """Invalid input; the text names the line and the error."""


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the end of the input.

    :raises WireError: if the input is invalid.
    """
    adapter = SimulatorAdapter()
    lines = enumerate((line.rstrip("\r\n") for line in source), 1)
    for number, line in lines:
        if not line:
            continue
        parts = line.split("\t")
        if parts[0] != "FRAME" or len(parts) != 2 or not parts[1].isdigit():
            raise WireError(
                f"line {number}: expected FRAME and a time in microseconds, not {line[:QUOTED_LINE]!r}"
            )
        reply = adapter.process_batch(int(parts[1]) * NS_PER_US, lines)
        sink.write("\n".join([*reply, "DONE"]) + "\n")
        sink.flush()


class SimulatorAdapter:
    """The simulated controllers by name, and the reply that they write."""

    def __init__(self) -> None:
        self.instances: dict[str, ControllerInstance] = {}
        self.output: list[str] = []

    def process_batch(self, now_ns: int, lines: NumberedLines) -> list[str]:
        """Handle the events of one batch.

        If the policy of a controller raises an exception, the controller's other events of the batch are
        skipped.

        :returns: the lines of the reply.
        :raises WireError: if the input is invalid.
        """
        self.output.clear()
        failed: set[str] = set()
        for number, line in lines:
            values = line.split("\t")
            if values[0] == "YOUR_TURN":
                return self.output
            call = self._prepare(number, values, lines, now_ns)
            name = values[1]
            if call is not None and name not in failed and not self._run(name, call, now_ns):
                failed.add(name)
        raise WireError("the input ends within a batch")

    def _prepare(self, number: int, values: Values, lines: NumberedLines, now_ns: int) -> PolicyCall | None:
        """Start or stop a controller, or return the call of the policy for any other event."""
        kind = values[0]
        shape = EVENTS.get(kind)
        if shape is None:
            raise WireError(f"line {number}: unknown event {kind[:QUOTED_KIND]!r}")
        if not shape.min_values <= len(values) - 1 <= shape.max_values:
            raise WireError(
                f"line {number}: {kind} has {len(values) - 1} values, "
                f"expected {shape.min_values} to {shape.max_values}"
            )
        try:
            entries = read_endpoint_lines(values, lines) if kind == "TOPOLOGY" else []
            if kind == "SPAWN":
                self._start(values, now_ns)
                return None
            if kind == "DOWN":
                self.instances.pop(values[1], None)
                return None
            if values[1] not in self.instances:
                raise WireError(f"line {number}: {kind} for controller {values[1]!r}, which has not started")
            instance = self.instances[values[1]]
            return (
                shape.parse(instance, values) if shape.parse else parse_endpoints(instance, values, entries)
            )
        except KeyError as error:
            raise WireError(f"line {number}: {kind}: unknown name {error}") from error
        except (SettingsError, ValueError, IndexError) as error:
            raise WireError(f"line {number}: {kind}: {error}") from error

    def _start(self, values: Values, now_ns: int) -> None:
        options = dict(pair.partition("=")[::2] for pair in values[3:])
        name, seed = values[1], int(values[2])
        self.instances[name] = ControllerInstance(name, seed, options, self.output, now_ns)

    def _run(self, name: str, call: PolicyCall, now_ns: int) -> bool:
        """Call the policy, and report an exception in the reply.

        :returns: whether the call succeeded.
        """
        try:
            call(now_ns)
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            cause = f"{type(error).__name__}: {error}".replace("\n", " ")
            self.output.append(f"BUG\t{name}\t{cause} ({frame.name}, line {frame.lineno})")
            return False
        return True


def read_endpoint_lines(values: Values, lines: NumberedLines) -> list[Values]:
    """Read the entries that follow a TOPOLOGY line.

    :raises WireError: if a line is not an entry.
    """
    entries = []
    for _ in range(int(values[4]) if values[4] != NONE else 0):
        number, line = next(lines, (0, ""))
        entry = line.split("\t")
        if entry[0] != "BACKEND" or len(entry) != ENTRY_FIELDS:
            raise WireError(f"line {number}: expected a BACKEND entry, not {line[:QUOTED_LINE]!r}")
        entries.append(entry)
    return entries
