"""Seeded faults: mutations of the product that check whether the properties detect a missing guard.

A fault names a function of the product and a piece of its source text. Injecting the fault replaces the code
object of that function, so that every reference to the function runs the faulty code. The piece must occur
exactly once in the function; otherwise the fault no longer fits the code, which is an error.
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
    """A mutation of one function that must violate at least one of the properties in `violates`.

    `target` is module:function or module:Class.method; `original` in its source text becomes `replacement`.
    The fault is searched for in `model`: with the larger worlds if `large`, up to `max_depth` steps (0: the
    bound of the model), from the initial worlds in `start_indices` (empty: all).
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

    :raises ValueError: if the target does not name a plain function.
    """
    module, _, name = target.partition(":")
    target_object: Any = importlib.import_module(module)
    for part in name.split("."):
        target_object = inspect.getattr_static(target_object, part)
    if not isinstance(target_object, FunctionType):
        raise ValueError(f"{target} is not a function")
    return target_object


def compile_faulty_code(fault: SeededFault) -> CodeType:
    """Compile the target function with the fault applied.

    :raises ValueError: if the fault does not fit the code.
    """
    function = target_function(fault.target)
    text = textwrap.dedent(inspect.getsource(function))
    if (occurrences := text.count(fault.original)) != 1:
        raise ValueError(
            f"fault {fault.name!r}: {fault.original!r} occurs {occurrences} times in {fault.target}, not once"
        )
    names: dict[str, Any] = dict(function.__globals__)
    faulty_text = text.replace(fault.original, fault.replacement)
    flags = __future__.annotations.compiler_flag
    exec(compile(faulty_text, function.__code__.co_filename, "exec", flags), names)
    faulty: Callable[..., Any] = names[function.__name__]
    code = faulty.__code__
    if code.co_freevars != function.__code__.co_freevars:
        raise ValueError(f"fault {fault.name!r}: {fault.target} has other free variables with the fault")
    return code


@contextmanager
def injected_fault(fault: SeededFault) -> Iterator[None]:
    """Inject a fault into this process, and into processes forked meanwhile, while the context is active."""
    function = target_function(fault.target)
    code, function.__code__ = function.__code__, compile_faulty_code(fault)
    try:
        yield
    finally:
        function.__code__ = code
