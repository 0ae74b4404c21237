"""The events of the line protocol: their number of values and their parsers.

A parser converts the values of a line into a call of the policy, which takes the time as its argument. It
raises KeyError for an unknown name, and ValueError or IndexError for an invalid value.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.fleet.names import ENDPOINT_STATES
from meadowworks.fleet.settings import NS_PER_US
from meadowworks.policy.interface import AttemptReport, EndpointEntry
from meadowworks.simulator_adapter.host import ControllerInstance

Values = list[str]
PolicyCall = Callable[[int], None]  # takes the time in nanoseconds
Parser = Callable[[ControllerInstance, Values], PolicyCall]

UPDATE_KINDS = {"diff": "changes", "snapshot": "whole", "disk": "disk", "error": "error"}
ALIVE_RESULTS = ("done", "busy", "err")  # results of a health check that show a running backend
NONE = "-"  # stands for a missing value
MAX_OPTIONS = 1 << 20


@dataclass(frozen=True, slots=True)
class EventShape:
    """The number of values after the name of an event, and the parser of events that are one line."""

    min_values: int
    max_values: int
    parse: Parser | None = None


def parse_load(text: str) -> dict[str, float]:
    """Return the load of a backend by name, from `name:number` pairs separated by commas."""
    if text in (NONE, ""):
        return {}
    return {part.split(":")[0]: float(part.split(":")[1]) for part in text.split(",")}


def parse_endpoints(host: ControllerInstance, values: Values, entries: list[Values]) -> PolicyCall:
    """Parse a TOPOLOGY event and the lines of its entries."""
    endpoints = [
        EndpointEntry(
            host.backends.index(entry[5]),
            host.zones[entry[6]],
            ENDPOINT_STATES[entry[2]],
            0 if entry[3] == NONE else int(entry[3]) * NS_PER_US,
            1.0 if entry[7] == NONE else float(entry[7]),
        )
        for entry in entries
    ]
    kind = UPDATE_KINDS[values[2]]
    return lambda now: host.policy.on_endpoints(now, kind, endpoints)


def _tick(host: ControllerInstance, _: Values) -> PolicyCall:
    return host.policy.tick


def _proxy_joined(host: ControllerInstance, values: Values) -> PolicyCall:
    proxy, zone, usual_rate = (
        int(values[2]),
        host.zones[values[3]],
        0.0 if values[4] == NONE else float(values[4]),
    )
    return lambda now: host.policy.on_proxy_joined(now, proxy, zone, usual_rate)


def _proxy_left(host: ControllerInstance, values: Values) -> PolicyCall:
    proxy = int(values[2])
    return lambda now: host.policy.on_proxy_left(now, proxy)


def _health_check(host: ControllerInstance, values: Values) -> PolicyCall:
    backend, answered = host.backend_index(values[2]), values[3] in ALIVE_RESULTS
    return lambda now: host.policy.on_health_check(now, backend, answered)


def _backend_report(host: ControllerInstance, values: Values) -> PolicyCall:
    zone, backend, load = host.zones[values[2]], host.backend_index(values[3]), parse_load(values[8])
    attempts, failures = int(values[4]), int(values[5])
    report = AttemptReport(attempts, failures, int(values[6]) * NS_PER_US, int(values[7]) * NS_PER_US, load)
    return lambda now: host.policy.on_backend_report(now, zone, backend, report)


def _demand_report(host: ControllerInstance, values: Values) -> PolicyCall:
    proxy, route, calls, period_ns = (
        int(values[2]),
        host.routes[values[3]],
        int(values[4]),
        int(values[6]) * NS_PER_US,
    )
    int(values[5])  # the number of dropped calls is only validated
    return lambda now: host.policy.on_demand_report(now, proxy, route, calls, period_ns)


def _ack(host: ControllerInstance, values: Values) -> PolicyCall:
    nonce = int(values[3])
    return lambda now: host.policy.on_ack(now, nonce)


def _slice_assigned(host: ControllerInstance, values: Values) -> PolicyCall:
    number, assigned = int(values[2]), values[3] == "1"
    return lambda now: host.policy.on_slice_assigned(now, number, assigned)


def _slice_backend(host: ControllerInstance, values: Values) -> PolicyCall:
    number, backend, weight = int(values[2]), host.backends.index(values[3]), float(values[4])
    return lambda now: host.policy.on_slice_backend(now, number, backend, weight)


def _ignored(_: ControllerInstance, __: Values) -> PolicyCall:
    """Accept an event that the policy does not use: messages of peers, load by slice."""
    return lambda now: None


EVENTS = {
    "DOWN": EventShape(1, 1),
    "SPAWN": EventShape(3, MAX_OPTIONS),
    "TOPOLOGY": EventShape(4, 4),
    "ELAPSED": EventShape(2, 2, _tick),
    "PROBED": EventShape(5, 5, _health_check),
    "FROM_PEER": EventShape(3, 3, _ignored),
    "CONNECTED": EventShape(5, 5, _proxy_joined),
    "LEFT": EventShape(2, 2, _proxy_left),
    "STATS": EventShape(8, 8, _backend_report),
    "DEMAND": EventShape(6, 6, _demand_report),
    "HOTNESS": EventShape(6, 6, _ignored),
    "TENURE": EventShape(3, 3, _slice_assigned),
    "STANDING_LINE": EventShape(4, 4, _slice_backend),
    "INSTALLED": EventShape(4, 4, _ack),
}
