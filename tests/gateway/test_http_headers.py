"""Headers that a proxy forwards."""

from __future__ import annotations

import pytest

from meadowworks.proxy.http_headers import forwarded_request_headers


@pytest.mark.parametrize(
    ("headers", "forwarded"),
    [
        (
            [(b"host", b"h"), (b"connection", b"close, x-mine"), (b"x-mine", b"1"), (b"accept", b"*")],
            [b"host", b"accept"],
        ),
        (
            [
                (b"te", b"trailers"),
                (b"transfer-encoding", b"chunked"),
                (b"x-want-backend", b"z"),
                (b"x-a", b"1"),
            ],
            [b"x-a"],
        ),
    ],
)
def test_hop_by_hop_headers_are_not_forwarded(
    headers: list[tuple[bytes, bytes]], forwarded: list[bytes]
) -> None:
    assert [name for name, _ in forwarded_request_headers(headers)] == forwarded
