"""Changes of the configuration, and backends that send heartbeats and drain, during a soak."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from meadowworks.local.backend import StubBackend
from meadowworks.local.commands import DEMO_ROUTES, DEMO_SERVICES
from meadowworks.local.soak.http_calls import call_once
from meadowworks.local.soak.wire_calls import CONFLICT, OK, WireRequest
from meadowworks.local.system import HEARTBEAT_INTERVAL_MS, ZONES, SystemLayout, build_configuration
from meadowworks.runtime.address import Address

CHANGE_GAP_S = (0.5, 2.0)  # between two changes of the configuration
CHANGE_TIMEOUT_S = 1.0
DRAIN_GAP_S = (0.5, 3.0)  # between two changes of a backend's state
BACKENDS_PER_SERVICE = 2
MAX_ATTEMPTS = (1, 2, 3)  # of a route, one after another


async def change_configuration(addresses: Sequence[Address], rng: random.Random) -> None:
    """Put one version of the configuration after another, without end.

    A version without a clear answer is put again with the same text.
    """
    version = 1
    while True:
        text = build_configuration(version, DEMO_ROUTES, MAX_ATTEMPTS[version % len(MAX_ATTEMPTS)])
        request = WireRequest(b"POST", b"/api/Config.Replace", text)
        response = await call_once(rng.choice(addresses), request, CHANGE_TIMEOUT_S)
        if response is not None and response.status in (OK, CONFLICT):
            version += 1
        await asyncio.sleep(rng.uniform(*CHANGE_GAP_S))


async def run_backends(layout: SystemLayout, addresses: list[Address], rng: random.Random) -> None:
    """Run backends that send heartbeats, and drain and return from time to time, without end."""
    host = layout.ip_address(layout.spare_indexes().stop)
    backends = [
        StubBackend(f"{service}-{number}", service, rng.choice(list(ZONES)), host)
        for service in DEMO_SERVICES
        for number in range(BACKENDS_PER_SERVICE)
    ]
    for backend in backends:
        await backend.start()
    try:
        async with asyncio.TaskGroup() as tasks:
            for backend in backends:
                tasks.create_task(backend.run_heartbeats(addresses, HEARTBEAT_INTERVAL_MS / 1000))
            await _drain_and_return(backends, rng)
    finally:
        for backend in backends:
            backend.stop()


async def _drain_and_return(backends: Sequence[StubBackend], rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(*DRAIN_GAP_S))
        backend = rng.choice(backends)
        backend.state = "draining" if backend.state == "up" else "up"
