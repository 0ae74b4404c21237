"""Faster startup by skipping unused imports and eager initialization of third-party libraries.

Imports take most of the time until a restarted process serves requests. `install` must run before all other
imports. It skips:

* trio: httpcore imports it if it is installed. The programs run on asyncio.
* uvicorn.main: uvicorn's command line, which imports click. The programs create uvicorn's protocols directly.
* certifi: certificate authorities. Calls between the programs do not use TLS.
* logging.config: uvicorn's logging configuration, which `http_server` disables.
* patterns of marshmallow.validate: they are compiled on first use, because the pattern for mail addresses
  takes longer to compile than the rest of the module to import.
* loguru's default sink, and its search for library directories, which is only used to colour tracebacks.

Using an attribute of a skipped module raises an `InvariantError`.
"""

from __future__ import annotations

import os
import re
import sys
from types import ModuleType
from typing import Any

from meadowworks.runtime.errors import InvariantError

# Importing one of these raises ImportError, which their importers handle.
BLOCKED_MODULES = ("trio",)
# Modules that their importers require, with the names that are imported from each of them.
STUBBED_MODULES = {
    "uvicorn.main": ("Server", "main", "run"),
    "certifi": (),
    "logging.config": (),
}
LAZY_PATTERN_MODULE = "marshmallow.validate"


class StubModule(ModuleType):
    """A placeholder for a skipped module."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        raise InvariantError(
            f"{self.__name__}.{name} is not available: runtime/lazy_imports.py skips the module"
        )


class LazyPattern:
    """A regular expression that is compiled on first use."""

    def __init__(self, pattern: str, flags: int) -> None:
        self._pattern = pattern
        self._flags = flags

    def __getattr__(self, name: str) -> Any:
        return getattr(re.compile(self._pattern, self._flags), name)


def install() -> None:
    """Skip everything listed above. Must be called before the programs import anything else."""
    block_modules()
    stub_modules()
    import_marshmallow_validators()
    import_loguru()


def block_modules() -> None:
    """Make imports of the blocked modules fail."""
    for name in BLOCKED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


def stub_modules() -> None:
    """Register a stub for each module to be skipped that is not imported yet."""
    for name, imported_names in STUBBED_MODULES.items():
        if name in sys.modules:
            continue
        stub = StubModule(name)
        for imported_name in imported_names:
            setattr(stub, imported_name, None)
        sys.modules[name] = stub


def import_loguru() -> None:
    """Import loguru without its directory search and default sink; `logging.configure` adds a sink."""
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    from loguru._better_exceptions import ExceptionFormatter

    ExceptionFormatter._get_lib_dirs = staticmethod(list)  # type: ignore[method-assign]


def import_marshmallow_validators() -> None:
    """Import marshmallow.validate with lazily compiled patterns."""
    if LAZY_PATTERN_MODULE in sys.modules:
        return
    original_compile = re.compile

    def lazy_compile(pattern: Any, flags: Any = 0) -> Any:
        caller = sys._getframe(1).f_globals.get("__name__")
        return (
            LazyPattern(pattern, flags) if caller == LAZY_PATTERN_MODULE else original_compile(pattern, flags)
        )

    re.compile = lazy_compile
    try:
        __import__(LAZY_PATTERN_MODULE)
    finally:
        re.compile = original_compile
