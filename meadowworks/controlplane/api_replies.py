"""The count of API replies, and the log of calls that no resource serves."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import NS_PER_SECOND, now_ns

UNKNOWN_ACTION = "unknown"  # one label for all calls without a resource, which keeps the labels bounded
UNKNOWN_CALL_LOG_INTERVAL_NS = 10 * NS_PER_SECOND
MAX_LOGGED_PATH_LENGTH = 100  # characters; the path is input from the caller
log = logs.get_logger("api")


@dataclass(frozen=True, slots=True)
class ReplyKind:
    """What replies are counted by.

    :ivar action: the `Resource.Action` of the call, or `UNKNOWN_ACTION`.
    :ivar status: HTTP status code of the reply.
    """

    action: str
    status: int


class ApiReplyCounter:
    """Counts the replies since the process started."""

    def __init__(self) -> None:
        self.counts: Counter[ReplyKind] = Counter()

    def increment(self, action: str, status: int) -> None:
        """Count one reply."""
        self.counts[ReplyKind(action, status)] += 1


class UnknownCallLog:
    """Logs calls without a resource, at most one per `UNKNOWN_CALL_LOG_INTERVAL_NS`."""

    def __init__(self) -> None:
        self._logged_ns: int | None = None

    def on_unknown_call(self, method: str, path: str) -> None:
        """Log a call, unless another has been logged lately."""
        now = now_ns()
        if self._logged_ns is not None and now - self._logged_ns < UNKNOWN_CALL_LOG_INTERVAL_NS:
            return
        self._logged_ns = now
        log.warning("unknown_api_call", method=method, path=path[:MAX_LOGGED_PATH_LENGTH])
