"""What must hold of the quota in every world, or of every step."""

from __future__ import annotations

from meadowworks.modelcheck.model import LivenessProperty, Property, steps_starting_with
from meadowworks.modelcheck.models.quota.outcomes import CallAttempted, GrantReceived
from meadowworks.modelcheck.models.quota.world import World


def in_flight_within_estimate(world: World) -> bool:
    """With acknowledged handoff, calls in flight stay within the estimate."""
    return not world.scenario.acknowledged_handoff or world.in_flight() <= world.scenario.highest_estimate


def newest_shares_within_estimate(world: World) -> bool:
    """The newest shares of all holders together are never over-committed."""
    shares = [list(account.shares.values()) for account in world.budget.accounts.values()]
    return sum(of_holder[-1] for of_holder in shares if of_holder) <= world.scenario.highest_estimate


def call_starts_within_share(world: World) -> bool:
    """A call starts only within its holder's share and lease."""
    attempted = [outcome for outcome in world.outcomes if isinstance(outcome, CallAttempted)]
    return all(
        not call.started or call.in_flight_before < call.share and call.is_leased for call in attempted
    )


def holder_goes_by_newest_grant(world: World) -> bool:
    """A holder takes in a grant exactly if it is newer than the one that it goes by."""
    for outcome in world.outcomes:
        if not isinstance(outcome, GrantReceived):
            continue
        before, number, after = outcome
        is_newer = number > before
        is_taken = after == number and number != before
        if after < before or is_newer != is_taken:
            return False
    return True


def in_flight_is_reserved(world: World) -> bool:
    """No holder for which nothing is reserved any more has calls in flight."""
    return all(
        not holder.in_flight or holder_id in world.budget.accounts
        for holder_id, holder in enumerate(world.holders)
    )


def is_starved(world: World) -> bool:
    """All holders are there, and one of them has no share though there is one for each.

    Where leases lapse between two reports, two holders may take turns for ever: that is no fault of the
    budget.
    """
    scenario = world.scenario
    enough = scenario.estimate >= scenario.holder_count
    is_due = enough and not scenario.leases_end and all(world.is_present)
    return is_due and any(holder.share == 0 for holder in world.holders)


PROPERTIES = (
    Property(
        "under the estimate",
        "with acknowledged handoff, calls under way never exceed the estimate",
        in_flight_within_estimate,
    ),
    Property(
        "granted under it",
        "the newest shares of all holders never exceed the estimate",
        newest_shares_within_estimate,
    ),
    Property(
        "within the share",
        "a holder begins a call only within its share and its lease",
        call_starts_within_share,
        "step",
    ),
    Property(
        "newer only",
        "a grant that was overtaken by a newer one is not gone by",
        holder_goes_by_newest_grant,
        "step",
    ),
    Property(
        "fenced",
        "a holder has stopped before what it holds is given to others",
        in_flight_is_reserved,
    ),
)


def liveness_properties(holder_count: int) -> tuple[LivenessProperty, ...]:
    """Return what every holder gets at last, if each goes on reporting and messages arrive."""
    fair_steps = [
        steps_starting_with(name, holder_id)
        for name in ("beat", "end", "deliver")
        for holder_id in range(holder_count)
    ]
    return (
        LivenessProperty(
            "a share at last",
            "who stays is given a share, if it goes round, all report, calls end and no lease lapses",
            is_starved,
            tuple(fair_steps),
        ),
    )


def overshoot(world: World) -> dict[str, float]:
    """Measure the calls in flight as a multiple of the estimate."""
    handoff = "with handoff" if world.scenario.acknowledged_handoff else "without handoff"
    return {f"overshoot {handoff}": world.in_flight() / world.scenario.highest_estimate}
