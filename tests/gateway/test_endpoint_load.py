"""Load estimate of a backend."""

from __future__ import annotations

from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.runtime.http_connection import ClientConnection
from tests.gateway.helpers import SECOND


def test_a_backend_too_busy_to_respond_does_not_look_idle() -> None:
    pool: ConnectionPool[ClientConnection] = ConnectionPool()
    load = pool.load("b")
    load.in_flight += 1
    load.record_backend_load(0, 2, 6)
    assert load.estimate(0, True) == 8.0
    pool.record_zone_load(SECOND, "b", 9.0)
    assert load.estimate(2 * SECOND, True) > 5.0
