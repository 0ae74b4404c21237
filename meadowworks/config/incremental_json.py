"""JSON read in steps, so that a large configuration does not hold the event loop. No I/O, no clock.

The value is the one that `json.loads` makes of the same bytes. What ends within a window is read by the
library at once; a longer array or object is walked element by element.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

from meadowworks.runtime.steps import Steps

WINDOW_CHARS = 4096  # that the library reads at once: some ten microseconds
VALUES_PER_STEP = 16  # that are read between two steps: some hundred microseconds
MAX_DEPTH = 900  # of arrays and objects in each other; `json.loads` ends near 1,000

JsonValue: TypeAlias = Any  # what `json.loads` returns
Transform: TypeAlias = Callable[[JsonValue], Any]
JsonPath: TypeAlias = tuple[str | None, ...]

_scan_value: Callable[[str, int], tuple[JsonValue, int]] = json.JSONDecoder().scan_once  # type: ignore[attr-defined]
_match_whitespace = re.compile(r"[ \t\n\r]*").match


def parse_json_steps(
    body: bytes, path: JsonPath = (), transform: Transform | None = None
) -> Steps[JsonValue]:
    """Read the value of a JSON text.

    :param path: of the arrays whose elements are transformed: keys from the outermost in, None for a place in
        an array.
    :param transform: applied to the elements of an array at `path` that is walked. Those of an array which
        fits a window remain as they are.
    :raises ValueError: if the text is not JSON.
    :raises RecursionError: if it is nested too deep.
    """
    text = body.decode(json.detect_encoding(body), "surrogatepass")
    return (yield from _Parser(text, path, transform).steps())


@dataclass(slots=True)
class _OpenContainer:
    """An array or object that is being walked.

    :ivar closing: the character that ends it.
    :ivar key: where in an object the next value goes; None in an array.
    :ivar transform: applied to the elements of an array.
    """

    container: Any
    closing: str
    key: str | None
    transform: Transform | None

    def add(self, value: JsonValue) -> None:
        """Put a value into its place."""
        if self.key is not None:
            self.container[self.key] = value
        else:
            self.container.append(value if self.transform is None else self.transform(value))


class _Parser:
    """Reads one text.

    `_position` is where the next token begins, `_value` the newest complete value.
    """

    def __init__(self, text: str, path: JsonPath, transform: Transform | None) -> None:
        self._text = text
        self._path = path
        self._transform = transform
        self._position = 0
        self._value: JsonValue = None
        self._open: list[_OpenContainer] = []  # from the outermost in

    def steps(self) -> Steps[JsonValue]:
        """Read the whole text."""
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
        """Read a value, or the beginning of an array or object that ends beyond the window.

        :returns: whether the value is complete.
        """
        found = _read_within_window(self._text, self._position)
        if found is not None:
            self._value, self._position = found
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
        """Begin to walk an array or object.

        :raises RecursionError: if it is nested too deep.
        """
        if len(self._open) >= MAX_DEPTH:
            raise RecursionError("arrays and objects are nested too deep")
        is_object = self._text[self._position] == "{"
        self._position += 1
        if is_object:
            return _OpenContainer({}, "}", None, None)
        at_path = bool(self._path) and tuple(container.key for container in self._open) == self._path
        return _OpenContainer([], "]", None, self._transform if at_path else None)

    def _place_value(self) -> bool:
        """Put the value where it belongs, and with it each array or object that it ends.

        :returns: whether the document is complete; then `_value` is the document's.
        :raises ValueError: if neither a comma nor an end follows.
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
                raise ValueError("neither a comma nor an end follows a value")
            self._position += 1
            self._value = self._open.pop().container
        self._skip_whitespace()
        if self._position != len(self._text):
            raise ValueError("something follows the value")
        return True

    def _read_key(self) -> str:
        """Read an object's key, up to where its value begins.

        :raises ValueError: if there is none, or no colon behind it.
        """
        if self._next_character() != '"':
            raise ValueError("a key is no string")
        key, self._position = _scan_value(self._text, self._position)
        self._skip_whitespace()
        if self._next_character() != ":":
            raise ValueError("a key has no value")
        self._position += 1
        self._skip_whitespace()
        return str(key)

    def _next_character(self) -> str:
        """The character at the position; empty at the end."""
        return self._text[self._position : self._position + 1]

    def _skip_whitespace(self) -> None:
        if self._next_character() in (" ", "\t", "\n", "\r"):
            found = _match_whitespace(self._text, self._position)
            assert found is not None  # the pattern matches nothing, too
            self._position = found.end()


def _read_within_window(text: str, position: int) -> tuple[JsonValue, int] | None:
    """Read a value by the library.

    :returns: the value and where it ends; None for an array or object that ends beyond the window.
    :raises ValueError: if there is no value.
    """
    is_container = text[position : position + 1] in ("{", "[")
    try:
        if not is_container:
            return _scan_value(text, position)  # a window could cut a number short
        value, end = _scan_value(text[position : position + WINDOW_CHARS], 0)
        return value, position + end
    except StopIteration:
        message = "there is no value"
    except ValueError as error:
        message = str(error)
    if is_container and position + WINDOW_CHARS < len(text):
        return None
    raise ValueError(message)
