"""The model ``attempt``: calls at proxies, among backends, clients and a clock.

It runs ``attempts.machine.AttemptMachine``. The world keeps the truth beside it: which attempts may run at a
backend, what each request of a client was told. Time goes by in whole units; a reply may come before, in and
after the unit in which an attempt's wait is over. Backends that are alike count as one: what tells them apart
is their state and all attempts at them.

When an attempt runs is not a step of its own: until there is proof that it never did it may run at any time.
So a call that is not idempotent is held to one such attempt in all, which is the same as never running twice.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.attempt.model import model

__all__ = ["model"]
