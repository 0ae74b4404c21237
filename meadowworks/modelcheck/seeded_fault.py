"""Seeded faults: one guard of the product taken out each, to see that a property breaks.

A fault names a function of the product and a piece of its text; while it is injected, that function's code is
compiled from the changed text, so everybody who calls it, wherever they got it from, runs the fault. A piece
that is not there exactly once is an error: the table must follow the code.
"""

from __future__ import annotations
import __future__

import importlib
import inspect
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import CodeType, FunctionType
from typing import Any


@dataclass(frozen=True, slots=True)
class SeededFault:
    """A change of one function by which at least one of the properties in `violates` must break.

    `target` is module:function or module:Class.method, in whose text `original` becomes `replacement`. The
    fault is looked for in `model`: in its larger worlds if `large`, to `max_depth` steps (0: the model's own
    bound), from the starts in `start_indices` (empty: all).
    """

    name: str
    model: str
    target: str
    original: str
    replacement: str
    violates: tuple[str, ...]
    max_depth: int = 0
    start_indices: tuple[int, ...] = ()
    large: bool = False


def target_function(target: str) -> FunctionType:
    """Return the function that a target names.

    :raises ValueError: if it names something else.
    """
    module, _, name = target.partition(":")
    found: Any = importlib.import_module(module)
    for part in name.split("."):
        found = inspect.getattr_static(found, part)
    if not isinstance(found, FunctionType):
        raise ValueError(f"{target} is no function")
    return found


def compile_faulty_code(fault: SeededFault) -> CodeType:
    """Compile the target's code with the fault in it.

    :raises ValueError: where the fault does not fit the code.
    """
    function = target_function(fault.target)
    text = textwrap.dedent(inspect.getsource(function))
    if (times := text.count(fault.original)) != 1:
        raise ValueError(f"fault {fault.name!r}: {fault.original!r} stands {times} times in {fault.target}")
    names: dict[str, Any] = dict(function.__globals__)
    faulty_text = text.replace(fault.original, fault.replacement)
    flags = __future__.annotations.compiler_flag
    exec(compile(faulty_text, function.__code__.co_filename, "exec", flags), names)
    faulty: Callable[..., Any] = names[function.__name__]
    code = faulty.__code__
    if code.co_freevars != function.__code__.co_freevars:
        raise ValueError(f"fault {fault.name!r}: {fault.target} closes over names")
    return code


@contextmanager
def injected_fault(fault: SeededFault) -> Iterator[None]:
    """Run the product with the fault in it, in this process and those it forks meanwhile."""
    function = target_function(fault.target)
    code, function.__code__ = function.__code__, compile_faulty_code(fault)
    try:
        yield
    finally:
        function.__code__ = code
