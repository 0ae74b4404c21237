"""The `watch` resource of the API, which returns the puts of a group of keys."""

from __future__ import annotations

from typing import Protocol

from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes, error_reply
from meadowworks.controlplane.coordination_replies import failure_reply, json_reply, rejects_invalid_calls
from meadowworks.controlplane.coordination_schema import parse_name, parse_watch_query
from meadowworks.controlplane.coordination_service import Unavailable
from meadowworks.coordination.results import CellEvent, GroupEvents, HistoryDiscarded


class Watcher(Protocol):
    """The part of `WatchService` that this module uses."""

    async def watch(
        self, group: str, after: int, wait_ms: int
    ) -> GroupEvents | HistoryDiscarded | Unavailable:
        """Return the events of a group above a revision, as soon as there are any."""


class WatchResource:
    """The handler of the `watch` requests."""

    def __init__(self, watcher: Watcher) -> None:
        self._watcher = watcher

    def routes(self) -> ApiRoutes:
        """Return the handlers by route."""
        return {ApiRoute("GET", "watch"): rejects_invalid_calls(self.watch)}

    async def watch(self, request: ApiRequest) -> ApiReply:
        """Return the puts of a group above a revision, at the latest after the time that the caller named."""
        group, query = parse_name(request.resource_id), parse_watch_query(request.query)
        found = await self._watcher.watch(group, query.after, query.wait_ms)
        match found:
            case GroupEvents(events, revision):
                return json_reply(200, {"events": [event_document(e) for e in events], "revision": revision})
            case HistoryDiscarded():
                return error_reply(410, f"events above revision {query.after} are no longer kept")
            case Unavailable() as failure:
                return failure_reply(failure)


def event_document(event: CellEvent) -> dict[str, str | int]:
    """Return an event as a JSON object."""
    return {"name": event.name, "value": event.value, "revision": event.revision}
