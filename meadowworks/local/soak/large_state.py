"""Keys with long values, which make the state of a soak some megabytes large, and their slow readers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from contextlib import closing, suppress

from meadowworks.coordination.commands import PutCell
from meadowworks.local.soak.http_calls import call_once
from meadowworks.local.soak.wire_calls import OK, encode_call
from meadowworks.runtime.address import Address

GROUP = "large."
VALUE_LETTERS = 60_000
LETTERS = "αβγδεζηθικλμνξοπρστυφχψωάέήίόύώς"  # two bytes each; random ones can hardly be compressed
BYTES_PER_VALUE = 2 * VALUE_LETTERS
PUT_TIMEOUT_S = 1.0
PUT_ATTEMPTS = 10
READ_BYTES = 16 * 1024
READ_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.2


async def put_large_values(addresses: Sequence[Address], size_mb: int, rng: random.Random) -> bool:
    """Put values of some megabytes in all.

    :returns: false if one of them was not acknowledged.
    """
    for number in range(size_mb * 1_000_000 // BYTES_PER_VALUE):
        value = f"{number}." + "".join(rng.choices(LETTERS, k=VALUE_LETTERS))
        if not await _put(addresses, PutCell(f"{GROUP}{number}", value)):
            return False
    return True


async def _put(addresses: Sequence[Address], put: PutCell) -> bool:
    for attempt in range(PUT_ATTEMPTS):
        address = addresses[attempt % len(addresses)]
        response = await call_once(address, encode_call(put), PUT_TIMEOUT_S)
        if response is not None and response.status == OK:
            return True
        await asyncio.sleep(RETRY_INTERVAL_S)
    return False


async def read_slowly(addresses: Sequence[Address], rng: random.Random) -> None:
    """Request the events of the large values without end, and read the answers slowly."""
    while True:
        host, port = rng.choice(addresses)
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            with closing(writer):
                request = f"GET /api/watch/{GROUP}?after=1&waitMs=500 HTTP/1.1\r\nHost: ctl\r\n\r\n"
                writer.write(request.encode())
                while await reader.read(READ_BYTES):
                    await asyncio.sleep(READ_INTERVAL_S)
        await asyncio.sleep(RETRY_INTERVAL_S)
