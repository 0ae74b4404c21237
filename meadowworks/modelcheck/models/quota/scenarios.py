"""The scenarios: holders, the quota, and the limits of each fault."""

from __future__ import annotations

from dataclasses import dataclass, replace

TICKS_PER_UNIT = 2  # lets clocks differ by less than the margin, which is one unit
LEASE_TICKS = 2 * TICKS_PER_UNIT
MARGIN_TICKS = 1 * TICKS_PER_UNIT
ENDLESS_LEASE_TICKS = 1 << 20  # longer than any path


@dataclass(frozen=True, slots=True)
class Scenario:
    """An initial state and the events that can follow it.

    :ivar estimate: each holder's estimate of the backends' concurrent calls, if there are no choices.
    :ivar estimate_choices: the values to which a holder's estimate can change; if empty, it stays.
    :ivar leases_end: whether leases can expire; otherwise time only orders the messages.
    :ivar max_in_transit: limit of messages in transit for each holder; two can overtake each other.
    :ivar is_clock_skewed: whether the last holder's clock is one tick behind, which is less than the margin.
    """

    acknowledged_handoff: bool
    holder_count: int = 2
    estimate: int = 2
    estimate_choices: tuple[int, ...] = ()
    max_crashes: int = 1
    max_losses: int = 1
    leases_end: bool = False
    max_in_transit: tuple[int, ...] = (1, 1, 1)
    is_clock_skewed: bool = False

    @property
    def lease_ticks(self) -> int:
        """Duration of a grant's lease."""
        return LEASE_TICKS if self.leases_end else ENDLESS_LEASE_TICKS

    @property
    def highest_estimate(self) -> int:
        """The highest estimate that any holder can have."""
        return max(self.estimate_choices, default=self.estimate)


def scenarios(large: bool) -> tuple[Scenario, ...]:
    """Return the scenarios to explore; counterexamples refer to them by index."""
    endless = Scenario(True, max_crashes=0, max_losses=0)
    leased = Scenario(True, leases_end=True, max_losses=0)
    small = (
        endless,
        replace(endless, acknowledged_handoff=False),
        replace(leased, max_crashes=0, is_clock_skewed=True),
        replace(endless, max_in_transit=(2, 1), estimate=1),
    )
    if not large:
        return small
    return (
        *small,
        leased,
        replace(leased, acknowledged_handoff=False),
        replace(endless, max_in_transit=(2, 1)),
    )
