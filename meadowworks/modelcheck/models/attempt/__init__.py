"""The model ``attempt``: calls at proxies, with their backends, clients and a clock.

It runs ``attempts.machine.AttemptMachine``. Beside the machines, the world records the actual state: which
attempts may run at a backend and which replies each client received. Time advances in whole units; a reply
can arrive before, in or after the unit in which an attempt times out. Backends are interchangeable if their
state and all attempts at them are equal.

The execution of an attempt is not a step: an attempt may run at any time until there is proof that it never
ran. A call that is not idempotent may therefore have only one such attempt, which is equivalent to never
running twice.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.attempt.model import model

__all__ = ["model"]
