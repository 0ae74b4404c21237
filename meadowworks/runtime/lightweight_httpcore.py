"""httpcore without trio and anyio, whose imports dominate the startup time and the time of the first call.

All other modules import httpcore from here.
"""

from __future__ import annotations

from contextlib import nullcontext

from meadowworks.runtime.lazy_imports import block_modules

block_modules()

import httpcore  # noqa: E402
from httpcore._async import http11  # noqa: E402

# Replaces anyio's cancellation shield, which is not needed: `BufferedStream` closes without waiting.
# `MonitoredConnection` replaces anyio's lock, since a connection carries one request at a time.
http11.AsyncShieldCancellation = nullcontext  # type: ignore[attr-defined, assignment]

__all__ = ["httpcore"]
