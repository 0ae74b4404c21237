"""The model ``grants``: one quota, divided among holders into leased shares.

It runs ``quota.machine.QuotaBudget`` and its ``QuotaHolder``s. The network between them delays, loses and
reorders messages; calls start and end; holders join, leave and crash; and clocks differ slightly.

With acknowledged handoff, the calls in flight never exceed the estimate. Without it they can: the metric
``overshoot`` is the largest number of calls in flight over all states, as a multiple of the estimate.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.quota.model import model

__all__ = ["model"]
