"""Keys of states: times relative to now, and grants by the rank of their numbers."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING

from meadowworks.quota.machine import QuotaGrant, UsageReport

if TYPE_CHECKING:
    from meadowworks.modelcheck.models.quota.world import World

Key = tuple[Hashable, ...]  # of numbers and plain tuples alone, since the explorer marshals it
Ranks = dict[int, int]  # the rank of each grant number among those in use
LEASE_EXPIRED = -1


class SendTimes:
    """Converts send times into values that are comparable between states.

    If leases can expire, a send time is relative to now; otherwise it is its rank among those of its holder.
    """

    def __init__(self, world: World) -> None:
        self._now = world.now
        self._send_times: set[tuple[int, int]] | None = None
        if not world.scenario.leases_end:
            lease_ticks = world.scenario.lease_ticks
            accounts = world.budget.accounts.items()
            self._send_times = {(message.holder_id, message.sent_ns) for message in world.messages}
            self._send_times |= {
                (holder_id, account.expires_ns - lease_ticks) for holder_id, account in accounts
            }

    def relative(self, holder_id: int, sent_ns: int) -> int:
        """Return a send time relative to now, or its rank among those of the holder."""
        if self._send_times is None:
            return sent_ns - self._now
        return sum([sender == holder_id and other_ns < sent_ns for sender, other_ns in self._send_times])


def state_key(world: World) -> Key:
    """Return the values that identify a world's state."""
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
    """Rank the grant numbers of all holders, accounts and messages."""
    numbers = {0}
    numbers.update([holder.grant_number for holder in world.holders])
    numbers.update([message.grant_number for message in world.messages])
    for account in world.budget.accounts.values():
        numbers.update(account.shares)
    return {number: rank for rank, number in enumerate(sorted(numbers))}


def account_keys(world: World, ranks: Ranks, send_times: SendTimes) -> Key:
    """Return the budget's account of each holder."""
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
    """Return the state of each holder; a share with an expired lease counts as 0."""
    keys = []
    for holder in world.holders:
        remaining = 0
        if world.scenario.leases_end:
            remaining = max(holder.lease_until_ns - world.now, LEASE_EXPIRED)
        share = holder.share if remaining != LEASE_EXPIRED else 0
        keys.append((share, ranks[holder.grant_number], holder.in_flight, remaining))
    return tuple(keys)


def message_key(message: UsageReport | QuotaGrant, ranks: Ranks, send_times: SendTimes) -> Key:
    """Return the contents of a message in transit."""
    header = (
        message.holder_id,
        send_times.relative(message.holder_id, message.sent_ns),
        ranks[message.grant_number],
    )
    if isinstance(message, UsageReport):
        return (*header, message.estimate, message.in_flight)
    return (*header, message.share)
