"""The wire: batches of lines on one stream, replies on another."""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from typing import TextIO

from meadowworks.fleet.settings import NS_PER_US, FleetSettingsError
from meadowworks.simulator_adapter.events import EVENTS, NONE, PolicyCall, Values, parse_endpoints
from meadowworks.simulator_adapter.host import ControllerInstance

ENTRY_FIELDS = 8  # of a BACKEND line
SHOWN_LINE, SHOWN_KIND = 80, 40  # characters of what is quoted in an error

NumberedLines = Iterator[tuple[int, str]]


class WireError(Exception):
    """Input that the wire does not allow; the text says what and where."""


def serve(source: TextIO, sink: TextIO) -> None:
    """Answers batch after batch until the input ends.

    :raises WireError: for input that the wire does not allow.
    """
    adapter = SimulatorAdapter()
    lines = enumerate((line.rstrip("\r\n") for line in source), 1)
    for at, line in lines:
        if not line:
            continue
        parts = line.split("\t")
        if parts[0] != "FRAME" or len(parts) != 2 or not parts[1].isdigit():
            raise WireError(f"line {at}: a batch opens with FRAME and its clock, not {line[:SHOWN_LINE]!r}")
        reply = adapter.process_batch(int(parts[1]) * NS_PER_US, lines)
        sink.write("\n".join([*reply, "DONE"]) + "\n")
        sink.flush()


class SimulatorAdapter:
    """The simulated controllers by name, and the reply that they write to."""

    def __init__(self) -> None:
        self.instances: dict[str, ControllerInstance] = {}
        self.output: list[str] = []

    def process_batch(self, now_ns: int, lines: NumberedLines) -> list[str]:
        """Handles the events of one batch.

        A controller whose policy fails in an event is given no further one of the batch.

        :returns: the lines of the reply.
        :raises WireError: for input that the wire does not allow.
        """
        self.output.clear()
        faulty: set[str] = set()
        for at, line in lines:
            values = line.split("\t")
            if values[0] == "YOUR_TURN":
                return self.output
            call = self._prepare(at, values, lines, now_ns)
            name = values[1]
            if call is not None and name not in faulty and not self._run(name, call, now_ns):
                faulty.add(name)
        raise WireError("the input ends inside a batch")

    def _prepare(self, at: int, values: Values, lines: NumberedLines, now_ns: int) -> PolicyCall | None:
        """Starts or ends a controller, or returns the call that the event stands for."""
        kind = values[0]
        shape = EVENTS.get(kind)
        if shape is None:
            raise WireError(f"line {at}: unknown event {kind[:SHOWN_KIND]!r}")
        if not shape.least <= len(values) - 1 <= shape.most:
            raise WireError(f"line {at}: {kind} has {len(values) - 1} values")
        try:
            entries = read_endpoint_lines(values, lines) if kind == "TOPOLOGY" else []
            if kind == "SPAWN":
                self._start(values, now_ns)
                return None
            if kind == "DOWN":
                self.instances.pop(values[1], None)
                return None
            if values[1] not in self.instances:
                raise WireError(f"line {at}: {kind} for {values[1]!r}, which has not started")
            instance = self.instances[values[1]]
            return (
                shape.parse(instance, values) if shape.parse else parse_endpoints(instance, values, entries)
            )
        except KeyError as error:
            raise WireError(f"line {at}: {kind}: unknown name {error}") from error
        except (FleetSettingsError, ValueError, IndexError) as error:
            raise WireError(f"line {at}: {kind}: {error}") from error

    def _start(self, values: Values, now_ns: int) -> None:
        options = dict(pair.partition("=")[::2] for pair in values[3:])
        name, seed = values[1], int(values[2])
        self.instances[name] = ControllerInstance(name, seed, options, self.output, now_ns)

    def _run(self, name: str, call: PolicyCall, now_ns: int) -> bool:
        """Calls the policy. A fault of its own is said on the wire, with its place."""
        try:
            call(now_ns)
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            cause = f"{type(error).__name__}: {error}".replace("\n", " ")
            self.output.append(f"BUG\t{name}\t{cause} ({place.name}, line {place.lineno})")
            return False
        return True


def read_endpoint_lines(values: Values, lines: NumberedLines) -> list[Values]:
    """The entries that follow a TOPOLOGY line.

    :raises WireError: if another line comes.
    """
    entries = []
    for _ in range(int(values[4]) if values[4] != NONE else 0):
        at, line = next(lines, (0, ""))
        entry = line.split("\t")
        if entry[0] != "BACKEND" or len(entry) != ENTRY_FIELDS:
            raise WireError(f"line {at}: a list entry was due, not {line[:SHOWN_LINE]!r}")
        entries.append(entry)
    return entries
