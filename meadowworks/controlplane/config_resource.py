"""The `Config` resource of the API, which replaces and reads the configuration."""

from __future__ import annotations

import asyncio

from meadowworks.config.validation import InvalidConfiguration, validation_steps
from meadowworks.consensus.effects import Conflict, Undecided
from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes, error_reply
from meadowworks.controlplane.config_service import ConfigService
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import NS_PER_SECOND, now_ns
from meadowworks.runtime.cooperative import run_cooperatively

COMMIT_TIMEOUT_NS = 800_000_000  # two rounds with a disk sync on a majority each, and some retries
COMMIT_TIMEOUT_PER_BYTE_NS = 100  # added for compressing, sending, and writing the value twice per disk
READ_TIMEOUT_NS = 800_000_000  # as for a commit
LARGE_CONFIG_BYTES = 1 << 18  # larger ones are validated one at a time, which takes four times their size
MAX_FIELDS_LOGGED = 20
NO_LEASE_RETRY_S = 1.0  # pulls renew the lease several times a second
log = logs.get_logger("api")


class ConfigResource:
    """Handlers of the `Config` requests.

    A node without a lease replies at once with 503 and `Retry-After`.
    """

    def __init__(self, config_service: ConfigService) -> None:
        self._config_service = config_service
        self._validation_lock = asyncio.Lock()  # held while a large configuration is validated

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {
            ApiRoute("POST", "Config.Replace"): self.replace,
            ApiRoute("GET", "Config.Read"): self.read,
        }

    async def replace(self, request: ApiRequest) -> ApiReply:
        """Replace the configuration; a 200 means that it is committed on a majority of disks."""
        body = request.body
        if not self._config_service.replica.holds_lease(now_ns()):
            return error_reply(503, "no majority of disks is in touch", NO_LEASE_RETRY_S)
        lock = self._validation_lock if len(body) > LARGE_CONFIG_BYTES else None
        validated = await run_cooperatively(validation_steps(body), lock)
        if isinstance(validated, InvalidConfiguration):
            log.info("config_rejected", reason=validated.reason)
            return error_reply(400, validated.reason)
        if validated.unknown_fields:
            log.warning(
                "config_fields_unknown",
                version=f"{validated.version:08x}",
                fields=list(validated.unknown_fields[:MAX_FIELDS_LOGGED]),
            )
        timeout_ns = COMMIT_TIMEOUT_NS + COMMIT_TIMEOUT_PER_BYTE_NS * len(body)
        match await self._config_service.propose(validated.version, body, timeout_ns):
            case Conflict():
                return error_reply(409, f"version {validated.version:08x} has another content")
            case Undecided(retry_after_ns):
                return error_reply(503, "too few disks answer", retry_after_ns / NS_PER_SECOND)
        return ApiReply(200)

    async def read(self, _request: ApiRequest) -> ApiReply:
        """Return the newest acknowledged configuration, byte for byte as it was received."""
        outcome = await self._config_service.read(READ_TIMEOUT_NS)
        if isinstance(outcome, Undecided):
            return error_reply(503, "too few disks answer", outcome.retry_after_ns / NS_PER_SECOND)
        if not outcome.version:
            return error_reply(404, "no configuration has been taken yet")
        return ApiReply(200, outcome.value)
