"""Headers that a proxy forwards, by RFC 9110, section 7.6.1 (hop-by-hop), and the gateway's protocol."""

from __future__ import annotations

from meadowworks.runtime.http_connection import Headers, Response

# Headers that apply to one connection only. Content-Length is set again, because bodies are buffered.
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
# Request headers that the proxy handles itself or sets for each attempt.
GATEWAY_HEADERS = frozenset((b"x-deadline-ms", b"x-want-backend", b"expect"))


def forwarded_request_headers(headers: Headers) -> Headers:
    """Return the headers of a client's request that are forwarded to the backend.

    :param headers: with lower-case names, as the server's parser returns them
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in GATEWAY_HEADERS and name not in connection_options
    ]


def forwarded_response_headers(response: Response) -> Headers:
    """Return the headers of a backend's response that are forwarded to the client."""
    connection_options = {
        token.strip().lower()
        for name, value in response.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in response.headers
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in connection_options
    ]


def keep_alive_timeout_s(response: Response) -> int | None:
    """Return the timeout in the `Keep-Alive` header, in whole seconds; None without one."""
    for part in (response.header(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None


def parse_ms(value: bytes | None, default: float) -> float:
    """Return a header's value in milliseconds; `default` if it is missing or not a number."""
    try:
        return float(value) if value is not None else default
    except ValueError:
        return default
