"""The wire's events: how many values each has, and the call on the policy that it stands for.

A parser is given the controller and the values of a line, and raises KeyError for an unknown name, ValueError
or IndexError for a value without sense. The call that it returns waits for the clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.fleet.names import ENDPOINT_STATE_BY_STATUS
from meadowworks.fleet.settings import NS_PER_US
from meadowworks.policy.interface import AttemptReport, EndpointEntry
from meadowworks.simulator_adapter.host import ControllerInstance

Values = list[str]
PolicyCall = Callable[[int], None]  # with the time
Parser = Callable[[ControllerInstance, Values], PolicyCall]

UPDATE_KINDS = {"diff": "changes", "snapshot": "whole", "disk": "disk", "error": "error"}
ALIVE = ("done", "busy", "err")  # answers to a health check that a living backend gives
NONE = "-"  # where there is no value
MAX_OPTIONS = 1 << 20


@dataclass(frozen=True, slots=True)
class EventShape:
    """How many values follow the event's name, and its parser, if one line tells all."""

    least: int
    most: int
    parse: Parser | None = None


def parse_load(text: str) -> dict[str, float]:
    """A backend's load: names and numbers."""
    if text in (NONE, ""):
        return {}
    return {part.split(":")[0]: float(part.split(":")[1]) for part in text.split(",")}


def parse_endpoints(host: ControllerInstance, values: Values, entries: list[Values]) -> PolicyCall:
    """TOPOLOGY, with the lines of its entries."""
    endpoints = [
        EndpointEntry(
            host.backends.index(entry[5]),
            host.zones[entry[6]],
            ENDPOINT_STATE_BY_STATUS[entry[2]],
            0 if entry[3] == NONE else int(entry[3]) * NS_PER_US,
            1.0 if entry[7] == NONE else float(entry[7]),
        )
        for entry in entries
    ]
    kind = UPDATE_KINDS[values[2]]
    return lambda now: host.policy.on_endpoints(now, kind, endpoints)


def _tick(host: ControllerInstance, _: Values) -> PolicyCall:
    return host.policy.tick


def _proxy_joined(host: ControllerInstance, v: Values) -> PolicyCall:
    proxy, zone, usual_rate = int(v[2]), host.zones[v[3]], 0.0 if v[4] == NONE else float(v[4])
    return lambda now: host.policy.on_proxy_joined(now, proxy, zone, usual_rate)


def _proxy_left(host: ControllerInstance, v: Values) -> PolicyCall:
    proxy = int(v[2])
    return lambda now: host.policy.on_proxy_left(now, proxy)


def _health_check(host: ControllerInstance, v: Values) -> PolicyCall:
    backend, answered = host.backend_index(v[2]), v[3] in ALIVE
    return lambda now: host.policy.on_health_check(now, backend, answered)


def _backend_report(host: ControllerInstance, v: Values) -> PolicyCall:
    zone, backend, load = host.zones[v[2]], host.backend_index(v[3]), parse_load(v[8])
    attempts, failures = int(v[4]), int(v[5])
    report = AttemptReport(attempts, failures, int(v[6]) * NS_PER_US, int(v[7]) * NS_PER_US, load)
    return lambda now: host.policy.on_backend_report(now, zone, backend, report)


def _demand_report(host: ControllerInstance, v: Values) -> PolicyCall:
    proxy, route, calls, period_ns = int(v[2]), host.routes[v[3]], int(v[4]), int(v[6]) * NS_PER_US
    int(v[5])  # the calls that were dropped: checked, and not needed
    return lambda now: host.policy.on_demand_report(now, proxy, route, calls, period_ns)


def _ack(host: ControllerInstance, v: Values) -> PolicyCall:
    nonce = int(v[3])
    return lambda now: host.policy.on_ack(now, nonce)


def _slice_assigned(host: ControllerInstance, v: Values) -> PolicyCall:
    number, assigned = int(v[2]), v[3] == "1"
    return lambda now: host.policy.on_slice_assigned(now, number, assigned)


def _slice_backend(host: ControllerInstance, v: Values) -> PolicyCall:
    number, backend, weight = int(v[2]), host.backends.index(v[3]), float(v[4])
    return lambda now: host.policy.on_slice_backend(now, number, backend, weight)


def _nothing(_: ControllerInstance, __: Values) -> PolicyCall:
    """Peers and heat by slice: legal, and nothing that the policy reads."""
    return lambda now: None


EVENTS = {
    "DOWN": EventShape(1, 1),
    "SPAWN": EventShape(3, MAX_OPTIONS),
    "TOPOLOGY": EventShape(4, 4),
    "ELAPSED": EventShape(2, 2, _tick),
    "PROBED": EventShape(5, 5, _health_check),
    "FROM_PEER": EventShape(3, 3, _nothing),
    "CONNECTED": EventShape(5, 5, _proxy_joined),
    "LEFT": EventShape(2, 2, _proxy_left),
    "STATS": EventShape(8, 8, _backend_report),
    "DEMAND": EventShape(6, 6, _demand_report),
    "HOTNESS": EventShape(6, 6, _nothing),
    "TENURE": EventShape(3, 3, _slice_assigned),
    "STANDING_LINE": EventShape(4, 4, _slice_backend),
    "INSTALLED": EventShape(4, 4, _ack),
}
