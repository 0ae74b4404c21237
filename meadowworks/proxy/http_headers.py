"""Which headers a proxy passes on, by RFC 9110 (7.6.1, hop-by-hop) and the gateway's own protocol."""

from __future__ import annotations

from meadowworks.runtime.http_connection import Headers, Response

# Headers that concern one connection alone. Content-Length is stated anew: bodies are passed on complete.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"proxy-authorization",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
# Request headers that the proxy answers itself or states anew for each attempt.
GATEWAY_HEADERS = frozenset((b"x-deadline-ms", b"x-want-backend", b"expect"))


def forwarded_request_headers(headers: Headers) -> Headers:
    """The headers of a client's request that go to the backend.

    :param headers: with names in lower case, as the server's parser leaves them
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in GATEWAY_HEADERS and name not in named
    ]


def forwarded_response_headers(response: Response) -> Headers:
    """The headers of a backend's response that go to the client."""
    named = {
        token.strip().lower()
        for name, value in response.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in response.headers
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in named
    ]


def keep_alive_timeout_s(response: Response) -> int | None:
    """The whole seconds that `Keep-Alive: timeout=` names, if it does."""
    for part in (response.header(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None


def parse_ms(value: bytes | None, default: float) -> float:
    """The milliseconds that a header names; `default` if it is missing or no number."""
    try:
        return float(value) if value is not None else default
    except ValueError:
        return default
