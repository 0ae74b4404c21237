"""The steps that are enabled in a state."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING

from meadowworks.attempts.retry_policy import ANSWERED, FAILED, NEVER_RAN
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.attempt.actors import (
    CRASHED,
    DRAINED,
    IN_TABLE,
    NO_REPLY,
    NOT_SENT,
    WAITING,
    ClientRequest,
)

if TYPE_CHECKING:
    from meadowworks.modelcheck.models.attempt.world import World

REPLIES = (ANSWERED, NEVER_RAN, FAILED)
REPLIES_CUT_OFF = (NEVER_RAN, FAILED)
ADMITTED, REJECTED = 1, 0
FIRST_DRAW = 0
BACKENDS_WITHOUT_CHOICE = 2  # a retry has only one other backend, so its draw makes no difference


def enabled_steps(world: World) -> list[Step]:
    """Return the enabled steps.

    If no request waits for a reply and none can be sent, no further reply is possible and only client steps
    are enabled.
    """
    steps = list(client_steps(world))
    if not world.is_reply_pending() and not any(True for _ in sendable_requests(world)):
        return steps
    draws = range(draw_count(world) if world.scenario.backend_count > BACKENDS_WITHOUT_CHOICE else 1)
    steps += attempt_steps(world, draws)
    steps += backend_steps(world)
    if world.retry_policy and world.scenario.policy_may_change:
        steps.append(("strict",))
    steps += proxy_steps(world)
    if any(machine and machine.calls for machine in world.machines):
        steps += [("pass", draw) for draw in draws]
    return steps


def draw_count(world: World) -> int:
    """Return how many draws select different backends."""
    states = world.backend_states
    return len(states) - states.count(DRAINED) or 1


def client_steps(world: World) -> Iterator[Step]:
    """Yield the arrivals of requests and the disconnections of clients."""
    for key, requests in enumerate(world.requests):
        for index, request in enumerate(requests):
            if request.state == WAITING:
                yield "leave", key, index
            if is_sendable(requests, index):
                yield from request_steps(world, key, index)


def sendable_requests(world: World) -> Iterator[tuple[int, int]]:
    """Yield call and index of the requests that may be sent."""
    for key, requests in enumerate(world.requests):
        for index in range(len(requests)):
            if is_sendable(requests, index):
                yield key, index


def is_sendable(requests: Sequence[ClientRequest], index: int) -> bool:
    """Return whether a request may be sent: the first always, a repeat if the previous request permits it."""
    if requests[index].state != NOT_SENT:
        return False
    return index == 0 or requests[index - 1].may_be_repeated


def request_steps(world: World, key: int, index: int) -> Iterator[Step]:
    """Yield the arrivals of a request at each proxy, with each draw that makes a difference there."""
    for proxy, machine in enumerate(world.machines):
        if machine is None:
            continue
        call = machine.calls.get(key)
        if call is not None and call.outcome is None:
            yield "ask", key, index, proxy, FIRST_DRAW, ADMITTED
            continue
        for draw in range(draw_count(world)):
            yield "ask", key, index, proxy, draw, ADMITTED
        yield "ask", key, index, proxy, FIRST_DRAW, REJECTED


def attempt_steps(world: World, draws: range) -> Iterator[Step]:
    """Yield the results of attempts that can reach proxies."""
    for (proxy, number), attempt in world.attempts.items():
        if attempt.reply == NO_REPLY:
            for reply in REPLIES_CUT_OFF if attempt.is_cut_off else REPLIES:
                for draw in draws if reply != ANSWERED else (FIRST_DRAW,):
                    yield "reply", proxy, number, reply, draw
        elif attempt.reply == NEVER_RAN:
            yield "cut", proxy, number


def backend_steps(world: World) -> Iterator[Step]:
    """Yield the drains, returns and crashes of backends."""
    for backend, state in enumerate(world.backend_states):
        if state == CRASHED:
            continue
        yield "drain" if state == IN_TABLE else "back", backend
        if world.scenario.backends_may_crash:
            yield "end", backend


def proxy_steps(world: World) -> Iterator[Step]:
    """Yield the crashes and restarts of proxies."""
    for proxy, machine in enumerate(world.machines):
        if machine is None:
            yield "rise", proxy
        elif world.crashes_left:
            yield "die", proxy
