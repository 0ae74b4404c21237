"""What is given in each world of the model: holders, the quota, and how often each fault may come."""

from __future__ import annotations

from dataclasses import dataclass, replace

TICKS_PER_UNIT = 2  # so that clocks can differ by less than the margin, which is a unit
LEASE_TICKS = 2 * TICKS_PER_UNIT
MARGIN_TICKS = 1 * TICKS_PER_UNIT
ENDLESS_LEASE_TICKS = 1 << 20  # longer than any path


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a world begins, and what may happen in it.

    :ivar estimate: calls at once that every holder holds the backends able to bear, unless there are choices.
    :ivar estimate_choices: what a holder's estimate may become; empty: it stays.
    :ivar leases_end: else time only orders what is sent.
    :ivar max_in_transit: messages of each holder at once; with two of them one may overtake the other.
    :ivar is_clock_skewed: the last holder's clock is behind by a tick, less than the margin.
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
        """How long a grant's lease is."""
        return LEASE_TICKS if self.leases_end else ENDLESS_LEASE_TICKS

    @property
    def highest_estimate(self) -> int:
        """The most that any holder may hold the backends able to bear."""
        return max(self.estimate_choices, default=self.estimate)


def scenarios(large: bool) -> tuple[Scenario, ...]:
    """The scenarios to explore, by the indices that counterexamples name."""
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
