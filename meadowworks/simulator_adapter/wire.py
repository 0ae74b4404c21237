"""One line of the wire becomes one call on the module; what it answers becomes lines of the reply."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterator
from typing import TextIO

from meadowworks.fleet.names import ENDPOINT_STATES, NameIndex
from meadowworks.fleet.settings import SettingsError, read_settings
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry

UPDATE_KINDS = {"diff": "changes", "snapshot": "whole", "disk": "disk", "error": "error"}
EVENT_VALUE_COUNTS = {  # values after the name; a row of two figures gives the least and the most
    "DOWN": (1, 1),
    "SPAWN": (3, 1 << 20),
    "TOPOLOGY": (4, 4),
    "ELAPSED": (2, 2),
    "PROBED": (5, 5),
    "FROM_PEER": (3, 3),
    "CONNECTED": (5, 5),
    "LEFT": (2, 2),
    "STATS": (8, 8),
    "DEMAND": (6, 6),
    "HOTNESS": (6, 6),
    "TENURE": (3, 3),
    "STANDING_LINE": (4, 4),
    "INSTALLED": (4, 4),
}


class WireError(Exception):
    """Input that the wire does not allow; the text says what and where."""


class ControllerInstance:
    """The host of one controller: gives out indices at the door and writes orders straight to the reply."""

    def __init__(self, name: str, seed: int, options: dict[str, str], out: list[str], now_ns: int) -> None:
        self.name, self.output = name, out
        settings, self.zones, self.routes = read_settings(options)
        self.backends = NameIndex()
        self.policy = Controller(self, settings, seed, now_ns)

    def parse_load(self, text: str) -> dict[str, float]:
        if text in ("-", ""):
            return {}
        return {part.split(":")[0]: float(part.split(":")[1]) for part in text.split(",")}

    def log(self, line: str) -> None:
        self.output.append(f"RECORD\t{self.name}\t{line}")

    def watch_list(self, on: bool) -> None:
        self.output.append(f"TRACK\t{self.name}\t{int(on)}")

    def check_health(self, backend: int) -> None:
        self.output.append(f"SAMPLE\t{self.name}\t{self.backends.name_by_index[backend]}")

    def release_backend(self, backend: int) -> None:
        self.backends.release(backend)

    def request_ack(self, number: int) -> None:
        self.output.append(f"BARRIER\t{self.name}\t{number}\t0")

    def set_timer(self, wait_ns: int) -> None:
        self.output.append(f"WAKE_ME\t{self.name}\t{wait_ns // 1000}\ttick")

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        self.output.append(
            f"UPSERT\t{self.name}\t{table}\t{self.backends.name_by_index[backend]}\t{weight:.6g}"
        )

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        self.output.append(f"SUBSCRIBE_TO\t{self.name}\t{routes}\t{proxy}\t{table}")

    def set_admission(self, table: int, routes: int, level: float, retry: int) -> None:
        self.output.append(f"ADMIT\t{self.name}\t{table}\t{routes}\t{level:.4f}\t{retry}")


def serve(source: TextIO, sink: TextIO) -> None:
    """Answers batch after batch until the input ends."""
    out: list[str] = []
    instances: dict[str, ControllerInstance] = {}
    numbered = enumerate((line.rstrip("\r\n") for line in source), 1)
    for at, line in numbered:
        if not line:
            continue
        parts = line.split("\t")
        if parts[0] != "FRAME" or len(parts) != 2 or not parts[1].isdigit():
            raise WireError(f"line {at}: a batch opens with FRAME and its clock, not {line[:80]!r}")
        process_batch(int(parts[1]) * 1000, numbered, instances, out)
        out.append("DONE")
        sink.write("\n".join(out) + "\n")
        sink.flush()
        out.clear()


def process_batch(
    now_ns: int, lines: Iterator[tuple[int, str]], instances: dict[str, ControllerInstance], out: list[str]
) -> None:
    broken: set[str] = set()
    for at, line in lines:
        parts = line.split("\t")
        kind = parts[0]
        if kind == "YOUR_TURN":
            return
        shape = EVENT_VALUE_COUNTS.get(kind)
        if shape is None:
            raise WireError(f"line {at}: unknown event {kind[:40]!r}")
        if not shape[0] <= len(parts) - 1 <= shape[1]:
            raise WireError(f"line {at}: {kind} has {len(parts) - 1} values")
        name = parts[1]
        try:
            entries = read_endpoint_lines(parts, lines) if kind == "TOPOLOGY" else []
            if kind == "SPAWN":
                options = dict(pair.partition("=")[::2] for pair in parts[3:])
                instances[name] = ControllerInstance(name, int(parts[2]), options, out, now_ns)
                continue
            if kind == "DOWN":
                instances.pop(name, None)
                continue
            if name not in instances:
                raise WireError(f"line {at}: {kind} for {name!r}, which has not started")
            call = parse_event(instances[name], kind, parts, entries)
        except KeyError as trouble:
            raise WireError(f"line {at}: {kind}: unknown name {trouble}") from trouble
        except (SettingsError, ValueError, IndexError) as trouble:
            raise WireError(f"line {at}: {kind}: {trouble}") from trouble
        if name in broken:
            continue
        try:
            call(now_ns)
        except Exception as trouble:  # the module's own fault: said on the wire, with its place
            broken.add(name)
            where = traceback.extract_tb(trouble.__traceback__)[-1]
            cause = f"{type(trouble).__name__}: {trouble}".replace("\n", " ")
            out.append(f"BUG\t{name}\t{cause} ({where.name}, line {where.lineno})")
    raise WireError("the input ends inside a batch")


def read_endpoint_lines(parts: list[str], lines: Iterator[tuple[int, str]]) -> list[list[str]]:
    found = []
    for _ in range(int(parts[4]) if parts[4] != "-" else 0):
        at, line = next(lines, (0, ""))
        entry = line.split("\t")
        if entry[0] != "BACKEND" or len(entry) != 8:
            raise WireError(f"line {at}: a list entry was due, not {line[:80]!r}")
        found.append(entry)
    return found


def parse_event(
    host: ControllerInstance, kind: str, v: list[str], entries: list[list[str]]
) -> Callable[[int], None]:
    """The call that a line stands for, waiting for the clock."""
    module = host.policy
    match kind:
        case "TOPOLOGY":
            listed = [
                EndpointEntry(
                    host.backends.index(e[5]),
                    host.zones[e[6]],
                    ENDPOINT_STATES[e[2]],
                    0 if e[3] == "-" else int(e[3]) * 1000,
                    1.0 if e[7] == "-" else float(e[7]),
                )
                for e in entries
            ]
            how = UPDATE_KINDS[v[2]]
            return lambda now: module.on_endpoints(now, how, listed)
        case "ELAPSED":
            return module.tick
        case "CONNECTED":
            proxy, zone, usual = int(v[2]), host.zones[v[3]], 0.0 if v[4] == "-" else float(v[4])
            return lambda now: module.on_proxy_joined(now, proxy, zone, usual)
        case "LEFT":
            proxy = int(v[2])
            return lambda now: module.on_proxy_left(now, proxy)
        case "PROBED":
            backend, answered = host.backends.index_by_name.get(v[2], -1), v[3] in ("done", "busy", "err")
            return lambda now: module.on_health_check(now, backend, answered)
        case "STATS":
            zone, backend, load = (
                host.zones[v[2]],
                host.backends.index_by_name.get(v[3], -1),
                host.parse_load(v[8]),
            )
            tries, bad, latency, covers = int(v[4]), int(v[5]), int(v[6]) * 1000, int(v[7]) * 1000
            return lambda now: module.on_backend_report(
                now, zone, backend, AttemptReport(tries, bad, latency, covers, load)
            )
        case "DEMAND":
            proxy, route, calls, covers = int(v[2]), host.routes[v[3]], int(v[4]), int(v[6]) * 1000
            int(v[5])  # the calls that were dropped: checked, and not needed
            return lambda now: module.on_demand_report(now, proxy, route, calls, covers)
        case "INSTALLED":
            mark = int(v[3])
            return lambda now: module.on_ack(now, mark)
        case "TENURE":
            number, on = int(v[2]), v[3] == "1"
            return lambda now: module.on_slice_assigned(now, number, on)
        case "STANDING_LINE":
            number, backend, weight = int(v[2]), host.backends.index(v[3]), float(v[4])
            return lambda now: module.on_slice_backend(now, number, backend, weight)
        case _:  # peers and heat by slice: legal, and nothing that the module reads
            return lambda now: None
