"""The API's `Config` resource: the operator replaces the configuration and reads it back."""

from __future__ import annotations

import asyncio

from meadowworks.config.validation import InvalidConfiguration, validation_steps
from meadowworks.consensus.effects import Conflict, Undecided
from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes, error_reply
from meadowworks.controlplane.config_service import ConfigService
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import NS_PER_SECOND, now_ns
from meadowworks.runtime.cooperative import run_cooperatively

COMMIT_TIMEOUT_NS = 800_000_000  # two rounds, each with a sync on a majority of disks, and some retries
COMMIT_TIMEOUT_PER_BYTE_NS = 100  # on top: the value is compressed, sent, and written twice on a disk
READ_TIMEOUT_NS = 800_000_000  # as for a commit
LARGE_CONFIG_BYTES = 1 << 18  # a larger one is validated alone: that takes four times its size in memory
MAX_FIELDS_LOGGED = 20
NO_LEASE_RETRY_S = 1.0  # a lease is renewed by pulls, several a second
log = logs.get_logger("api")


class ConfigResource:
    """Handlers of the `Config` calls.

    A node without a lease answers 503 at once with a time to retry, and keeps no caller waiting.
    """

    def __init__(self, config_service: ConfigService) -> None:
        self._config_service = config_service
        self._validation_lock = asyncio.Lock()  # of large configurations

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {
            ApiRoute("POST", "Config.Replace"): self.replace,
            ApiRoute("GET", "Config.Read"): self.read,
        }

    async def replace(self, request: ApiRequest) -> ApiReply:
        """Put a configuration into force; it is, on a majority of disks, once the reply is 200."""
        body = request.body
        if not self._config_service.replica.holds_lease(now_ns()):
            return error_reply(503, "no majority of disks is in touch", NO_LEASE_RETRY_S)
        lock = self._validation_lock if len(body) > LARGE_CONFIG_BYTES else None
        checked = await run_cooperatively(validation_steps(body), lock)
        if isinstance(checked, InvalidConfiguration):
            log.info("config_rejected", reason=checked.reason)
            return error_reply(400, checked.reason)
        if checked.unknown_fields:
            log.warning(
                "config_fields_unknown",
                version=f"{checked.version:08x}",
                fields=list(checked.unknown_fields[:MAX_FIELDS_LOGGED]),
            )
        timeout_ns = COMMIT_TIMEOUT_NS + COMMIT_TIMEOUT_PER_BYTE_NS * len(body)
        match await self._config_service.propose(checked.version, body, timeout_ns):
            case Conflict():
                return error_reply(409, f"version {checked.version:08x} has another content")
            case Undecided(retry_after_ns):
                return error_reply(503, "too few disks answer", retry_after_ns / NS_PER_SECOND)
        return ApiReply(200)

    async def read(self, _request: ApiRequest) -> ApiReply:
        """Return the newest acknowledged configuration, byte for byte as it was sent."""
        found = await self._config_service.read(READ_TIMEOUT_NS)
        if isinstance(found, Undecided):
            return error_reply(503, "too few disks answer", found.retry_after_ns / NS_PER_SECOND)
        if not found.version:
            return error_reply(404, "no configuration has been taken yet")
        return ApiReply(200, found.value)
