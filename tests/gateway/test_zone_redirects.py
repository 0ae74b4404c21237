"""The choice of the address that a backend is redirected to."""

from __future__ import annotations

from meadowworks.registry.zone_redirects import REDIRECT_BACKOFF_NS, ZoneRedirects


def test_an_address_that_a_backend_failed_to_reach_is_avoided_for_a_time() -> None:
    redirects = ZoneRedirects()
    redirects.on_heartbeat(0, "i")
    assert redirects.choose(0, "i", ["p:1", "q:1"]) == "p:1"
    redirects.on_heartbeat(1, "i")  # i calls this node again, so p has failed
    assert redirects.choose(1, "i", ["p:1", "q:1"]) == "q:1"
    assert redirects.choose(1, "j", ["p:1"]) is None
    redirects.on_heartbeat(2, "i")
    assert redirects.choose(2, "i", ["p:1", "q:1"]) is None
    assert not redirects.redirect_targets.get("i")
    redirects.on_heartbeat(REDIRECT_BACKOFF_NS + 1, "k")
    assert redirects.choose(REDIRECT_BACKOFF_NS + 1, "k", ["p:1"]) == "p:1"
    assert set(redirects.avoid_until_ns) == {"q:1"}
