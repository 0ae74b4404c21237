"""Immutable copies of worlds and of their machines."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from meadowworks.attempts.machine import AttemptMachine, Call, FinalReply, RouteTable
from meadowworks.attempts.retry_policy import Attempt
from meadowworks.modelcheck.models.attempt.actors import ActualAttempt, ClientRequest
from meadowworks.modelcheck.models.attempt.scenarios import ROUTE, Scenario

if TYPE_CHECKING:
    from meadowworks.modelcheck.models.attempt.world import World

FrozenAttempt = tuple[int, int, int, int]  # number, then the fields of `Attempt`
FrozenActualAttempt = tuple[
    int, int, int, int, int, bool
]  # proxy, number, then the fields of `ActualAttempt`
FrozenRequest = tuple[int, int, int, bool]  # the fields of `ClientRequest`


class FrozenCall(NamedTuple):
    """The immutable copy of a `Call`, with its key."""

    key: int
    route: int
    deadline_ns: int
    waiters: tuple[int, ...]
    attempts: tuple[FrozenAttempt, ...]
    outcome: FinalReply | None
    keep_until_ns: int


class FrozenMachine(NamedTuple):
    """The mutable state of an `AttemptMachine`."""

    calls: tuple[FrozenCall, ...]
    finished_calls: tuple[int, ...]
    timers: tuple[tuple[int, int], ...]
    attempt_count: int
    weights: tuple[tuple[int, float], ...]
    retry_policy: int


class FrozenWorld(NamedTuple):
    """The immutable copy of a world, without the outcomes of its last step."""

    scenario: Scenario
    now: int
    backend_states: tuple[int, ...]
    retry_policy: int
    crashes_left: int
    requests: tuple[tuple[FrozenRequest, ...], ...]
    untracked_runs: tuple[int, ...]
    attempts: tuple[FrozenActualAttempt, ...]
    machines: tuple[FrozenMachine | None, ...]


def freeze_world(world: World) -> FrozenWorld:
    """Return an immutable copy of a world."""
    return FrozenWorld(
        world.scenario,
        world.now,
        tuple(world.backend_states),
        world.retry_policy,
        world.crashes_left,
        tuple([tuple([freeze_request(request) for request in requests]) for requests in world.requests]),
        tuple(world.untracked_runs),
        tuple([freeze_attempt(*attempt_id, attempt) for attempt_id, attempt in world.attempts.items()]),
        tuple([freeze_machine(machine) if machine else None for machine in world.machines]),
    )


def freeze_request(request: ClientRequest) -> FrozenRequest:
    """Return an immutable copy of a client's request."""
    return request.state, request.proxy, request.replies, request.may_come_back


def freeze_attempt(proxy: int, number: int, attempt: ActualAttempt) -> FrozenActualAttempt:
    """Return an immutable copy of an attempt's actual state."""
    return proxy, number, attempt.call_key, attempt.backend, attempt.reply, attempt.is_cut_off


def freeze_machine(machine: AttemptMachine) -> FrozenMachine:
    """Return an immutable copy of a machine."""
    table = machine.tables[ROUTE]
    return FrozenMachine(
        tuple([freeze_call(key, call) for key, call in machine.calls.items()]),
        tuple(machine.finished_calls),
        tuple(machine.timers),
        machine.attempt_count,
        tuple(table.weights.items()),
        table.retry_policy,
    )


def freeze_call(key: int, call: Call) -> FrozenCall:
    """Return an immutable copy of a call."""
    return FrozenCall(
        key,
        call.route,
        call.deadline_ns,
        tuple(call.waiters),
        tuple(
            [
                (number, attempt.backend, attempt.state, attempt.wait_until_ns)
                for number, attempt in call.attempts.items()
            ]
        ),
        call.outcome,
        call.keep_until_ns,
    )


def thaw_machine(machine: AttemptMachine, frozen: FrozenMachine) -> None:
    """Restore the state of a frozen machine in a new one.

    The admission ratio is not part of the frozen state: between steps all requests are admitted.
    """
    machine.calls = {call.key: thaw_call(call) for call in frozen.calls}
    machine.finished_calls = dict.fromkeys(frozen.finished_calls)
    machine.timers = list(frozen.timers)
    machine.attempt_count = frozen.attempt_count
    machine.tables[ROUTE] = RouteTable(dict(frozen.weights), retry_policy=frozen.retry_policy)


def thaw_call(frozen: FrozenCall) -> Call:
    """Return a call from its immutable copy."""
    return Call(
        frozen.route,
        frozen.deadline_ns,
        list(frozen.waiters),
        {number: Attempt(*fields) for number, *fields in frozen.attempts},
        frozen.outcome,
        frozen.keep_until_ns,
    )
