"""The log: short sentences on standard error, each with the prefix of its part."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

MAX_LINES_PER_MINUTE = (
    20  # lines of one call site a minute: guards against a flood by what comes from outside
)


def get_logger(component: str) -> Logger:
    return logger.bind(part=component)


def configure() -> None:
    seen: dict[tuple[str | None, int], tuple[int, int]] = {}

    def calm(record: dict) -> bool:  # type: ignore[type-arg]
        minute = int(record["elapsed"].total_seconds()) // 60
        at = (record["name"], record["line"])
        when, count = seen.get(at, (minute, 0))
        count = count + 1 if when == minute else 1
        seen[at] = (minute, count)
        return count <= MAX_LINES_PER_MINUTE

    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        sys.stderr,
        format="{elapsed} {level.name} {extra[part]}: {message}",
        level="INFO",
        backtrace=False,
        diagnose=False,
        colorize=False,
        filter=calm,  # type: ignore[arg-type]
    )
