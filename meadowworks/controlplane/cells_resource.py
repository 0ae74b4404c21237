"""The `Cells` resource of the API, which writes and reads versioned keys."""

from __future__ import annotations

from typing import Protocol

from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes
from meadowworks.controlplane.coordination_replies import (
    CommandService,
    failure_reply,
    json_reply,
    rejects_invalid_calls,
)
from meadowworks.controlplane.coordination_schema import parse_cell_replacement, parse_name
from meadowworks.controlplane.coordination_service import Unavailable
from meadowworks.coordination.commands import PutCell
from meadowworks.coordination.results import Cell, CellWritten, RevisionMismatch


class CellService(CommandService, Protocol):
    """The part of `CoordinationService` that this module uses."""

    async def read_cell(self, name: str) -> Cell | None | Unavailable:
        """Return a key's newest content, None if it does not exist."""


class CellsResource:
    """Handlers of the `Cells` requests."""

    def __init__(self, service: CellService) -> None:
        self._service = service

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {
            ApiRoute("POST", "Cells.Replace"): rejects_invalid_calls(self.replace),
            ApiRoute("GET", "Cells.Read"): rejects_invalid_calls(self.read),
        }

    async def replace(self, request: ApiRequest) -> ApiReply:
        """Write a key, if it has the expected revision."""
        name, document = parse_name(request.resource_id), parse_cell_replacement(request.body)
        match await self._service.submit(PutCell(name, document.value, document.expected_revision)):
            case CellWritten(revision):
                return json_reply(200, {"revision": revision})
            case RevisionMismatch(revision):
                return json_reply(412, {"revision": revision})
            case failure:
                return failure_reply(failure)

    async def read(self, request: ApiRequest) -> ApiReply:
        """Return the newest acknowledged value of a key."""
        cell = await self._service.read_cell(parse_name(request.resource_id))
        match cell:
            case None:
                return ApiReply(404)
            case Cell(value, revision):
                return json_reply(200, {"value": value, "revision": revision})
            case Unavailable() as failure:
                return failure_reply(failure)
