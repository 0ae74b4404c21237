"""Seeded faults: one guard of a machine or of the module taken out each, to see that a property breaks.

A fault names a function of the product and a piece of its text; while it is planted, that function's code is
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
    """`at` is module:function or module:Class.method; `was` becomes `now`; `breaks` names the properties of
    which one must be found broken by `model`."""

    name: str
    model: str
    at: str
    was: str
    now: str
    violates: tuple[str, ...]
    max_depth: int = 0  # of the exploration, where the model's own is not enough
    start_indices: tuple[int, ...] = ()  # the model's starts that matter, by place; none: all
    large: bool = False  # only the larger worlds have room for it


def target_function(target: str) -> FunctionType:
    module, _, name = target.partition(":")
    found: Any = importlib.import_module(module)
    for part in name.split("."):
        found = inspect.getattr_static(found, part)
    if not isinstance(found, FunctionType):
        raise ValueError(f"{target} is no function")
    return found


def faulty_code(fault: SeededFault) -> CodeType:
    """The function's code with the fault in it. Raises ValueError where the table does not fit the code."""
    whole = target_function(fault.at)
    text = textwrap.dedent(inspect.getsource(whole))
    if text.count(fault.was) != 1:
        raise ValueError(
            f"fault {fault.name!r}: {fault.was!r} stands {text.count(fault.was)} times in {fault.at}"
        )
    names: dict[str, Any] = dict(whole.__globals__)
    flags = __future__.annotations.compiler_flag
    exec(compile(text.replace(fault.was, fault.now), whole.__code__.co_filename, "exec", flags), names)
    made: Callable[..., Any] = names[whole.__name__]
    code = made.__code__
    if code.co_freevars != whole.__code__.co_freevars:
        raise ValueError(f"fault {fault.name!r}: {fault.at} closes over names")
    return code


@contextmanager
def injected_fault(fault: SeededFault) -> Iterator[None]:
    """The product with the fault in it, in this process and those it forks meanwhile."""
    whole = target_function(fault.at)
    code, whole.__code__ = whole.__code__, faulty_code(fault)
    try:
        yield
    finally:
        whole.__code__ = code
