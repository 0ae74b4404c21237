"""The structured log: one line an event on standard error, as text or as JSON.

A line of text has the time of day (UTC), the steady time of the process in seconds, level, node, component,
the name of the event and its fields:

    2026-12-02T10:56:09.123Z +12.345 INFO node=edge-1 component=proxy event=config_in_force version=0000000c

The time of day puts lines of several machines side by side; it may step, and then the steady time tells the
order of one process's lines. As JSON each line is the object that loguru's own sink writes: `record.extra`
has the fields.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping
from datetime import UTC
from enum import Enum
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Record

LOG_FORMAT_VARIABLE = "MEADOWWORKS_LOG_FORMAT"
# Lines of one call site a minute: guards against a flood that peers or clients can set off from outside.
MAX_LINES_PER_MINUTE = 20
SECONDS_PER_MINUTE = 60
# Fields of each line that stand before the event, in the order of the line.
LEADING_FIELDS = ("node", "component")
RENDERED_FIELD = "rendered"  # where the line of text is kept for the format that writes it
STEADY_FIELD = "steady_s"
BARE_VALUE_EXCLUDES = frozenset(' ="\n\r\t')  # a value with one of these is quoted


class LogFormat(Enum):
    """How lines are written."""

    TEXT = "text"
    JSON = "json"


class _RateLimit:
    """Passes at most `MAX_LINES_PER_MINUTE` lines of each call site."""

    def __init__(self) -> None:
        self._minute = 0
        self._lines: dict[tuple[str | None, int], int] = {}  # of this minute, by module and line number

    def __call__(self, record: Record) -> bool:
        minute = int(time.monotonic()) // SECONDS_PER_MINUTE
        if minute != self._minute:
            self._minute = minute
            self._lines.clear()
        call_site = record["name"], record["line"]
        self._lines[call_site] = self._lines.get(call_site, 0) + 1
        return self._lines[call_site] <= MAX_LINES_PER_MINUTE


def get_logger(component: str) -> Logger:
    """Return a logger whose lines name the component.

    Its calls take the name of an event and its fields: `log.info("config_in_force", version="0000000c")`.
    """
    return logger.bind(component=component)


def configure(log_format: LogFormat = LogFormat.TEXT, node: str = "") -> None:
    """Send the log to standard error, from level INFO up.

    :param node: which each line names; empty as long as it is not known
    """
    logger.remove()
    logger.configure(extra={"node": node, "component": "main"}, patcher=_add_steady_time)
    is_json = log_format is LogFormat.JSON
    logger.add(
        sys.stderr,
        format="{message}" if is_json else _text_format,
        serialize=is_json,
        level="INFO",
        backtrace=False,
        diagnose=False,
        colorize=False,
        filter=_RateLimit(),
    )


def _add_steady_time(record: Record) -> None:
    record["extra"][STEADY_FIELD] = round(time.monotonic(), 3)


def _text_format(record: Record) -> str:
    """Render a line into the record, and return the format that writes it."""
    record["extra"][RENDERED_FIELD] = render_text(record)
    return "{extra[" + RENDERED_FIELD + "]}\n{exception}"


def render_text(record: Record) -> str:
    """The line of an event."""
    extra: Mapping[str, Any] = record["extra"]
    moment = record["time"].astimezone(UTC)
    fields = {name: extra[name] for name in LEADING_FIELDS if extra.get(name)}
    fields["event"] = record["message"]
    known = {*LEADING_FIELDS, STEADY_FIELD, RENDERED_FIELD}
    fields |= {name: value for name, value in extra.items() if name not in known}
    time_of_day = f"{moment:%Y-%m-%dT%H:%M:%S}.{moment.microsecond // 1000:03d}Z"
    pairs = " ".join(f"{name}={render_value(value)}" for name, value in fields.items())
    return f"{time_of_day} +{extra[STEADY_FIELD]:.3f} {record['level'].name} {pairs}"


def render_value(value: Any) -> str:
    """A field's value: bare where that is unambiguous, else as JSON."""
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, Mapping | list | tuple):
        return json.dumps(value, default=str, separators=(",", ":"))
    text = str(value)
    is_bare = text != "" and not BARE_VALUE_EXCLUDES & set(text)
    return text if is_bare else json.dumps(text, ensure_ascii=False)
