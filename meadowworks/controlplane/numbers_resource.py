"""The `numbers` resource of the API, which issues rising numbers."""

from __future__ import annotations

from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes
from meadowworks.controlplane.coordination_replies import (
    CommandService,
    failure_reply,
    json_reply,
    rejects_invalid_calls,
)
from meadowworks.controlplane.coordination_schema import check_empty_document, parse_name
from meadowworks.coordination.commands import IssueNumber
from meadowworks.coordination.results import NumberIssued


class NumbersResource:
    """The handler of the `numbers` requests."""

    def __init__(self, service: CommandService) -> None:
        self._service = service

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {ApiRoute("POST", "numbers"): rejects_invalid_calls(self.issue)}

    async def issue(self, request: ApiRequest) -> ApiReply:
        """Issue a number that exceeds all earlier ones of this name."""
        name = parse_name(request.resource_id)
        check_empty_document(request.body)
        match await self._service.submit(IssueNumber(name)):
            case NumberIssued(value):
                return json_reply(200, {"value": value})
            case failure:
                return failure_reply(failure)
