"""What tells two worlds apart: times from now, and grants by the order of their numbers."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING

from meadowworks.quota.machine import QuotaGrant, UsageReport

if TYPE_CHECKING:
    from meadowworks.modelcheck.models.quota.world import World

Key = tuple[Hashable, ...]  # of numbers and plain tuples alone, since the explorer marshals it
Ranks = dict[int, int]  # the place of each grant number among those that anybody knows
LEASE_OVER = -1


class SendTimes:
    """Makes a time of sending comparable between worlds.

    Where leases end it counts from now; else only the order of what each holder has sent matters.
    """

    def __init__(self, world: World) -> None:
        self._now = world.now
        self._sent: set[tuple[int, int]] | None = None
        if not world.scenario.leases_end:
            lease_ticks = world.scenario.lease_ticks
            accounts = world.budget.accounts.items()
            self._sent = {(message.holder_id, message.sent_ns) for message in world.messages}
            self._sent |= {(holder_id, account.expires_ns - lease_ticks) for holder_id, account in accounts}

    def relative(self, holder_id: int, sent_ns: int) -> int:
        """Return the time of sending from now, or its place among those of the holder."""
        if self._sent is None:
            return sent_ns - self._now
        return sum([sender == holder_id and other_ns < sent_ns for sender, other_ns in self._sent])


def state_key(world: World) -> Key:
    """Return what tells a world's state from others."""
    scenario = world.scenario
    ranks, send_times = grant_ranks(world), SendTimes(world)
    return (
        scenario.acknowledged_handoff,
        scenario.is_clock_skewed,
        scenario.leases_end,
        scenario.estimate_choices,
        account_keys(world, ranks, send_times),
        holder_keys(world, ranks),
        tuple(world.is_present),
        tuple(world.estimates),
        tuple([message_key(message, ranks, send_times) for message in world.messages]),
        world.crashes_left,
        world.losses_left,
    )


def grant_ranks(world: World) -> Ranks:
    """Rank the numbers of all grants that a holder, an account or a message names."""
    numbers = {0}
    numbers.update([holder.grant_number for holder in world.holders])
    numbers.update([message.grant_number for message in world.messages])
    for account in world.budget.accounts.values():
        numbers.update(account.shares)
    return {number: rank for rank, number in enumerate(sorted(numbers))}


def account_keys(world: World, ranks: Ranks, send_times: SendTimes) -> Key:
    """Return what the budget knows of each holder."""
    lease_ticks = world.scenario.lease_ticks
    return tuple(
        [
            (
                holder_id,
                account.estimate,
                account.in_flight,
                send_times.relative(holder_id, account.expires_ns - lease_ticks),
                tuple([(ranks[number], share) for number, share in account.shares.items()]),
            )
            for holder_id, account in sorted(world.budget.accounts.items())
        ]
    )


def holder_keys(world: World, ranks: Ranks) -> Key:
    """Return what each holder goes by; a share whose lease is over counts as none."""
    keys = []
    for holder in world.holders:
        remaining = 0
        if world.scenario.leases_end:
            remaining = max(holder.lease_until_ns - world.now, LEASE_OVER)
        share = holder.share if remaining != LEASE_OVER else 0
        keys.append((share, ranks[holder.grant_number], holder.in_flight, remaining))
    return tuple(keys)


def message_key(message: UsageReport | QuotaGrant, ranks: Ranks, send_times: SendTimes) -> Key:
    """Return what a message in transit says."""
    header = (
        message.holder_id,
        send_times.relative(message.holder_id, message.sent_ns),
        ranks[message.grant_number],
    )
    if isinstance(message, UsageReport):
        return (*header, message.estimate, message.in_flight)
    return (*header, message.share)
