"""Model of the replicated log: `consensus.log_replica.LogReplica` at two or three nodes with disks.

The network delivers requests and replies in any order, late, twice or not at all. The completion of a write
is a step of its own at a node that may lose power; what has not been written is lost then. Elsewhere a write
completes at once, since only the reply that waits for it shows when it completed. An election may start at
any time: the pre-vote, which only prevents needless elections, always succeeds. Epochs change by
`consensus.reconfiguration`. Two limits of the product that only bound sizes are smaller here
(`limits.small_limits`), so that a few entries reach the code for batches and snapshots.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.replicated_log.model import model

__all__ = ["model"]
