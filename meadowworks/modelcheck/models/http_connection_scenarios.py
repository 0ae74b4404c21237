"""Scenarios of the model of HTTP connections, and descriptions of its steps."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.model_transport import CUT_PLACES


@dataclass(frozen=True, slots=True)
class ConnectionScenario:
    """The events that may occur in a world.

    :param calls: `unsafe` or `safe` requests to a backend, or `controllers`: calls between control-plane
        nodes. Only for unsafe requests the model tracks when they run.
    """

    name: str
    calls: str = "unsafe"
    idle_connections: int = 0  # to the first instance; each has carried an earlier call
    max_faults: int = 0  # resets, stalled responses and responses without a length
    surplus_responses: int = 0  # late responses to the earlier call
    client_timeouts: int = 0  # callers that time out
    has_ids: bool = True  # whether requests have ids
    cut_places: tuple[int, ...] = (0, 1, 3, 4)  # indices into CUT_PLACES


def scenarios(large: bool) -> list[ConnectionScenario]:
    """Return the scenarios to explore; with `large` also those that take long."""
    selected = [
        ConnectionScenario("two unsafe calls, lines that break", max_faults=1),
        ConnectionScenario("two unsafe calls on lines of before", idle_connections=1, surplus_responses=1),
        ConnectionScenario("two safe calls, lines that break", "safe", max_faults=1),
        ConnectionScenario(
            "calls without an id", "safe", idle_connections=1, surplus_responses=1, has_ids=False
        ),
        ConnectionScenario("callers that wait no longer", client_timeouts=1),
        ConnectionScenario(
            "calls between controllers", "controllers", idle_connections=1, surplus_responses=1
        ),
        ConnectionScenario(
            "calls between controllers, lines that break", "controllers", max_faults=1, client_timeouts=1
        ),
    ]
    if large:
        selected += [
            ConnectionScenario(
                "unsafe, all of it", idle_connections=1, max_faults=1, surplus_responses=1, client_timeouts=1
            ),
            ConnectionScenario(
                "safe, all of it", "safe", idle_connections=2, max_faults=1, surplus_responses=1
            ),
            ConnectionScenario("unsafe, lines that break twice", max_faults=2, cut_places=(0, 1, 2, 3, 4)),
            ConnectionScenario(
                "controllers, all of it",
                "controllers",
                idle_connections=1,
                max_faults=1,
                surplus_responses=1,
                client_timeouts=1,
            ),
        ]
    return selected


def describe_step(step: Step) -> str:
    """Describe a step in words.

    :raises ValueError: for an unknown step.
    """
    kind, *args = step
    match kind, args:
        case "ask", []:
            return "the second caller starts"
        case "run", [k]:
            return f"the remote end of connection {k} starts to process its newest request"
        case "say", [k]:
            return f"the response arrives on connection {k}"
        case "reset", [k, cut_place]:
            return f"connection {k} is reset {CUT_PLACES[cut_place]}"
        case "silence", [k, cut_place]:
            return f"the response on connection {k} stalls {CUT_PLACES[cut_place]}"
        case "rest", [k]:
            return f"the rest of the stalled response arrives on connection {k}"
        case "endless", [k, ends_cleanly]:
            end = "cleanly, at its end" if ends_cleanly else "by a reset, within its body"
            return f"a response without a length ends with connection {k} {end}"
        case "extra", [k, status, has_id]:
            suffix = "" if has_id else " without an id"
            return f"a response {status!r} to the earlier call{suffix} arrives on connection {k}"
        case "behind", [k, status, has_id]:
            suffix = "" if has_id else " without an id"
            return f"the response arrives on connection {k}, then {status!r} to the earlier call{suffix}"
        case "leave", [r]:
            return f"caller {r} times out"
    raise ValueError(f"unknown step: {step!r}")
