"""The state of the attempt model: proxies with their machines, backends, clients and the actual attempts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from meadowworks.attempts.machine import Call, FinalReply
from meadowworks.attempts.retry_policy import ANSWERED, CANCELLED, FAILED
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.attempt.actors import (
    CLIENT_GONE,
    CRASHED,
    DRAINED,
    IN_TABLE,
    PROXY_LOST,
    REPLIED,
    WAITING,
    ActualAttempt,
    ChosenDrawMachine,
    ClientRequest,
    ProxyHost,
)
from meadowworks.modelcheck.models.attempt.enabled import draw_count, enabled_steps
from meadowworks.modelcheck.models.attempt.frozen import FrozenWorld, freeze_world, thaw_machine
from meadowworks.modelcheck.models.attempt.outcomes import AttemptSent, ReplyDelivered, RequestHandled
from meadowworks.modelcheck.models.attempt.scenarios import (
    ADMISSION_INTERVAL_UNITS,
    FIRST_POLICY_FOR_ANY_FAILURE,
    NO_RETRIES,
    ROUTE,
    Scenario,
    request_index,
    waiter_number,
)
from meadowworks.modelcheck.models.attempt.state_key import state_key

MAX_COUNTED_RUNS = 2  # two runs already violate a property, so higher counts are not distinguished
ADMIT_ALL = 1.0

# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "ask": "receive_request",
    "leave": "disconnect_client",
    "reply": "deliver_result",
    "cut": "end_replied_connection",
    "drain": "drain_backend",
    "back": "return_backend",
    "end": "crash_backend",
    "strict": "forbid_retries",
    "die": "crash_proxy",
    "rise": "restart_proxy",
    "pass": "advance_clock",
}


class World:
    """The state that the explorer changes by steps.

    :ivar requests: the requests of each call, in the order in which its client sends them.
    :ivar untracked_runs: for each call, the attempts that may have run or may still run and that no machine
        tracks.
    :ivar attempts: the attempts that a machine tracks, by proxy and number.
    :ivar machines: the machine of each proxy, None while the proxy is down.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.now = 0
        self.backend_states = [IN_TABLE] * scenario.backend_count
        self.retry_policy, self.crashes_left = scenario.retry_policy, scenario.max_crashes
        self.requests = [[ClientRequest() for _ in range(count)] for count in scenario.requests_per_call]
        self.untracked_runs = [0] * len(scenario.requests_per_call)
        self.attempts: dict[tuple[int, int], ActualAttempt] = {}
        self.machines: list[ChosenDrawMachine | None] = [None] * scenario.proxy_count
        for proxy in range(scenario.proxy_count):
            self.start_proxy(proxy)

    # -- proxies and their tables

    def start_proxy(self, proxy: int) -> None:
        """Start a proxy with a new machine, and send it the table."""
        self.machines[proxy] = self.new_machine(proxy)
        self._send_table(proxy)

    def new_machine(self, proxy: int) -> ChosenDrawMachine:
        """Return a machine without calls."""
        return ChosenDrawMachine(
            ProxyHost(self, proxy),
            (self.scenario.route_policy,),
            ADMISSION_INTERVAL_UNITS,
            self.scenario.max_kept_replies,
            seed=0,
        )

    def table(self) -> dict[int, float]:
        """Return the weights of the route's backends; a crashed backend stays until it is drained."""
        return {backend: 1.0 for backend, state in enumerate(self.backend_states) if state != DRAINED}

    def _send_table(self, proxy: int) -> None:
        if machine := self.machines[proxy]:
            machine.on_table(ROUTE, self.table(), ADMIT_ALL, self.retry_policy)

    def _send_tables(self) -> None:
        for proxy in range(self.scenario.proxy_count):
            self._send_table(proxy)

    def _running_machine(self, proxy: int) -> ChosenDrawMachine:
        machine = self.machines[proxy]
        assert machine is not None
        return machine

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the enabled steps."""
        return enabled_steps(self)

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        self.outcomes = []
        kind, *arguments = step
        getattr(self, STEP_METHODS[kind])(*arguments)
        self._release_dropped_attempts()

    def _choose_draw(self, draw: int) -> None:
        """Set all random numbers of this step to the middle of one of the equal parts of their range."""
        parts = draw_count(self)
        for machine in self.machines:
            if machine:
                machine.chosen_draw = (draw + 0.5) / parts

    def receive_request(self, key: int, index: int, proxy: int, draw: int, is_admitted: int) -> None:
        """Deliver a client's request to a proxy."""
        self._choose_draw(draw)
        is_repeat = index > 0 and self.requests[key][index - 1].is_unresolved
        request, machine = self.requests[key][index], self._running_machine(proxy)
        request.state, request.proxy = WAITING, proxy
        is_new_call = key not in machine.calls
        machine.tables[ROUTE].admission_ratio = float(is_admitted)
        machine.on_request(self.now, key, ROUTE, waiter_number(key, index), is_repeat)
        machine.tables[ROUTE].admission_ratio = ADMIT_ALL
        self.outcomes.append(RequestHandled(is_new_call, bool(is_admitted), request.state == WAITING))

    def disconnect_client(self, key: int, index: int) -> None:
        """Disconnect a client."""
        request = self.requests[key][index]
        request.state = CLIENT_GONE
        if machine := self.machines[request.proxy]:
            machine.on_client_gone(self.now, key, waiter_number(key, index))

    def deliver_result(self, proxy: int, number: int, reply: int, draw: int) -> None:
        """Deliver the result of an attempt to its proxy."""
        self._choose_draw(draw)
        attempt = self.attempts[proxy, number]
        attempt.reply = reply
        self._running_machine(proxy).on_attempt_ended(self.now, attempt.call_key, number, reply)

    def end_replied_connection(self, proxy: int, number: int) -> None:
        """End the connection of an attempt after its reply; the transport reports this as a failure."""
        key = self.attempts[proxy, number].call_key
        self._running_machine(proxy).on_attempt_ended(self.now, key, number, FAILED)

    def drain_backend(self, backend: int) -> None:
        """Remove a backend from the table."""
        self.backend_states[backend] = DRAINED
        self._send_tables()

    def return_backend(self, backend: int) -> None:
        """Return a drained backend to the table."""
        self.backend_states[backend] = IN_TABLE
        self._send_tables()

    def crash_backend(self, backend: int) -> None:
        """Crash a backend: its unanswered attempts are cut off, whether they ran or not."""
        self.backend_states[backend] = CRASHED
        for attempt in self.attempts.values():
            attempt.is_cut_off |= attempt.backend == backend
        self._send_tables()

    def forbid_retries(self) -> None:
        """Change the table's policy to no retries."""
        self.retry_policy = NO_RETRIES
        self._send_tables()

    def crash_proxy(self, proxy: int) -> None:
        """Crash a proxy, which ends its connections to clients."""
        self.crashes_left -= 1
        self.machines[proxy] = None
        for attempt_id in [attempt_id for attempt_id in self.attempts if attempt_id[0] == proxy]:
            self._release_attempt(attempt_id)
        for requests in self.requests:
            for request in requests:
                if request.state == WAITING and request.proxy == proxy:
                    request.state = PROXY_LOST

    def restart_proxy(self, proxy: int) -> None:
        """Restart a proxy without state."""
        self.start_proxy(proxy)

    def advance_clock(self, draw: int) -> None:
        """Advance the clock by one unit."""
        self._choose_draw(draw)
        self.now += 1
        for machine in self.machines:
            if machine:
                machine.tick(self.now)

    # -- actual state of attempts

    def _release_attempt(self, attempt_id: tuple[int, int]) -> None:
        attempt = self.attempts.pop(attempt_id)
        if attempt.may_have_run and not self.scenario.idempotent:
            counted = self.untracked_runs[attempt.call_key] + 1
            self.untracked_runs[attempt.call_key] = min(MAX_COUNTED_RUNS, counted)

    def _release_dropped_attempts(self) -> None:
        """Release the attempts that their machines have dropped, whatever their result."""
        for attempt_id, attempt in list(self.attempts.items()):
            proxy, number = attempt_id
            machine = self.machines[proxy]
            call = machine.calls.get(attempt.call_key) if machine else None
            if call is None or number not in call.attempts:
                self._release_attempt(attempt_id)

    def possible_runs(self, key: int) -> int:
        """Count the attempts of a call without proof that they never ran."""
        tracked = self.attempts.values()
        return self.untracked_runs[key] + sum(
            attempt.call_key == key and attempt.may_have_run for attempt in tracked
        )

    def is_reply_pending(self) -> bool:
        """Return whether a request waits for its final reply."""
        return any(request.state == WAITING for requests in self.requests for request in requests)

    # -- actions of the machines

    def on_attempt_sent(self, proxy: int, key: int, number: int, backend: int) -> None:
        """Track an attempt that a proxy sent, and record the conditions that its properties check."""
        call = self._running_machine(proxy).calls[key]
        prior = [self.attempts[proxy, other] for other in call.attempts if other != number]
        state = self.backend_states[backend]
        self.outcomes.append(
            AttemptSent(
                prior_attempts=len(prior),
                is_allowed=not prior or self._may_retry(prior),
                is_in_table=state != DRAINED,
                is_new_backend=all(attempt.backend != backend for attempt in prior),
                remaining_units=call.deadline_ns - self.now,
                has_waiters=bool(call.waiters),
            )
        )
        self.attempts[proxy, number] = ActualAttempt(key, backend, is_cut_off=state == CRASHED)

    def _may_retry(self, prior: list[ActualAttempt]) -> bool:
        if self.retry_policy == NO_RETRIES:
            return False
        if not any(attempt.may_have_run for attempt in prior):
            return True
        return self.scenario.idempotent and self.retry_policy >= FIRST_POLICY_FOR_ANY_FAILURE

    def on_final_reply(self, proxy: int, key: int, waiter: int, reply: FinalReply) -> None:
        """Record a final reply to a client, with the actual state at that moment."""
        request = self.requests[key][request_index(waiter)]
        call = self._running_machine(proxy).calls.get(key)
        numbers = call.attempts if call else ()
        attempts = [self.attempts[proxy, number] for number in numbers if (proxy, number) in self.attempts]
        may_have_run = not self.scenario.idempotent and self.possible_runs(key) > 0
        names_retry_time = reply.retry_after_ns > 0
        self.outcomes.append(
            ReplyDelivered(
                kind=reply.kind,
                may_have_run=reply.may_have_run,
                names_retry_time=names_retry_time,
                could_have_run=may_have_run or any(attempt.may_have_run for attempt in attempts),
                has_attempts=bool(attempts),
                was_answered=any(attempt.reply == ANSWERED for attempt in attempts),
                is_early=call is not None and self._was_cancelled_early(call),
                was_waiting=request.state == WAITING,
            )
        )
        request.replies += 1
        request.may_come_back = names_retry_time
        if request.state == WAITING:
            request.state = REPLIED

    def _was_cancelled_early(self, call: Call) -> bool:
        return any(
            attempt.state == CANCELLED and attempt.wait_until_ns > self.now
            for attempt in call.attempts.values()
        )

    # -- states

    def key(self) -> Any:
        """Return the values that identify this state."""
        return state_key(self)

    def freeze(self) -> FrozenWorld:
        """Return an immutable copy for `thaw_world`, without the outcomes of the last step."""
        return freeze_world(self)


def thaw_world(frozen: FrozenWorld) -> World:
    """Return a world from its immutable copy."""
    world = World.__new__(World)  # avoids starting machines that are replaced below
    world.scenario = frozen.scenario
    world.outcomes = []
    world.now = frozen.now
    world.backend_states = list(frozen.backend_states)
    world.retry_policy, world.crashes_left = frozen.retry_policy, frozen.crashes_left
    world.requests = [[ClientRequest(*fields) for fields in requests] for requests in frozen.requests]
    world.untracked_runs = list(frozen.untracked_runs)
    world.attempts = {
        (proxy, number): ActualAttempt(key, backend, reply, is_cut_off)
        for proxy, number, key, backend, reply, is_cut_off in frozen.attempts
    }
    world.machines = [None] * frozen.scenario.proxy_count
    for proxy, frozen_machine in enumerate(frozen.machines):
        if frozen_machine is not None:
            machine = world.machines[proxy] = world.new_machine(proxy)
            thaw_machine(machine, frozen_machine)
    return world
