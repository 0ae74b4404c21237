"""The durations of pulls between control planes fit together with the lease that they renew."""

from __future__ import annotations

from meadowworks.consensus.timing import LEASE_DURATION_NS
from meadowworks.controlplane.pull_client import MAX_WAIT_MS, REPLY_TIMEOUT_S, RETRY_S
from meadowworks.runtime.clock import NS_PER_SECOND

ROUND_TRIP_S = 0.05


def test_one_lost_pull_does_not_interrupt_a_lease() -> None:
    # A pull that left at 0 is answered after its long poll, the next is lost, the third answered at once.
    answered_s = MAX_WAIT_MS / 1000 + REPLY_TIMEOUT_S + RETRY_S + ROUND_TRIP_S
    assert answered_s < LEASE_DURATION_NS / NS_PER_SECOND
