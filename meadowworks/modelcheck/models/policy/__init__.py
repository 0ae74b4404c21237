"""The model of the policy: `Controller` with the fleet controller's real `TableUpdates`, in a small world.

Three backends, two zones, a proxy in each; the endpoint list changes, proxies join and leave, reports come or
do not, the channel acknowledges or stalls, time goes by or jumps, in every order to a stated depth.

The states have no end (there are clocks and decaying sums), so worlds are told apart byte by byte and the
exploration is bounded by depth, from starts that lie far apart. A world is kept as what `pickle` makes of it,
with the settings left out: see docs/design/state-checks.md for the ways that were weighed.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.policy.model import model

__all__ = ["model"]
