"""A small configuration that several tests modify."""

from __future__ import annotations

from typing import Any

ROUTE = {"name": "a", "prefix": "/a/", "type": "safe", "deadlineMs": 900, "targetMs": 200.5, "prio": 1}
CONFIG: dict[str, Any] = {
    "ver": "0000000c",
    "svcs": [{"name": "s", "healthPath": "/h", "maxConns": 9, "tls": False}, {"name": "t"}],
    "limits": {"maxHeaderBytes": 9, "maxBodyBytes": 9, "headerTimeoutMs": 9, "idleTimeoutMs": 9},
    "vhosts": [
        {
            "host": "One.example",
            "prefixes": [
                {**ROUTE, "split": [{"svc": "s", "weight": 9}, {"svc": "t", "weight": 0.5}], "tries": 2},
                {**ROUTE, "name": "b", "prefix": "/a/b/", "type": "unsafe", "svc": "t"},
            ],
        },
        {"host": "two.example", "prefixes": [{**ROUTE, "name": "c", "svc": "s", "more": [{}]}]},
    ],
}
