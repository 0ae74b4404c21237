"""httpcore without trio and anyio, whose imports are most of a program's start and of its first call.

Everything else imports httpcore from here.
"""

from __future__ import annotations

from contextlib import nullcontext

from meadowworks.runtime.lazy_imports import block_modules

block_modules()

import httpcore  # noqa: E402
from httpcore._async import http11  # noqa: E402

# httpcore takes its lock and its shield from anyio. A connection carries one request at a time, and its
# stream is closed without waiting: neither has anything to guard.
http11.AsyncShieldCancellation = nullcontext  # type: ignore[attr-defined, assignment]

__all__ = ["httpcore"]
