"""Type aliases for ASGI, the interface between `http_server` and the programs' request handlers.

In addition to the ASGI fields, a scope contains `target`, the unmodified request target, `connection`, the
`server_connection.ServerConnection` that received the request, and `received_ns`, the monotonic time at which
its headers were complete.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
ASGIApplication = Callable[[Scope, Receive, Send], Awaitable[None]]
