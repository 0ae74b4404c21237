"""Where the worlds of `http_connections` begin, and what their steps are called."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.model_transport import CUT_PLACES


@dataclass(frozen=True, slots=True)
class ConnectionScenario:
    """What may happen in a world.

    :param calls: `unsafe` or `safe` requests to a backend, or `controllers`: calls between control-plane
        nodes. Of unsafe requests it matters when they run.
    """

    name: str
    calls: str = "unsafe"
    idle_connections: int = 0  # to the first instance; each has carried a call before
    max_faults: int = 0  # resets, silences and answers without a length
    surplus_responses: int = 0  # responses to the earlier call that still come
    client_timeouts: int = 0  # callers that wait no longer
    has_ids: bool = True  # whether requests have ids
    cut_places: tuple[int, ...] = (0, 1, 3, 4)  # indices into CUT_PLACES


def scenarios(large: bool) -> list[ConnectionScenario]:
    """The scenarios that are explored; with `large` also those that take long."""
    found = [
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
        found += [
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
    return found


def describe_step(step: Step) -> str:
    """A step in plain words."""
    kind, *rest = step
    match kind, rest:
        case "ask", []:
            return "the other caller asks"
        case "run", [k]:
            return f"the far side of line {k} begins to work on its newest call"
        case "say", [k]:
            return f"it answers on line {k}"
        case "reset", [k, where]:
            return f"line {k} is reset {CUT_PLACES[where]}"
        case "silence", [k, where]:
            return f"line {k} falls silent {CUT_PLACES[where]}"
        case "rest", [k]:
            return f"the rest of that answer comes on line {k} after all"
        case "endless", [k, whole]:
            end = "in order, at its end" if whole else "by a reset, in the midst of its body"
            return f"on line {k} an answer without a length ends with its connection {end}"
        case "extra", [k, status, named]:
            name = "" if named else ", without a name,"
            return f"an answer {status!r} to the call before{name} comes on line {k}"
        case "behind", [k, status, named]:
            name = "" if named else ", without a name,"
            return f"it answers on line {k}, and behind that {status!r} to the call before{name}"
        case "leave", [r]:
            return f"caller {r} waits no longer"
    raise ValueError(f"no such step: {step!r}")
