"""Generated configurations of any size, whose names compress about as well as real ones."""

from __future__ import annotations

import random
from typing import Any

ROUTES_PER_HOST = 10


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"svc{number:04}"


def generate_configuration(version: int, routes: int, services: int, rng: random.Random) -> dict[str, Any]:
    """Return a complete configuration in the operator's format, with ten routes per host."""
    return {
        "ver": f"{version:08x}",
        "svcs": [
            {"name": service_name(k), "healthPath": "/healthz", "maxConns": 100, "proto": "h1", "tls": False}
            for k in range(services)
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "vhosts": [
            _host(first, min(routes, first + ROUTES_PER_HOST), services, rng)
            for first in range(0, routes, ROUTES_PER_HOST)
        ],
    }


def _host(first_route: int, end: int, services: int, rng: random.Random) -> dict[str, Any]:
    prefixes = [_route(number, services, rng) for number in range(first_route, end)]
    return {"host": f"h{rng.getrandbits(20):05x}-{first_route}.example", "prefixes": prefixes}


def _route(number: int, services: int, rng: random.Random) -> dict[str, Any]:
    return {
        "name": f"r-{rng.getrandbits(28):07x}",
        "prefix": f"/{rng.getrandbits(24):06x}/{number}/",
        "type": "safe" if number % 3 else "unsafe",
        "deadlineMs": 1000,
        "targetMs": 250,
        "prio": number % 3,
        "svc": service_name(number % services),
        "tries": 2,
    }
