"""Which control-plane node a backend is asked to call from now on: one of its own zone (``beatUrl``)."""

from __future__ import annotations

from collections.abc import Iterable

from meadowworks.registry.heartbeats import MAX_REGISTRATIONS

# For this long an address is not named again after a backend has failed to reach it.
REDIRECT_BACKOFF_NS = 10_000_000_000


class ZoneRedirects:
    """The addresses that were named to backends, and those that were found unreachable.

    :ivar redirect_targets: by instance, the address that it was asked to call.
    :ivar avoid_until_ns: by address, until when it is not named.
    """

    def __init__(self) -> None:
        self.redirect_targets: dict[str, str] = {}
        self.avoid_until_ns: dict[str, int] = {}

    def on_heartbeat(self, now_ns: int, instance_id: str) -> None:
        """Notes that an instance calls this node; if it was sent elsewhere, it has failed there."""
        failed = self.redirect_targets.pop(instance_id, None)
        if failed is not None:
            self.avoid_until_ns[failed] = now_ns + REDIRECT_BACKOFF_NS
        self.avoid_until_ns = {
            address: until_ns for address, until_ns in self.avoid_until_ns.items() if until_ns > now_ns
        }

    def choose(self, now_ns: int, instance_id: str, addresses: Iterable[str]) -> str | None:
        """Returns the first address that may be suggested to an instance, if there is one."""
        for address in addresses:
            if self.avoid_until_ns.get(address, 0) <= now_ns:
                self._remember(instance_id, address)
                return address
        return None

    def _remember(self, instance_id: str, address: str) -> None:
        self.redirect_targets[instance_id] = address
        while len(self.redirect_targets) > MAX_REGISTRATIONS:  # the oldest go first
            del self.redirect_targets[next(iter(self.redirect_targets))]
