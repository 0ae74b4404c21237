"""The state of the quota model: the budget, its holders, and the messages between them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.quota.outcomes import CallAttempted, GrantReceived
from meadowworks.modelcheck.models.quota.scenarios import MARGIN_TICKS, TICKS_PER_UNIT, Scenario
from meadowworks.modelcheck.models.quota.state_key import state_key
from meadowworks.quota.machine import QuotaAccount, QuotaBudget, QuotaGrant, QuotaHolder, UsageReport


class FrozenAccount(NamedTuple):
    """The immutable copy of a `QuotaAccount`."""

    holder_id: int
    estimate: int
    in_flight: int
    expires_ns: int
    shares: tuple[tuple[int, int], ...]


class FrozenHolder(NamedTuple):
    """The mutable state of a `QuotaHolder`."""

    share: int
    grant_number: int
    in_flight: int
    lease_until_ns: int


class FrozenWorld(NamedTuple):
    """The immutable copy of a world."""

    scenario: Scenario
    now: int
    last_grant_number: int
    is_present: tuple[bool, ...]
    estimates: tuple[int, ...]
    messages: tuple[UsageReport | QuotaGrant, ...]
    crashes_left: int
    losses_left: int
    accounts: tuple[FrozenAccount, ...]
    holders: tuple[FrozenHolder, ...]


# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "come": "join",
    "beat": "send_report",
    "begin": "start_call",
    "end": "end_call",
    "leave": "leave",
    "die": "crash",
    "view": "change_estimate",
    "deliver": "deliver_message",
    "lose": "lose_message",
    "pass": "advance_clock",
}


class World:
    """The state that the explorer changes by steps.

    :ivar now: the time of the budget's clock, in ticks.
    :ivar is_present: for each holder; an absent one has left, has crashed or has not joined yet.
    :ivar estimates: for each holder, its estimate of the backends' concurrent calls.
    :ivar messages: messages in transit, by holder: reports before grants, each in the order of sending.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.now = 0
        self.budget = QuotaBudget(scenario.lease_ticks, scenario.acknowledged_handoff)
        self.holders = [self._new_holder(holder_id) for holder_id in range(scenario.holder_count)]
        self.is_present = [False] * scenario.holder_count
        self.estimates = [scenario.highest_estimate] * scenario.holder_count
        self.messages: list[UsageReport | QuotaGrant] = []
        self.crashes_left = scenario.max_crashes
        self.losses_left = scenario.max_losses

    def _new_holder(self, holder_id: int) -> QuotaHolder:
        return QuotaHolder(holder_id, self.scenario.lease_ticks, MARGIN_TICKS)

    def clock(self, holder_id: int) -> int:
        """Return the time of a holder's clock, in ticks."""
        is_last = holder_id == self.scenario.holder_count - 1
        return self.now - (self.scenario.is_clock_skewed and is_last)

    def in_flight(self) -> int:
        """Return the number of calls in flight at all holders."""
        return sum(holder.in_flight for holder in self.holders)

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the enabled steps."""
        steps: list[Step] = []
        for holder_id in range(len(self.holders)):
            steps += self._holder_steps(holder_id)
        steps += self._network_steps()
        if self.scenario.leases_end and (any(self.is_present) or self.budget.accounts):
            steps.append(("pass",))
        return steps

    def _holder_steps(self, holder_id: int) -> Iterator[Step]:
        if not self.is_present[holder_id]:
            yield "come", holder_id
            return
        holder = self.holders[holder_id]
        in_transit = sum(message.holder_id == holder_id for message in self.messages)
        if in_transit < self.scenario.max_in_transit[holder_id]:
            yield "beat", holder_id
        if self.clock(holder_id) < holder.lease_until_ns:
            yield "begin", holder_id
        if holder.in_flight:
            yield "end", holder_id
        elif not in_transit:
            yield "leave", holder_id
        if self.crashes_left:
            yield "die", holder_id
        for estimate in self.scenario.estimate_choices:
            if estimate != self.estimates[holder_id]:
                yield "view", holder_id, estimate

    def _network_steps(self) -> Iterator[Step]:
        next_index = [0] * len(self.holders)
        for message in self.messages:
            index = next_index[message.holder_id]
            yield "deliver", message.holder_id, index
            if self.losses_left:
                yield "lose", message.holder_id, index
            next_index[message.holder_id] += 1

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        self.outcomes = []
        kind, *arguments = step
        getattr(self, STEP_METHODS[kind])(*arguments)
        self.budget.expire(self.now)  # the budget would do so before its next use; merges equivalent states
        self.messages.sort(key=lambda message: (message.holder_id, isinstance(message, QuotaGrant)))

    def join(self, holder_id: int) -> None:
        """Let a holder join without state."""
        self.is_present[holder_id] = True
        self.holders[holder_id] = self._new_holder(holder_id)

    def send_report(self, holder_id: int) -> None:
        """Send a report of a holder."""
        self.now += not self.scenario.leases_end
        holder = self.holders[holder_id]
        self.messages.append(holder.build_report(self.clock(holder_id), self.estimates[holder_id]))

    def start_call(self, holder_id: int) -> None:
        """Try to start a call at a holder."""
        holder, now = self.holders[holder_id], self.clock(holder_id)
        in_flight_before = holder.in_flight
        started = holder.try_start(now)
        is_leased = now < holder.lease_until_ns
        self.outcomes.append(CallAttempted(started, in_flight_before, holder.share, is_leased))

    def end_call(self, holder_id: int) -> None:
        """End a call at a holder."""
        self.holders[holder_id].on_call_ended()

    def leave(self, holder_id: int) -> None:
        """Let a holder without calls in flight leave."""
        self.is_present[holder_id] = False
        self.budget.on_holder_left(holder_id)
        self.holders[holder_id] = self._new_holder(holder_id)

    def crash(self, holder_id: int) -> None:
        """Crash a holder, which ends its calls; its messages stay in transit."""
        self.crashes_left -= 1
        self.is_present[holder_id] = False
        self.holders[holder_id] = self._new_holder(holder_id)

    def change_estimate(self, holder_id: int, estimate: int) -> None:
        """Change a holder's estimate."""
        self.estimates[holder_id] = estimate

    def deliver_message(self, holder_id: int, index: int) -> None:
        """Deliver a message; the budget may answer a report with a grant."""
        message = self.messages.pop(self._message_position(holder_id, index))
        if isinstance(message, UsageReport):
            if grant := self.budget.on_report(self.now, message):
                self.messages.append(grant)
        elif self.is_present[holder_id]:
            holder = self.holders[holder_id]
            number_before = holder.grant_number
            holder.on_grant(message)
            self.outcomes.append(GrantReceived(number_before, message.grant_number, holder.grant_number))

    def lose_message(self, holder_id: int, index: int) -> None:
        """Lose a message."""
        self.losses_left -= 1
        del self.messages[self._message_position(holder_id, index)]

    def advance_clock(self) -> None:
        """Advance the clock by one unit."""
        self.now += TICKS_PER_UNIT
        for holder_id, holder in enumerate(self.holders):
            holder.fence(self.clock(holder_id))
        # Receivers ignore older messages, so dropping them changes no outcome.
        lease_ticks = self.scenario.lease_ticks
        self.messages = [message for message in self.messages if message.sent_ns + lease_ticks > self.now]

    def _message_position(self, holder_id: int, index: int) -> int:
        positions = [
            position for position, message in enumerate(self.messages) if message.holder_id == holder_id
        ]
        return positions[index]

    # -- states

    def key(self) -> Any:
        """Return the values that identify this state."""
        return state_key(self)

    def freeze(self) -> FrozenWorld:
        """Return an immutable copy for `thaw_world`, without the outcomes of the last step."""
        accounts = [
            FrozenAccount(
                holder_id,
                account.estimate,
                account.in_flight,
                account.expires_ns,
                tuple(account.shares.items()),
            )
            for holder_id, account in self.budget.accounts.items()
        ]
        holders = [
            FrozenHolder(holder.share, holder.grant_number, holder.in_flight, holder.lease_until_ns)
            for holder in self.holders
        ]
        return FrozenWorld(
            self.scenario,
            self.now,
            self.budget.last_grant_number,
            tuple(self.is_present),
            tuple(self.estimates),
            tuple(self.messages),
            self.crashes_left,
            self.losses_left,
            tuple(accounts),
            tuple(holders),
        )


def thaw_world(frozen: FrozenWorld) -> World:
    """Return a world from its immutable copy."""
    world = World(frozen.scenario)
    world.now = frozen.now
    world.is_present, world.estimates = list(frozen.is_present), list(frozen.estimates)
    world.messages = list(frozen.messages)
    world.crashes_left, world.losses_left = frozen.crashes_left, frozen.losses_left
    world.budget.last_grant_number = frozen.last_grant_number
    for holder_id, estimate, in_flight, expires_ns, shares in frozen.accounts:
        world.budget.accounts[holder_id] = QuotaAccount(estimate, in_flight, expires_ns, dict(shares))
    for holder, state in zip(world.holders, frozen.holders, strict=True):
        holder.share, holder.grant_number, holder.in_flight, holder.lease_until_ns = state
    return world
