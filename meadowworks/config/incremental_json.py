"""JSON read in steps, so that whoever drives them may do other work between two. No I/O, no clock.

The value is the one that `json.loads` makes of the same bytes. What ends within a window is read by the
library in one go; a longer list or table is walked element by element.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any, TypeVar

WINDOW_CHARS = 4096  # characters that are read in one go
VALUES_PER_STEP = 16  # parts between two steps
MAX_DEPTH = 900  # of lists and tables in each other; `json.loads` ends near 1,000
T = TypeVar("T")
Steps = Generator[None, None, T]

scan_value: Callable[[str, int], tuple[Any, int]] = json.JSONDecoder().scan_once  # type: ignore[attr-defined]
match_whitespace = re.compile(r"[ \t\n\r]*").match


@dataclass(slots=True)
class OpenContainer:
    """A list or table that is being walked; `key` is where in a table the next value goes."""

    container: Any
    closing: str
    key: str | None
    transform: Callable[[Any], Any] | None


def run_to_completion(steps: Steps[T]) -> T:
    """The outcome of all steps, one after the other."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value  # type: ignore[no-any-return]


def parse_steps(
    body: bytes, path: tuple[str | None, ...] = (), transform: Callable[[Any], Any] | None = None
) -> Steps[Any]:
    """The value of a JSON text. Raises ValueError, or RecursionError where it is too deep.

    Elements of a list that is walked at `path` (keys from the outermost in, None for a place in a list) are
    passed through `leaf`; those of one that fits a window are not, and remain as they are."""
    text = body.decode(json.detect_encoding(body), "surrogatepass")
    at, parts = skip_whitespace(text, 0), 0
    frames: list[OpenContainer] = []
    while True:
        found = read_within_window(text, at)
        if found is None:
            if len(frames) >= MAX_DEPTH:
                raise RecursionError("too deep")
            table = text[at] == "{"
            passed = transform if not table and path and tuple(f.key for f in frames) == path else None
            frame = OpenContainer({} if table else [], "}" if table else "]", None, passed)
            at = skip_whitespace(text, at + 1)
            if text[at : at + 1] != frame.closing:
                if table:
                    frame.key, at = read_key(text, at)
                frames.append(frame)
                continue
            found = frame.container, at + 1
        value, at = found
        while frames:  # the value goes where it belongs, and with it each list or table that it ends
            frame = frames[-1]
            if frame.key is not None:
                frame.container[frame.key] = value
            else:
                frame.container.append(value if frame.transform is None else frame.transform(value))
            at = skip_whitespace(text, at)
            mark = text[at : at + 1]
            if mark == ",":
                at = skip_whitespace(text, at + 1)
                if frame.key is not None:
                    frame.key, at = read_key(text, at)
                break
            if mark != frame.closing:
                raise ValueError("neither a comma nor an end")
            value, at = frames.pop().container, at + 1
        else:
            if skip_whitespace(text, at) != len(text):
                raise ValueError("more behind its end")
            return value
        parts += 1
        if parts % VALUES_PER_STEP == 0:
            yield


def skip_whitespace(text: str, at: int) -> int:
    return match_whitespace(text, at).end() if text[at : at + 1] in (" ", "\t", "\n", "\r") else at  # type: ignore[union-attr]


def read_key(text: str, at: int) -> tuple[str, int]:
    """A table's key, and where its value begins."""
    if text[at : at + 1] != '"':
        raise ValueError("a key is no string")
    key, at = scan_value(text, at)
    at = skip_whitespace(text, at)
    if text[at : at + 1] != ":":
        raise ValueError("a key without a value")
    return key, skip_whitespace(text, at + 1)


def read_within_window(text: str, at: int) -> tuple[Any, int] | None:
    """The value at a place and where it ends; None for a list or table that ends beyond the window."""
    try:
        if text[at : at + 1] not in ("{", "["):
            return scan_value(text, at)  # a window could cut a number short
        window = text[at : at + WINDOW_CHARS]
        value, end = scan_value(window, 0)
        return value, at + end
    except StopIteration:
        trouble = "no value"
    except ValueError as found:
        trouble = str(found)
    if text[at : at + 1] in ("{", "[") and at + WINDOW_CHARS < len(text):
        return None
    raise ValueError(trouble)
