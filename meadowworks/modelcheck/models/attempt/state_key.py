"""Keys of states: times relative to now, backends by their state and the attempts at them."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING

from meadowworks.attempts.machine import AttemptMachine, Call
from meadowworks.attempts.retry_policy import SENT
from meadowworks.modelcheck.models.attempt.frozen import freeze_request
from meadowworks.modelcheck.models.attempt.scenarios import ROUTE

if TYPE_CHECKING:
    from meadowworks.modelcheck.models.attempt.world import World

Key = tuple[Hashable, ...]  # of numbers, strings and plain tuples alone, since the explorer marshals it
IN_TABLE_OF_PROXY = -1  # replaces the call's key in the row of a proxy that has the backend in its table


def state_key(world: World) -> Key:
    """Return the values that identify a world's state."""
    scenario = world.scenario
    requests = [freeze_request(request) for call_requests in world.requests for request in call_requests]
    return (
        scenario.idempotent,
        scenario.retry_policy,
        scenario.max_kept_replies,
        backend_keys(world),
        world.retry_policy,
        world.crashes_left,
        tuple(requests),
        tuple(world.untracked_runs),
        tuple([machine_key(machine, world.now) if machine else None for machine in world.machines]),
    )


def backend_keys(world: World) -> Key:
    """Return each backend's state and the proxies' entries about it.

    They are sorted, so that exchanging two backends leaves the key unchanged.
    """
    proxy_entries: list[list[Key]] = [[] for _ in world.backend_states]
    for proxy, machine in enumerate(world.machines):
        if machine is None:
            continue
        for key, call in sorted(machine.calls.items()):
            for position, (number, attempt) in enumerate(call.attempts.items()):
                actual = world.attempts[proxy, number]
                remaining = attempt.wait_until_ns - world.now if attempt.state == SENT else 0
                proxy_entries[attempt.backend].append(
                    (proxy, key, position, attempt.state, actual.reply, actual.is_cut_off, remaining)
                )
        for backend in machine.tables[ROUTE].weights:
            proxy_entries[backend].append((proxy, IN_TABLE_OF_PROXY))
    states = zip(world.backend_states, proxy_entries, strict=True)
    return tuple(sorted([(state, tuple(entries)) for state, entries in states]))


def machine_key(machine: AttemptMachine, now: int) -> Key:
    """Return the state of a machine without its attempts and its table."""
    calls = [call_key(key, call, now) for key, call in sorted(machine.calls.items())]
    return tuple(calls), tuple(machine.finished_calls), machine.tables[ROUTE].retry_policy


def call_key(key: int, call: Call, now: int) -> Key:
    """Return the state of a call at a machine without its attempts."""
    outcome = call.outcome
    if outcome is None:
        return key, tuple(call.waiters), call.deadline_ns - now, ()
    reply = outcome.kind, outcome.may_have_run, outcome.retry_after_ns > 0
    return key, tuple(call.waiters), call.keep_until_ns - now, reply
