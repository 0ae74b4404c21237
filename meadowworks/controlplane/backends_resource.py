"""The `Backends` resource of the API: heartbeats, drains and departures of backends."""

from __future__ import annotations

import json
from collections.abc import Callable

from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes, error_reply
from meadowworks.controlplane.drain_service import DrainService
from meadowworks.registry.heartbeats import (
    CallAccepted,
    HeartbeatRegistry,
    InvalidCall,
    RegistryFull,
)
from meadowworks.registry.zone_redirects import ZoneRedirects
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns

DRAIN_ACK_TIMEOUT_S = 0.7  # shorter than the heartbeat interval of one second
MAX_ACK_BYTES = 4096  # backends treat a larger reply as no acknowledgement
MAX_REASON_LENGTH = 200  # characters; the reason may include input from the caller
NO_LEASE_RETRY_S = 0.5  # the caller tries another node before it retries
NOT_DURABLE_RETRY_S = 0.2  # enough for several pulls, which carry the acknowledgements of other nodes
REGISTRY_FULL_RETRY_S = 1.0  # registrations without heartbeats expire within seconds
EMPTY_REPLY = b"{}"
log = logs.get_logger("api")


class BackendsResource:
    """Handlers of the `Backends` requests.

    :param heartbeats: registers heartbeats and departures.
    :param drain_service: writes drains to disk and waits until they are durable.
    :param is_durable: returns whether this node's update with a given version is on enough disks to survive
        the loss of the tolerated number. A drain or a departure is acknowledged only then.
    :param api_addresses_in_zone_of: returns API addresses of the nodes in a backend's zone, or none if this
        node is in the same zone. Backends are redirected there to avoid traffic between zones.
    :param holds_lease: returns whether this node holds a lease from a majority.
    """

    def __init__(
        self,
        heartbeats: HeartbeatRegistry,
        drain_service: DrainService,
        is_durable: Callable[[int], bool],
        api_addresses_in_zone_of: Callable[[str], list[str]],
        holds_lease: Callable[[], bool],
    ) -> None:
        self._heartbeats = heartbeats
        self._drain_service = drain_service
        self._is_durable = is_durable
        self._api_addresses_in_zone_of = api_addresses_in_zone_of
        self._holds_lease = holds_lease
        self._zone_redirects = ZoneRedirects()
        self._acknowledged_drains: set[str] = set()  # backend ids; each drain is logged once

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {
            ApiRoute("POST", "Backends.Heartbeat"): self.heartbeat,
            ApiRoute("POST", "Backends.Leave"): self.leave,
        }

    async def heartbeat(self, request: ApiRequest) -> ApiReply:
        """Register a heartbeat; one in the state `draining` is acknowledged once the drain is durable."""
        try:
            document = json.loads(request.body)
        except (ValueError, RecursionError):
            return error_reply(400, "no JSON")
        backend_id, now = request.resource_id, now_ns()
        result = self._heartbeats.record_heartbeat(now, backend_id, document)
        if (refusal := await self._refusal_unless_durable(result)) is not None:
            return refusal
        if isinstance(result, CallAccepted) and result.version:
            self._log_first_acknowledgement(backend_id)
        self._zone_redirects.on_heartbeat(now, backend_id)
        return ApiReply(200, self._redirect_body(now, backend_id))

    async def leave(self, request: ApiRequest) -> ApiReply:
        """Register a departure, and acknowledge it once it is durable."""
        result = self._heartbeats.leave(now_ns(), request.resource_id)
        return await self._refusal_unless_durable(result) or ApiReply(200)

    async def _refusal_unless_durable(
        self, result: CallAccepted | InvalidCall | RegistryFull
    ) -> ApiReply | None:
        """Return the error reply if a request can't be acknowledged, else None."""
        match result:
            case InvalidCall(reason):
                return error_reply(400, reason[:MAX_REASON_LENGTH])
            case RegistryFull():
                return error_reply(503, "too many backends call here", REGISTRY_FULL_RETRY_S)
            case CallAccepted(version) if version and not self._is_durable(version):
                self._drain_service.start_pending_write()
                if not self._holds_lease():
                    return error_reply(503, "cut off from a majority: call another", NO_LEASE_RETRY_S)
                if not await self._drain_service.wait_until(
                    lambda: self._is_durable(version), DRAIN_ACK_TIMEOUT_S
                ):
                    return error_reply(503, "it is on too few disks yet", NOT_DURABLE_RETRY_S)
        return None

    def _log_first_acknowledgement(self, backend_id: str) -> None:
        if backend_id not in self._acknowledged_drains:
            registered = self._heartbeats.registrations
            self._acknowledged_drains = {
                known_id for known_id in self._acknowledged_drains if known_id in registered
            }
            self._acknowledged_drains.add(backend_id)
            log.info("drain_acknowledged", backend=backend_id)

    def _redirect_body(self, now: int, backend_id: str) -> bytes:
        # Prevents redirects to nodes that may be partitioned together with this one.
        if not self._holds_lease():
            return EMPTY_REPLY
        addresses = self._api_addresses_in_zone_of(backend_id)
        address = self._zone_redirects.choose(now, backend_id, addresses)
        body = json.dumps({"beatUrl": address}).encode() if address else EMPTY_REPLY
        return body if len(body) <= MAX_ACK_BYTES else EMPTY_REPLY
