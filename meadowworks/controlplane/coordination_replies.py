"""Replies of the API that the resources for locks, numbers, keys and watches have in common."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any, Protocol

from meadowworks.controlplane.api import ApiReply, ApiRequest, Handler, error_reply
from meadowworks.controlplane.coordination_schema import InvalidCallError
from meadowworks.controlplane.coordination_service import Unavailable
from meadowworks.coordination.commands import Command
from meadowworks.coordination.results import Result, TooManyNames

RETRY_AFTER_S = 0.5  # callers try another node first
MAX_REASON_LENGTH = 200  # characters; the reason may include input from the caller
NOT_EXECUTED_REASON = "no leader answers: nothing was done"
OVERLOADED_REASON = "too many calls wait: nothing was done"
LIMIT_REASON = "there are too many names or events"
IN_DOUBT_REASON = "it may or may not have taken effect"


class CommandService(Protocol):
    """The part of `CoordinationService` that commits commands."""

    async def submit(self, command: Command) -> Result | Unavailable:
        """Commit a command and return its result."""


def json_reply(status: int, document: dict[str, Any]) -> ApiReply:
    """Return a reply with a JSON object."""
    return ApiReply(status, json.dumps(document).encode())


def failure_reply(failure: Result | Unavailable) -> ApiReply:
    """Return the reply to a failed call; 429 and 503 promise that nothing was or will be done."""
    if isinstance(failure, TooManyNames):
        return error_reply(500, LIMIT_REASON)
    assert isinstance(failure, Unavailable), f"unexpected result {failure!r}"
    if not failure.is_certain:
        return error_reply(500, IN_DOUBT_REASON)
    if failure.overloaded:
        return error_reply(429, OVERLOADED_REASON, RETRY_AFTER_S)
    return error_reply(503, NOT_EXECUTED_REASON, RETRY_AFTER_S)


def rejects_invalid_calls(handler: Callable[[ApiRequest], Awaitable[ApiReply]]) -> Handler:
    """Return a handler that answers 400 when the given one raises `InvalidCallError`."""

    @wraps(handler)
    async def checked(request: ApiRequest) -> ApiReply:
        try:
            return await handler(request)
        except InvalidCallError as error:
            return error_reply(400, str(error)[:MAX_REASON_LENGTH])

    return checked
