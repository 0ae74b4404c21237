"""Which headers go along."""

from __future__ import annotations

import pytest

from meadowworks.proxy.http_headers import forwarded_request_headers


@pytest.mark.parametrize(
    ("headers", "kept"),
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
def test_headers_of_one_connection_do_not_go_along(
    headers: list[tuple[bytes, bytes]], kept: list[bytes]
) -> None:
    assert [name for name, _ in forwarded_request_headers(headers)] == kept
