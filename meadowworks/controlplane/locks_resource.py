"""The `Locks` resource of the API: grants, renewals and releases of locks."""

from __future__ import annotations

from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes
from meadowworks.controlplane.coordination_replies import (
    CommandService,
    failure_reply,
    json_reply,
    rejects_invalid_calls,
)
from meadowworks.controlplane.coordination_schema import (
    parse_lock_release,
    parse_lock_renewal,
    parse_lock_request,
    parse_name,
)
from meadowworks.coordination.commands import AcquireLock, ReleaseLock, RenewLock
from meadowworks.coordination.results import (
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    LockRenewed,
)


class LocksResource:
    """Handlers of the `Locks` requests."""

    def __init__(self, service: CommandService) -> None:
        self._service = service

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {
            ApiRoute("POST", "Locks.Start"): rejects_invalid_calls(self.start),
            ApiRoute("POST", "Locks.Heartbeat"): rejects_invalid_calls(self.heartbeat),
            ApiRoute("POST", "Locks.Stop"): rejects_invalid_calls(self.stop),
        }

    async def start(self, request: ApiRequest) -> ApiReply:
        """Acquire a lock, or extend the hold of the same owner."""
        name, document = parse_name(request.resource_id), parse_lock_request(request.body)
        match await self._service.submit(AcquireLock(name, document.owner, document.hold_ms)):
            case LockGranted(fence):
                return json_reply(200, {"fence": fence})
            case LockRefused():
                return ApiReply(409)
            case failure:
                return failure_reply(failure)

    async def heartbeat(self, request: ApiRequest) -> ApiReply:
        """Extend a hold."""
        name, document = parse_name(request.resource_id), parse_lock_renewal(request.body)
        command = RenewLock(name, document.owner, document.fence, document.hold_ms)
        match await self._service.submit(command):
            case LockRenewed():
                return ApiReply(200)
            case LockLost():
                return ApiReply(409)
            case failure:
                return failure_reply(failure)

    async def stop(self, request: ApiRequest) -> ApiReply:
        """Release a lock; the reply is 200 whether it was held or not."""
        name, document = parse_name(request.resource_id), parse_lock_release(request.body)
        match await self._service.submit(ReleaseLock(name, document.owner, document.fence)):
            case LockReleased():
                return ApiReply(200)
            case failure:
                return failure_reply(failure)
