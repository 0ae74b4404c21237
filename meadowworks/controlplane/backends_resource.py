"""The API's `Backends` resource: backends send heartbeats, announce drains and leave."""

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

DRAIN_ACK_TIMEOUT_S = 0.7  # below the second after which a backend sends its next heartbeat
MAX_ACK_BYTES = 4096  # backends take a larger acknowledgement for none
MAX_REASON_LENGTH = 200  # characters: part of a caller's input may be in it
NO_LEASE_RETRY_S = 0.5  # the caller tries another node first
NOT_DURABLE_RETRY_S = 0.2  # a few pulls of another node, which carry its acknowledgement
REGISTRY_FULL_RETRY_S = 1.0  # registrations that fall silent make room within seconds
EMPTY_REPLY = b"{}"
log = logs.get_logger("api")


class BackendsResource:
    """Handlers of the `Backends` calls.

    :param heartbeats: takes the calls in.
    :param drain_service: waits until a drain is durable.
    :param is_durable: whether an update of this node is on so many disks that the loss of the tolerated
        number of them leaves one. Only then is a drain or a departure acknowledged.
    :param api_addresses_in_zone_of: API addresses of nodes in a backend's zone if this node is in another
        zone: heartbeats between zones cost traffic.
    :param holds_lease: whether this node is in touch with a majority.
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
        self._acknowledged_drains: set[str] = set()  # ids whose drain was logged, so that it is logged once

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {
            ApiRoute("POST", "Backends.Heartbeat"): self.heartbeat,
            ApiRoute("POST", "Backends.Leave"): self.leave,
        }

    async def heartbeat(self, request: ApiRequest) -> ApiReply:
        """Take a heartbeat; one that says `draining` is acknowledged once the drain is durable."""
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
        """Take a departure, which is acknowledged once it is durable."""
        result = self._heartbeats.leave(now_ns(), request.resource_id)
        return await self._refusal_unless_durable(result) or ApiReply(200)

    async def _refusal_unless_durable(
        self, result: CallAccepted | InvalidCall | RegistryFull
    ) -> ApiReply | None:
        """Return why a call is not acknowledged; None if it may be."""
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
            self._acknowledged_drains = {one for one in self._acknowledged_drains if one in registered}
            self._acknowledged_drains.add(backend_id)
            log.info("drain_acknowledged", backend=backend_id)

    def _redirect_body(self, now: int, backend_id: str) -> bytes:
        # A node without a lease may be cut off, and with it the nodes that it would send backends to.
        if not self._holds_lease():
            return EMPTY_REPLY
        addresses = self._api_addresses_in_zone_of(backend_id)
        address = self._zone_redirects.choose(now, backend_id, addresses)
        body = json.dumps({"beatUrl": address}).encode() if address else EMPTY_REPLY
        return body if len(body) <= MAX_ACK_BYTES else EMPTY_REPLY
