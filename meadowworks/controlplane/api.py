"""What backends and the operator call: one handler object a resource, each call an answer as a value."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.config.validation import InvalidConfiguration, validation_steps
from meadowworks.consensus.effects import Conflict, Undecided
from meadowworks.controlplane.config_service import ConfigService
from meadowworks.controlplane.drain_service import DrainService
from meadowworks.registry.heartbeats import (
    CallAccepted,
    HeartbeatRegistry,
    InvalidCall,
    RegistryFull,
    ZoneRedirects,
)
from meadowworks.runtime import logging as logs
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.process import now_ns

DRAIN_ACK_TIMEOUT_S = (
    0.7  # that a drain's acknowledgement waits for disks to hold it: a caller gives a beat a second
)
MAX_ACK_BYTES = 4096  # bytes of an acknowledgement: a larger one is none
NO_LEASE_RETRY_S = 0.5  # after which a caller may come back to a box that is cut off
COMMIT_TIMEOUT_NS, COMMIT_TIMEOUT_PER_BYTE_NS = (
    800_000_000,
    100,
)  # and so much more a byte: it is compressed, sent, and twice on a disk
READ_TIMEOUT_NS = 800_000_000
LARGE_CONFIG_BYTES = 1 << 18  # bytes of a configuration from which on one is checked at a time
log = logs.get_logger("ctl")


@dataclass(frozen=True, slots=True)
class ApiReply:
    status: int
    body: bytes = b"{}"
    retry_after_s: float = 0.0


def error_reply(status: int, reason: str, retry_after_s: float = 0.0) -> ApiReply:
    return ApiReply(status, json.dumps({"err": reason}).encode(), retry_after_s)


class BackendsResource:
    """Beats and leaves. `near` names addresses of signalboxes in a backend's own zone, if it is not this
    one's: beats between zones cost bytes. `kept` tells whether a version of the own news is on so many disks
    that the loss of those which may be lost leaves one; only then is a drain or a leave acknowledged. `sure`:
    this box has its lease."""

    def __init__(
        self,
        heartbeats: HeartbeatRegistry,
        drain_service: DrainService,
        is_durable: Callable[[int], bool],
        api_addresses_in_zone_of: Callable[[str], list[str]],
        holds_lease: Callable[[], bool],
    ) -> None:
        (
            self.heartbeats,
            self.drain_service,
            self.is_durable,
            self.api_addresses_in_zone_of,
            self.holds_lease,
        ) = heartbeats, drain_service, is_durable, api_addresses_in_zone_of, holds_lease
        self.zone_referrals = ZoneRedirects()
        self.acknowledged_drains: set[str] = set()  # lives whose drain was acknowledged here

    async def heartbeat(self, backend_id: str, body: bytes) -> ApiReply:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            return error_reply(400, "no JSON")
        now = now_ns()
        found = self.heartbeats.heartbeat(now, backend_id, document)
        if (refused := await self.refusal_unless_durable(found)) is not None:
            return refused
        if isinstance(found, CallAccepted) and found.version and backend_id not in self.acknowledged_drains:
            self.acknowledged_drains = {
                one for one in self.acknowledged_drains if one in self.heartbeats.registrations
            } | {backend_id}
            log.info("{} drains, and it is on enough disks", backend_id)
        self.zone_referrals.on_heartbeat(now, backend_id)
        # Guards against one that is cut off: where it sends callers may be as cut off as it is.
        at = (
            self.zone_referrals.choose(now, backend_id, self.api_addresses_in_zone_of(backend_id))
            if self.holds_lease()
            else None
        )
        answer = json.dumps({"beatUrl": at}).encode() if at else b"{}"
        return ApiReply(200, answer if len(answer) <= MAX_ACK_BYTES else b"{}")

    async def leave(self, backend_id: str, body: bytes) -> ApiReply:
        found = self.heartbeats.leave(now_ns(), backend_id)
        if found == CallAccepted(0) and not self.holds_lease():
            return error_reply(503, "cut off: what others know of it is not heard here", NO_LEASE_RETRY_S)
        return await self.refusal_unless_durable(found) or ApiReply(200)

    async def refusal_unless_durable(
        self, outcome: CallAccepted | InvalidCall | RegistryFull
    ) -> ApiReply | None:
        """Why a call is not acknowledged; nothing if it may be."""
        match outcome:
            case InvalidCall(why):
                return error_reply(400, why[:200])
            case RegistryFull():
                return error_reply(503, "too many backends call here", 1.0)
            case CallAccepted(version) if version and not self.is_durable(version):
                self.drain_service.start_pending_write()
                if not self.holds_lease():
                    return error_reply(503, "cut off from a majority: call another", NO_LEASE_RETRY_S)
                if not await self.drain_service.wait_until(
                    lambda: self.is_durable(version), DRAIN_ACK_TIMEOUT_S
                ):
                    return error_reply(503, "it is on too few disks yet", 0.2)
        return None


class ConfigResource:
    """The configuration: replaced by a higher version, read back as it was sent. Without a majority in touch
    it ends no call of an operator: 503 at once, with a time."""

    def __init__(self, config_service: ConfigService) -> None:
        self.config_service = config_service
        self.validation_lock = asyncio.Lock()  # of large ones one is checked at a time

    async def replace(self, ident: str, body: bytes) -> ApiReply:
        if not self.config_service.replica.holds_lease(now_ns()):
            return error_reply(503, "no majority of disks is in touch", 1.0)
        found = await run_cooperatively(
            validation_steps(body), self.validation_lock if len(body) > LARGE_CONFIG_BYTES else None
        )
        if isinstance(found, InvalidConfiguration):
            log.info("configuration refused: {}", found.reason)
            return error_reply(400, found.reason)
        match await self.config_service.propose(
            found.version, body, COMMIT_TIMEOUT_NS + COMMIT_TIMEOUT_PER_BYTE_NS * len(body)
        ):
            case Conflict():
                return error_reply(409, f"version {found.version:08x} has another content")
            case Undecided(back_ns):
                return error_reply(503, "too few disks answer", back_ns / 1e9)
        return ApiReply(200)

    async def read(self, ident: str, body: bytes) -> ApiReply:
        held = await self.config_service.read(READ_TIMEOUT_NS)
        if isinstance(held, Undecided):
            return error_reply(503, "too few disks answer", held.retry_after_ns / 1e9)
        if not held.version:
            return error_reply(404, "no configuration has been taken yet")
        return ApiReply(200, held.value)


def build_routes(backends: BackendsResource, config: ConfigResource) -> dict[tuple[str, str], Callable]:  # type: ignore[type-arg]
    return {
        ("POST", "Backends.Heartbeat"): backends.heartbeat,
        ("POST", "Backends.Leave"): backends.leave,
        ("POST", "Config.Replace"): config.replace,
        ("GET", "Config.Read"): config.read,
    }
