"""The model of agreement: versions of the configuration and members of epochs, on majorities of disks.

Acceptors stand on disks that are wiped, replaced, restarted and taken off; proposers, reconfigurations,
quorum reads and state transfers race, are given up, begin again, or finish what another began, as
`consensus.operation_runner` has them do.

A request and its reply are one step, or the reply is lost: what a proposer has heard only tells when its next
requests go, and those are steps of their own; one that got no reply may be asked again. An acceptor's reply
is on its disk when it leaves (the model `replica` looks at that), also to its own proposer: a loss of power
of a proposer's machine before any of its writes is a crash before the step in which it asks itself. A
partition needs no clock: every proposer may go on, whoever it no longer reaches.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.consensus.model import model

__all__ = ["model"]
