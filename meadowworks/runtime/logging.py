"""The structured log: one line per event on standard error, as text or JSON.

A text line contains the UTC time, the monotonic time in seconds, the level, the node, the component, the
event name and its fields:

    2026-12-02T10:56:09.123Z +12.345 INFO node=edge-1 component=proxy event=config_in_force version=0000000c

UTC times relate the lines of different machines. Since the wall clock may be adjusted, the monotonic time
gives the order of the lines of one process. In the JSON format each line is a serialized loguru record with
the fields in `record.extra`.
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
# The limit for each call site. Prevents peers or clients from flooding the log.
MAX_LINES_PER_MINUTE = 20
SECONDS_PER_MINUTE = 60
# The fields before the event, in output order.
LEADING_FIELDS = ("node", "component")
RENDERED_FIELD = "rendered"  # holds the text line for the output format
MONOTONIC_TIME_FIELD = "steady_s"
QUOTED_CHARACTERS = frozenset(' ="\n\r\t')  # a value that contains one of these is quoted


class LogFormat(Enum):
    """The format of log lines. The values are the names in settings and in the environment."""

    TEXT = "text"
    JSON = "json"


class _RateLimit:
    """A filter that passes at most `MAX_LINES_PER_MINUTE` lines of each call site."""

    def __init__(self) -> None:
        self._minute = 0
        # Number of lines in the current minute by call site (module and line number).
        self._line_counts: dict[tuple[str | None, int], int] = {}

    def __call__(self, record: Record) -> bool:
        minute = int(time.monotonic()) // SECONDS_PER_MINUTE
        if minute != self._minute:
            self._minute = minute
            self._line_counts.clear()
        call_site = record["name"], record["line"]
        self._line_counts[call_site] = self._line_counts.get(call_site, 0) + 1
        return self._line_counts[call_site] <= MAX_LINES_PER_MINUTE


def get_logger(component: str) -> Logger:
    """Return a logger for a component.

    Calls take an event name and fields: `log.info("config_in_force", version="0000000c")`.
    """
    return logger.bind(component=component)


def configure(log_format: LogFormat = LogFormat.TEXT, node: str = "") -> None:
    """Write log lines of level INFO and above to standard error.

    :param node: the node name in each line; empty before the settings are loaded.
    """
    logger.remove()
    logger.configure(extra={"node": node, "component": "main"}, patcher=_add_monotonic_time)
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


def _add_monotonic_time(record: Record) -> None:
    record["extra"][MONOTONIC_TIME_FIELD] = round(time.monotonic(), 3)


def _text_format(record: Record) -> str:
    """Store the rendered line in the record, and return the format string that outputs it."""
    record["extra"][RENDERED_FIELD] = render_text(record)
    return "{extra[" + RENDERED_FIELD + "]}\n{exception}"


def render_text(record: Record) -> str:
    """Return the text line for an event."""
    extra: Mapping[str, Any] = record["extra"]
    timestamp = record["time"].astimezone(UTC)
    fields = {name: extra[name] for name in LEADING_FIELDS if extra.get(name)}
    fields["event"] = record["message"]
    reserved_fields = {*LEADING_FIELDS, MONOTONIC_TIME_FIELD, RENDERED_FIELD}
    fields |= {name: value for name, value in extra.items() if name not in reserved_fields}
    time_of_day = f"{timestamp:%Y-%m-%dT%H:%M:%S}.{timestamp.microsecond // 1000:03d}Z"
    pairs = " ".join(f"{name}={render_value(value)}" for name, value in fields.items())
    return f"{time_of_day} +{extra[MONOTONIC_TIME_FIELD]:.3f} {record['level'].name} {pairs}"


def render_value(value: Any) -> str:
    """Return a field's value as plain text if that is unambiguous, otherwise as JSON."""
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, Mapping | list | tuple):
        return json.dumps(value, default=str, separators=(",", ":"))
    text = str(value)
    is_bare = text != "" and not QUOTED_CHARACTERS & set(text)
    return text if is_bare else json.dumps(text, ensure_ascii=False)
