"""A short start: what libraries import or compile for uses that the gateway's programs never make of them.

After a loss of all power a process serves nobody while it imports; that is nearly all of a start. `start` is
called before anything else is imported. Whoever uses what is left out gets a BrokenInvariant.
"""

from __future__ import annotations

import os
import re
import sys
from types import ModuleType
from typing import Any

from meadowworks.runtime.errors import InvariantError

# httpcore imports trio where it finds it: half of a start.
BLOCKED_MODULES = ("trio",)
# By module: the names that another library takes from it at its own import.
STUBBED_MODULES = {
    "uvicorn.main": ("Server", "main", "run"),  # uvicorn's command line, and click for it
    "certifi": (),  # certificates: httpcore's calls go without TLS here
    "logging.config": (),  # uvicorn's own set-up of logs, which it is told to leave
}
LAZY_PATTERN_MODULE = "marshmallow.validate"  # a pattern of mail addresses takes longer than all else in it


class StubModule(ModuleType):
    """Stands for a module that is left out."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        raise InvariantError(f"{self.__name__}.{name} is left out of the programs")


class LazyPattern:
    """A pattern that is compiled when it is first used."""

    def __init__(self, pattern: str, flags: int) -> None:
        self.pattern, self.flags = pattern, flags

    def __getattr__(self, name: str) -> Any:
        return getattr(re.compile(self.pattern, self.flags), name)


def install() -> None:
    for name in BLOCKED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name, taken in STUBBED_MODULES.items():
        if name not in sys.modules:
            sys.modules[name] = module = StubModule(name)
            for one in taken:
                setattr(module, one, None)
    import_marshmallow_validators()
    import_loguru()


def import_loguru() -> None:
    """Imports loguru without a sink of its own (`logs.start` adds ours), and without a search for the folders
    of libraries at each sink: it is for colours in a traceback."""
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    from loguru._better_exceptions import ExceptionFormatter

    ExceptionFormatter._get_lib_dirs = staticmethod(list)  # type: ignore[method-assign]


def import_marshmallow_validators() -> None:
    """Imports marshmallow with its own patterns to be compiled later."""
    if LAZY_PATTERN_MODULE in sys.modules:
        return
    compiled = re.compile

    def later(pattern: Any, flags: Any = 0) -> Any:
        asked = sys._getframe(1).f_globals.get("__name__")
        return LazyPattern(pattern, flags) if asked == LAZY_PATTERN_MODULE else compiled(pattern, flags)

    re.compile = later
    try:
        __import__(LAZY_PATTERN_MODULE)
    finally:
        re.compile = compiled
