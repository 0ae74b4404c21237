"""Properties that hold in every state."""

from __future__ import annotations

from collections.abc import Iterator

from meadowworks.attempts.machine import Call
from meadowworks.attempts.retry_policy import ANSWERED, SENT
from meadowworks.modelcheck.models.attempt.world import World


def all_calls(world: World) -> Iterator[Call]:
    """Yield the calls of all running proxies."""
    for machine in world.machines:
        if machine:
            yield from machine.calls.values()


def open_calls(world: World) -> Iterator[Call]:
    """Yield the calls without an outcome."""
    return (call for call in all_calls(world) if call.outcome is None)


def mutating_call_runs_once(world: World) -> bool:
    """A call that is not idempotent has at most one attempt that may have run."""
    keys = range(len(world.scenario.requests_per_call))
    return world.scenario.idempotent or all(world.possible_runs(key) <= 1 for key in keys)


def one_final_reply(world: World) -> bool:
    """A request gets at most one final reply."""
    return all(request.replies <= 1 for requests in world.requests for request in requests)


def open_calls_have_attempt_in_flight(world: World) -> bool:
    """An open call waits for an attempt; an abandoned call gets its reply at once."""
    return all(
        any(attempt.state == SENT and attempt.wait_until_ns > world.now for attempt in call.attempts.values())
        for call in open_calls(world)
    )


def open_calls_within_deadline(world: World) -> bool:
    """No call is open at its deadline."""
    return all(call.deadline_ns > world.now for call in open_calls(world))


def one_attempt_waited_for(world: World) -> bool:
    """A call waits for at most one attempt."""
    return all(
        sum(attempt.state == SENT for attempt in call.attempts.values()) <= 1 for call in all_calls(world)
    )


def late_answers_are_kept(world: World) -> bool:
    """The outcome of a call that is not idempotent is its answer, even if the answer came late."""
    if world.scenario.idempotent:
        return True
    for call in all_calls(world):
        was_answered = any(attempt.state == ANSWERED for attempt in call.attempts.values())
        if call.outcome and was_answered and call.outcome.kind != "answered":
            return False
    return True


def kept_replies_are_bounded(world: World) -> bool:
    """A proxy keeps no more replies than its bound, and no calls other than those and the open ones."""
    call_count = len(world.scenario.requests_per_call)
    return all(
        len(machine.finished_calls) <= machine.max_kept_replies
        and len(machine.calls) <= len(machine.finished_calls) + call_count
        for machine in world.machines
        if machine
    )
