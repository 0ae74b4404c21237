"""Where the worlds of `forwarding_world` begin, and what their steps are called."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models import http_connection_scenarios

INSTANCES, ADDRESSES = ("a", "b"), ("x:1", "y:1")


@dataclass(frozen=True, slots=True)
class Scenario:
    """What may happen in a world beside attempts that run, are answered or reset."""

    name: str
    safe: bool = False
    max_attempts: int = 2
    client_retries: int = 0  # requests that the client sends anew
    may_drain: bool = False
    reuses_address: bool = False  # an address goes to another service's backend
    surplus_responses: int = 0  # responses to earlier requests that still come on a reused connection
    idle_connection: bool = False  # a connection to the first instance is idle


def scenarios(large: bool) -> list[Scenario]:
    """The scenarios that are explored; with `large` also those that take long."""
    found = [
        Scenario("an unsafe request"),
        Scenario("a safe one", safe=True),
        Scenario("one try alone", safe=True, max_attempts=1),
        Scenario("unsafe, with what is left of before", idle_connection=True, surplus_responses=1),
        Scenario("an address is another's", reuses_address=True, idle_connection=True),
        Scenario("a drain under way", may_drain=True),
        Scenario("the client sends anew", client_retries=1),
    ]
    found += [
        Scenario(
            "safe, a drain, an address", safe=True, may_drain=True, reuses_address=True, idle_connection=True
        ),
        Scenario(
            "all of it",
            client_retries=1,
            may_drain=True,
            reuses_address=True,
            idle_connection=True,
            surplus_responses=1,
        ),
    ]
    if large:
        found += [
            Scenario(
                "all of it, safe",
                True,
                3,
                1,
                may_drain=True,
                reuses_address=True,
                idle_connection=True,
                surplus_responses=1,
            ),
            Scenario(
                "all of it, twice anew",
                False,
                2,
                2,
                may_drain=True,
                reuses_address=True,
                idle_connection=True,
                surplus_responses=2,
            ),
        ]
    return found


def describe_step(step: Step) -> str:
    """A step in plain words."""
    kind, *rest = step
    match kind, rest:
        case "run", [k]:
            return f"the backend begins to work on try {k}"
        case "answer", [k, status]:
            return f"try {k} is answered {status or '503, not run'}"
        case "surplus", [k, status, named]:
            which = "a request" if named else "some request"
            return f"an answer {status} to {which} of before comes in the place of try {k}'s"
        case "reset", [k]:
            return f"the connection of try {k} is reset"
        case "due", [r]:
            return f"request {r} is waited for long enough"
        case "repeat", []:
            return "the client sends anew"
        case "drain", [instance]:
            return f"the junction hears that {instance} drains"
        case "reuse", [endpoint]:
            return f"backend {INSTANCES[endpoint]} ends, and another service's takes its address"
    return http_connection_scenarios.describe_step(step)
