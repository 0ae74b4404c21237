"""The model of the order of writes and sends: `consensus.replica.Replica`s, each with a disk.

A write is made at a step of its own, or lost with the power, and leaves the disk as it was; what a replica
holds in memory and what is on its disk are two things here. Requests come at any time, also from an
incarnation that is over. Time stands still: nothing is sent again, and what would back off waits for good. A
reply is heard when it leaves, if the process that asked still runs.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.replica.model import model

__all__ = ["model"]
