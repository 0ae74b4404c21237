"""Redirects of backends to a control-plane node of their own zone, sent as ``beatUrl``."""

from __future__ import annotations

from collections.abc import Iterable

from meadowworks.registry.heartbeats import MAX_REGISTRATIONS

REDIRECT_BACKOFF_NS = 10_000_000_000  # pause of redirects to an address that a backend failed to reach


class ZoneRedirects:
    """The open redirects, and the addresses that backends failed to reach.

    :ivar redirect_targets: by instance id: the address that it was redirected to.
    :ivar avoid_until_ns: by address: the time until which no instance is redirected to it.
    """

    def __init__(self) -> None:
        self.redirect_targets: dict[str, str] = {}
        self.avoid_until_ns: dict[str, int] = {}

    def on_heartbeat(self, now_ns: int, instance_id: str) -> None:
        """Handle a heartbeat at this node; if the instance was redirected, the redirect has failed."""
        failed_address = self.redirect_targets.pop(instance_id, None)
        if failed_address is not None:
            self.avoid_until_ns[failed_address] = now_ns + REDIRECT_BACKOFF_NS
        self.avoid_until_ns = {
            address: until_ns for address, until_ns in self.avoid_until_ns.items() if until_ns > now_ns
        }

    def choose(self, now_ns: int, instance_id: str, addresses: Iterable[str]) -> str | None:
        """Return the first address that is not avoided as redirect for an instance; None if there is none."""
        for address in addresses:
            if self.avoid_until_ns.get(address, 0) <= now_ns:
                self._record_redirect(instance_id, address)
                return address
        return None

    def _record_redirect(self, instance_id: str, address: str) -> None:
        self.redirect_targets[instance_id] = address
        while len(self.redirect_targets) > MAX_REGISTRATIONS:  # evicts the oldest redirect
            del self.redirect_targets[next(iter(self.redirect_targets))]
