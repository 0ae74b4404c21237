"""An incremental JSON parser: a large configuration is parsed in steps and does not block the event loop.

The result equals that of `json.loads` for the same bytes. `json` parses every value that ends within a window
of `WINDOW_CHARS`; longer arrays and objects are parsed element by element. No I/O, no clock.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

from meadowworks.runtime.steps import Steps

WINDOW_CHARS = 4096  # characters that `json` parses at once: some ten microseconds
VALUES_PER_STEP = 16  # values parsed in one step: some hundred microseconds
MAX_DEPTH = 900  # levels of nested arrays and objects; `json.loads` fails near 1,000

JsonValue: TypeAlias = Any  # a value returned by `json.loads`
Transform: TypeAlias = Callable[[JsonValue], Any]
JsonPath: TypeAlias = tuple[str | None, ...]

_scan_value: Callable[[str, int], tuple[JsonValue, int]] = json.JSONDecoder().scan_once  # type: ignore[attr-defined]
_match_whitespace = re.compile(r"[ \t\n\r]*").match


def parse_json_steps(
    body: bytes, path: JsonPath = (), transform: Transform | None = None
) -> Steps[JsonValue]:
    """Parse a JSON document.

    :param path: path of the arrays whose elements are transformed: object keys from the root down, None for
        an array element.
    :param transform: applied to the elements of an array at `path` that is longer than a window. The elements
        of an array that fits into a window are not transformed.
    :raises ValueError: if the document is not valid JSON.
    :raises RecursionError: if it is nested too deeply.
    """
    text = body.decode(json.detect_encoding(body), "surrogatepass")
    return (yield from _Parser(text, path, transform).steps())


@dataclass(slots=True)
class _OpenContainer:
    """An array or object that is parsed element by element.

    :ivar closing: the closing bracket.
    :ivar key: the key of the next value of an object; None in an array.
    :ivar transform: applied to the elements of an array.
    """

    container: Any
    closing: str
    key: str | None
    transform: Transform | None

    def add(self, value: JsonValue) -> None:
        """Add a value under the current key, or append it to the array."""
        if self.key is not None:
            self.container[self.key] = value
        else:
            self.container.append(value if self.transform is None else self.transform(value))


class _Parser:
    """A parser of one document.

    `_position` is the start of the next token, `_value` the last complete value.
    """

    def __init__(self, text: str, path: JsonPath, transform: Transform | None) -> None:
        self._text = text
        self._path = path
        self._transform = transform
        self._position = 0
        self._value: JsonValue = None
        self._open: list[_OpenContainer] = []  # outermost first

    def steps(self) -> Steps[JsonValue]:
        """Parse the whole document."""
        self._skip_whitespace()
        values = 0
        while True:
            if not self._read_value():
                continue
            if self._place_value():
                return self._value
            values += 1
            if values % VALUES_PER_STEP == 0:
                yield

    def _read_value(self) -> bool:
        """Read a value, or the start of an array or object that ends beyond the window.

        :returns: whether the value is complete.
        """
        parsed = _read_within_window(self._text, self._position)
        if parsed is not None:
            self._value, self._position = parsed
            return True
        container = self._open_container()
        self._skip_whitespace()
        if self._next_character() == container.closing:
            self._position += 1
            self._value = container.container
            return True
        if container.closing == "}":
            container.key = self._read_key()
        self._open.append(container)
        return False

    def _open_container(self) -> _OpenContainer:
        """Start parsing an array or object element by element.

        :raises RecursionError: if it is nested too deeply.
        """
        if len(self._open) >= MAX_DEPTH:
            raise RecursionError(f"arrays and objects are nested more than {MAX_DEPTH} levels deep")
        is_object = self._text[self._position] == "{"
        self._position += 1
        if is_object:
            return _OpenContainer({}, "}", None, None)
        at_path = bool(self._path) and tuple(container.key for container in self._open) == self._path
        return _OpenContainer([], "]", None, self._transform if at_path else None)

    def _place_value(self) -> bool:
        """Add the value to the innermost open container, and close each container that ends with it.

        :returns: whether the document is complete; `_value` is then the value of the document.
        :raises ValueError: if neither a comma nor a closing bracket follows the value.
        """
        while self._open:
            innermost = self._open[-1]
            innermost.add(self._value)
            self._skip_whitespace()
            character = self._next_character()
            if character == ",":
                self._position += 1
                self._skip_whitespace()
                if innermost.key is not None:
                    innermost.key = self._read_key()
                return False
            if character != innermost.closing:
                raise ValueError(f"expected ',' or {innermost.closing!r} after a value")
            self._position += 1
            self._value = self._open.pop().container
        self._skip_whitespace()
        if self._position != len(self._text):
            raise ValueError("unexpected data after the value")
        return True

    def _read_key(self) -> str:
        """Read an object's key and the colon after it.

        :raises ValueError: if either is missing.
        """
        if self._next_character() != '"':
            raise ValueError("expected a string as key")
        key, self._position = _scan_value(self._text, self._position)
        self._skip_whitespace()
        if self._next_character() != ":":
            raise ValueError("expected ':' after a key")
        self._position += 1
        self._skip_whitespace()
        return str(key)

    def _next_character(self) -> str:
        """Return the character at the position; empty at the end of the text."""
        return self._text[self._position : self._position + 1]

    def _skip_whitespace(self) -> None:
        if self._next_character() in (" ", "\t", "\n", "\r"):
            match = _match_whitespace(self._text, self._position)
            assert match is not None  # the pattern matches the empty string, too
            self._position = match.end()


def _read_within_window(text: str, position: int) -> tuple[JsonValue, int] | None:
    """Parse a value with `json`, arrays and objects only up to the end of the window.

    :returns: the value and its end position; None for an array or object that ends beyond the window.
    :raises ValueError: if there is no valid value at the position.
    """
    is_container = text[position : position + 1] in ("{", "[")
    try:
        if not is_container:
            return _scan_value(text, position)  # a window could truncate a number
        value, end = _scan_value(text[position : position + WINDOW_CHARS], 0)
        return value, position + end
    except StopIteration:
        message = "expected a value"
    except ValueError as error:
        message = str(error)
    if is_container and position + WINDOW_CHARS < len(text):
        return None
    raise ValueError(message)
