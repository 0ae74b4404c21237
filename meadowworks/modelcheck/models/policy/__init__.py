"""Model of the load-balancing policy: `Controller` with the fleet controller's own `TableUpdates`.

There are three backends and two zones with a proxy in each. The endpoint list changes, proxies join and
leave, reports arrive or are missing, the channel acknowledges or stalls, and time passes or jumps, in every
order up to a fixed depth.

The state space is infinite because of clocks and decaying sums. Worlds are therefore compared byte by byte as
pickled, without the settings, and the exploration is bounded by depth from several distant initial worlds.
docs/design/state-checks.md describes the alternatives.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.policy.model import model

__all__ = ["model"]
