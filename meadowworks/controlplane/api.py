"""Requests, replies and routes of the API for backends and operators."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """A request to `/api/Resource.Action/resource_id?query`.

    :param resource_id: percent-decoded; empty if the path has none.
    :param query: as received; empty if there is none.
    """

    resource_id: str
    body: bytes
    query: bytes = b""


@dataclass(frozen=True, slots=True)
class ApiReply:
    """The reply to a request.

    :param status: HTTP status code.
    :param body: a JSON document.
    :param retry_after_s: value of the `Retry-After` header in seconds; 0 omits the header.
    """

    status: int
    body: bytes = b"{}"
    retry_after_s: float = 0.0


class ApiRoute(NamedTuple):
    """The HTTP method and the `Resource.Action` that identify a handler."""

    method: str
    action: str


Handler = Callable[[ApiRequest], Awaitable[ApiReply]]
ApiRoutes = Mapping[ApiRoute, Handler]


def error_reply(status: int, reason: str, retry_after_s: float = 0.0) -> ApiReply:
    """Return the reply to a failed request; the caller may log `reason`."""
    return ApiReply(status, json.dumps({"err": reason}).encode(), retry_after_s)
