"""Scenarios of the forwarding model, and descriptions of its steps."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models import http_connection_scenarios

INSTANCES, ADDRESSES = ("a", "b"), ("x:1", "y:1")


@dataclass(frozen=True, slots=True)
class ForwardingScenario:
    """The events that may occur in a world besides the running, response and reset of attempts."""

    name: str
    safe: bool = False
    max_attempts: int = 2
    client_retries: int = 0  # how often the client may repeat its request
    may_drain: bool = False
    reuses_address: bool = False  # another service's backend may take over an address
    surplus_responses: int = 0  # late responses to earlier requests on a reused connection
    idle_connection: bool = False  # whether the pool starts with an idle connection to the first instance


def scenarios(large: bool) -> list[ForwardingScenario]:
    """Return the scenarios to explore; with `large` also those that take long."""
    selected = [
        ForwardingScenario("an unsafe request"),
        ForwardingScenario("a safe one", safe=True),
        ForwardingScenario("one try alone", safe=True, max_attempts=1),
        ForwardingScenario("unsafe, with what is left of before", idle_connection=True, surplus_responses=1),
        ForwardingScenario("an address is another's", reuses_address=True, idle_connection=True),
        ForwardingScenario("a drain under way", may_drain=True),
        ForwardingScenario("the client sends anew", client_retries=1),
    ]
    selected += [
        ForwardingScenario(
            "safe, a drain, an address", safe=True, may_drain=True, reuses_address=True, idle_connection=True
        ),
        ForwardingScenario(
            "all of it",
            client_retries=1,
            may_drain=True,
            reuses_address=True,
            idle_connection=True,
            surplus_responses=1,
        ),
    ]
    if large:
        selected += [
            ForwardingScenario(
                "all of it, safe",
                True,
                3,
                1,
                may_drain=True,
                reuses_address=True,
                idle_connection=True,
                surplus_responses=1,
            ),
            ForwardingScenario(
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
    return selected


def describe_step(step: Step) -> str:
    """Describe a step in words."""
    kind, *args = step
    match kind, args:
        case "run", [k]:
            return f"the backend runs attempt {k}"
        case "answer", [k, status]:
            return f"attempt {k} gets response {status or '503, not run'}"
        case "surplus", [k, status, has_id]:
            which = "an earlier request" if has_id else "an unnamed earlier request"
            return f"a response {status} to {which} arrives in place of that of attempt {k}"
        case "reset", [k]:
            return f"the connection of attempt {k} is reset"
        case "due", [r]:
            return f"the timer of request {r} expires"
        case "repeat", []:
            return "the client repeats its request"
        case "drain", [instance]:
            return f"the proxy receives the update that {instance} is draining"
        case "reuse", [endpoint]:
            return f"backend {INSTANCES[endpoint]} ends and another service's backend takes its address"
    return http_connection_scenarios.describe_step(step)
