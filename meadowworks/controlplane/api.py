"""The requests and replies of the API that backends and operators call."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """A call to `/api/Resource.Action/resource_id`; the id is empty if the path has none."""

    resource_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ApiReply:
    """What a call is answered with.

    :param status: HTTP status.
    :param body: a JSON document.
    :param retry_after_s: value of the `Retry-After` header; 0 for none.
    """

    status: int
    body: bytes = b"{}"
    retry_after_s: float = 0.0


class ApiRoute(NamedTuple):
    """What a call is looked up by: its HTTP method and `Resource.Action`."""

    method: str
    action: str


Handler = Callable[[ApiRequest], Awaitable[ApiReply]]
ApiRoutes = Mapping[ApiRoute, Handler]


def error_reply(status: int, reason: str, retry_after_s: float = 0.0) -> ApiReply:
    """Make the reply to a call that failed; `reason` is for the caller's log."""
    return ApiReply(status, json.dumps({"err": reason}).encode(), retry_after_s)
