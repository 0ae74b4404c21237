"""The properties of the quota: conditions on every state or on every step."""

from __future__ import annotations

from meadowworks.modelcheck.model import LivenessProperty, Property, steps_starting_with
from meadowworks.modelcheck.models.quota.outcomes import CallAttempted, GrantReceived
from meadowworks.modelcheck.models.quota.world import World


def in_flight_within_estimate(world: World) -> bool:
    """With acknowledged handoff, calls in flight stay within the estimate."""
    return not world.scenario.acknowledged_handoff or world.in_flight() <= world.scenario.highest_estimate


def newest_shares_within_estimate(world: World) -> bool:
    """The sum of the newest shares of all holders stays within the estimate."""
    shares = [list(account.shares.values()) for account in world.budget.accounts.values()]
    return sum(holder_shares[-1] for holder_shares in shares if holder_shares) <= (
        world.scenario.highest_estimate
    )


def call_starts_within_share(world: World) -> bool:
    """A call starts only within its holder's share and lease."""
    calls = [outcome for outcome in world.outcomes if isinstance(outcome, CallAttempted)]
    return all(not call.started or call.in_flight_before < call.share and call.is_leased for call in calls)


def holder_applies_newest_grant(world: World) -> bool:
    """A holder applies a grant exactly if it is newer than its current one."""
    for outcome in world.outcomes:
        if not isinstance(outcome, GrantReceived):
            continue
        before, number, after = outcome
        is_newer = number > before
        is_applied = after == number and number != before
        if after < before or is_newer != is_applied:
            return False
    return True


def in_flight_is_reserved(world: World) -> bool:
    """A holder without an account at the budget has no calls in flight."""
    return all(
        not holder.in_flight or holder_id in world.budget.accounts
        for holder_id, holder in enumerate(world.holders)
    )


def is_starved(world: World) -> bool:
    """Return whether all holders are present and one has no share, though the estimate covers one for each.

    Scenarios in which leases expire are excluded: two holders may alternate forever if a lease expires
    between two reports, which is not a fault of the budget.
    """
    scenario = world.scenario
    is_sufficient = scenario.estimate >= scenario.holder_count
    is_due = is_sufficient and not scenario.leases_end and all(world.is_present)
    return is_due and any(holder.share == 0 for holder in world.holders)


PROPERTIES = (
    Property(
        "under the estimate",
        "with acknowledged handoff, the calls in flight never exceed the estimate",
        in_flight_within_estimate,
    ),
    Property(
        "granted under it",
        "the sum of the newest shares of all holders never exceeds the estimate",
        newest_shares_within_estimate,
    ),
    Property(
        "within the share",
        "a holder starts a call only within its share and its lease",
        call_starts_within_share,
        "step",
    ),
    Property(
        "newer only",
        "a holder does not apply a grant that was overtaken by a newer one",
        holder_applies_newest_grant,
        "step",
    ),
    Property(
        "fenced",
        "a holder has no calls in flight when its share goes to others",
        in_flight_is_reserved,
    ),
)


def liveness_properties(holder_count: int) -> tuple[LivenessProperty, ...]:
    """Return the liveness properties, which assume that holders report, calls end and messages arrive."""
    fair_steps = [
        steps_starting_with(name, holder_id)
        for name in ("beat", "end", "deliver")
        for holder_id in range(holder_count)
    ]
    return (
        LivenessProperty(
            "a share at last",
            "every present holder gets a share, if the estimate covers one for each, all report, calls end "
            "and no lease expires",
            is_starved,
            tuple(fair_steps),
        ),
    )


def overshoot(world: World) -> dict[str, float]:
    """Return the calls in flight as a multiple of the estimate."""
    handoff = "with handoff" if world.scenario.acknowledged_handoff else "without handoff"
    return {f"overshoot {handoff}": world.in_flight() / world.scenario.highest_estimate}
