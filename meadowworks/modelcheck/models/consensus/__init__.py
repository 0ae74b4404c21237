"""The consensus model: configuration versions and epoch members, decided by majorities of disks.

Disks of acceptors are wiped or replaced, and machines restart or are lost. Proposers, reconfigurations,
quorum reads and state transfers race; each can be abandoned, begin again or complete the work of another, as
in `consensus.operation_runner`.

A request and its reply are one step, or the reply is lost. Replies only determine which requests a proposer
sends next, and those are steps of their own; a request without a reply can be sent again. An acceptor's
reply, also that to its own proposer, is on its disk before it is sent; the model `replica` checks this. If a
proposer's machine loses power before any of its writes, this equals a crash before the step in which it asks
itself. A partition needs no clock: every proposer may continue, whichever members it can still reach.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.consensus.model import model

__all__ = ["model"]
