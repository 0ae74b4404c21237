"""The model ``grants``: one quota, dealt out to holders in leased shares.

It runs ``quota.machine.QuotaBudget`` and its ``QuotaHolder``s, with a network between them that delays, loses
and reorders, calls that start and end, holders that come, leave and crash, and clocks that differ a little.

With acknowledged handoff all calls in flight stay within the estimate at every moment. Without it they do
not: the metric ``overshoot`` is the most calls in flight as a multiple of the estimate, over all states.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.quota.model import model

__all__ = ["model"]
