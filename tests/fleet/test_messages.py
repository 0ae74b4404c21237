"""Tests the decoding of protocol lines and of discovery's replies."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.fleet.messages import (
    BackendReport,
    ProxyHello,
    UnknownMessageError,
    decode_line,
    parse_endpoint_list,
)


def test_lines_are_decoded_with_units_converted() -> None:
    line = b"upstream_stats site=a target=s-5 count=4 fail=1 mean=41.7 over=1000.0 util=inflight:7,util:0.61"
    assert decode_line(line) == BackendReport(
        "a", "s-5", 4, 1, 41_700_000, 1_000_000_000, {"inflight": 7.0, "util": 0.61}
    )
    assert decode_line(b"attach id=17 site=a rps=21.5 new=1\r") == ProxyHello(17, "a", 21.5, True)
    all_failed = decode_line(b"upstream_stats site=a target=s-5 count=2 fail=2 over=500")
    assert all_failed == BackendReport("a", "s-5", 2, 2, 0, 500_000_000, {})
    with pytest.raises(ValueError, match="5 of 4"):
        decode_line(line.replace(b"fail=1", b"fail=5"))


@pytest.mark.parametrize("reply", [None, [], {}, {"index": 1, "snapshot": True}, {"endpoints": []}])
def test_invalid_endpoint_list_is_rejected(reply: Any) -> None:
    with pytest.raises(ValueError, match="not an endpoint list"):
        parse_endpoint_list(reply)


@pytest.mark.parametrize(
    "line",
    [
        "client_stats id=1_0 lane=a count=1 fail=0 over=1",
        "client_stats id=\u0661 lane=a count=1 fail=0 over=1",
        "client_stats id=0 lane=a count=+1 fail=0 over=1",
        "client_stats id=0 lane=a count=1.5 fail=0 over=1",
        "client_stats id=0 lane=a count=1 fail=0 over=0",
        "client_stats id=0 lane=a count=1 fail=0 over=nan",
        "client_stats id=0 lane=a count=1 fail=0 over=1 count=2",
        "client_stats id=0 lane=a count fail=0 over=1",
        "client_stats id=0 lane=a count=1 fail=0 over=" + "9" * 400,
        "client_stats id=0 lane=a count=1 fail=0",
        "upstream_stats site=a target=b count=1 fail=0 mean=-1 over=1000",
        "upstream_stats site=a target=b count=1 fail=0 mean=2 over=1000 util=queue",
        "upstream_stats site=a target=b count=1 fail=0 mean=2 over=1000 util=queue:1,queue:2",
        "attach id=0 site=a rps=1e999 new=1",
        "attach id=0 site=a rps=1 new=maybe",
        "done id=0 seq=x ms=1",
    ],
)
def test_malformed_field_is_not_an_unknown_message(line: str) -> None:
    with pytest.raises(ValueError) as raised:
        decode_line(line.encode())
    assert not isinstance(raised.value, UnknownMessageError)
    with pytest.raises(UnknownMessageError):
        decode_line(b"x" + line.encode())
