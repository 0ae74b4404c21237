"""A short start: what libraries import or compile for features that the gateway never uses is left out.

A process serves nobody while it imports, which is nearly all of its start after a loss of power. `install` is
called before anything else is imported. Left out, and why nothing misses it:

* trio: httpcore imports it where it is installed, which is half of a start. The programs run on asyncio.
* uvicorn.main: uvicorn's command line, and click for it. The programs make uvicorn's protocols themselves.
* certifi: certificate authorities. The calls between the programs go without TLS.
* logging.config: uvicorn's own set-up of logs, which `http_server` turns off.
* patterns of marshmallow.validate: the one of mail addresses takes longer to compile than the rest of the
  module to import. They are compiled when they are first used.
* loguru's first sink, and its search for the folders of libraries, which serves colours in tracebacks.

Whoever uses a module that is left out gets an `InvariantError`.
"""

from __future__ import annotations

import os
import re
import sys
from types import ModuleType
from typing import Any

from meadowworks.runtime.errors import InvariantError

# Python raises ImportError for these, which their importers expect.
BLOCKED_MODULES = ("trio",)
# Importers expect these to be there. By module: the names that a library takes from it at its own import.
STUBBED_MODULES = {
    "uvicorn.main": ("Server", "main", "run"),
    "certifi": (),
    "logging.config": (),
}
LAZY_PATTERN_MODULE = "marshmallow.validate"


class StubModule(ModuleType):
    """Stands for a module that is left out."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        raise InvariantError(f"{self.__name__}.{name} is left out of the programs (runtime/lazy_imports.py)")


class LazyPattern:
    """A regular expression that is compiled when it is first used."""

    def __init__(self, pattern: str, flags: int) -> None:
        self._pattern = pattern
        self._flags = flags

    def __getattr__(self, name: str) -> Any:
        return getattr(re.compile(self._pattern, self._flags), name)


def install() -> None:
    """Leave out all of the above; to be called before the programs import anything else."""
    block_modules()
    stub_modules()
    import_marshmallow_validators()
    import_loguru()


def block_modules() -> None:
    """Let imports of the blocked modules fail."""
    for name in BLOCKED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


def stub_modules() -> None:
    """Put a stub in the place of each module that is left out and not yet imported."""
    for name, imported_names in STUBBED_MODULES.items():
        if name in sys.modules:
            continue
        stub = StubModule(name)
        for imported_name in imported_names:
            setattr(stub, imported_name, None)
        sys.modules[name] = stub


def import_loguru() -> None:
    """Import loguru without its search for folders, and without a sink: `logging.configure` adds one."""
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    from loguru._better_exceptions import ExceptionFormatter

    ExceptionFormatter._get_lib_dirs = staticmethod(list)  # type: ignore[method-assign]


def import_marshmallow_validators() -> None:
    """Import marshmallow with its own patterns to be compiled later."""
    if LAZY_PATTERN_MODULE in sys.modules:
        return
    compile_at_once = re.compile

    def compile_later(pattern: Any, flags: Any = 0) -> Any:
        caller = sys._getframe(1).f_globals.get("__name__")
        return (
            LazyPattern(pattern, flags) if caller == LAZY_PATTERN_MODULE else compile_at_once(pattern, flags)
        )

    re.compile = compile_later
    try:
        __import__(LAZY_PATTERN_MODULE)
    finally:
        re.compile = compile_at_once
