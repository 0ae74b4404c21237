"""Model of the order of writes and sends: instances of `consensus.replica.Replica`, each with a disk.

A replica's memory and disk are separate. The completion of a write is a step of its own; a write in flight
during a loss of power is lost and leaves the disk unchanged. Requests arrive at any time, also from an
earlier incarnation. Time does not advance: nothing is retransmitted, and an operation in backoff waits for
ever. A reply is delivered when it is sent, if the requesting process is still running.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.replica.model import model

__all__ = ["model"]
