"""The log: one line an event on standard error, with its time, its level and the component it comes from."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Record

# Lines of one call site a minute: guards against a flood that peers or clients can set off from outside.
MAX_LINES_PER_MINUTE = 20
LINE_FORMAT = "{elapsed} {level.name} {extra[part]}: {message}"


class _RateLimit:
    """Passes at most `MAX_LINES_PER_MINUTE` lines of each call site."""

    def __init__(self) -> None:
        self._minute = 0
        self._lines: dict[tuple[str | None, int], int] = {}  # of this minute, by module and line number

    def __call__(self, record: Record) -> bool:
        minute = int(record["elapsed"].total_seconds()) // 60
        if minute != self._minute:
            self._minute = minute
            self._lines.clear()
        call_site = record["name"], record["line"]
        self._lines[call_site] = self._lines.get(call_site, 0) + 1
        return self._lines[call_site] <= MAX_LINES_PER_MINUTE


def get_logger(component: str) -> Logger:
    """Return a logger whose lines name the component."""
    return logger.bind(part=component)


def configure() -> None:
    """Send the log to standard error, from level INFO up."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        sys.stderr,
        format=LINE_FORMAT,
        level="INFO",
        backtrace=False,
        diagnose=False,
        colorize=False,
        filter=_RateLimit(),
    )
