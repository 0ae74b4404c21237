"""Tests of `runtime.address`: valid and invalid addresses."""

from __future__ import annotations

import pytest

from meadowworks.runtime.address import Address


def test_an_address_is_parsed() -> None:
    address = Address.parse("127.0.0.1:8080")
    assert address == ("127.0.0.1", 8080)
    assert (address.host, address.port) == ("127.0.0.1", 8080)


@pytest.mark.parametrize("text", ["", "127.0.0.1", ":80", "h:", "h:0", "h:65536", "h:-1", "h:8a", "h:\u0663"])
def test_an_invalid_address_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="is no address with a port"):
        Address.parse(text)
