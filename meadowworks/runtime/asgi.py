"""The types of ASGI, the interface between `http_server` and the programs' request handlers.

Beside what ASGI defines, a scope has two fields: `target`, the request's target as it came, and `connection`,
the `server_connection.ServerConnection` that the request came on.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
ASGIApplication = Callable[[Scope, Receive, Send], Awaitable[None]]
