"""A configuration in force: routes looked up by host and path."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """One route. `split` holds services with their weights, in the configuration's order."""

    name: str
    safe: bool
    deadline_ms: float
    target_ms: float
    prio: int
    tries: int
    split: tuple[tuple[str, float], ...]

    def service(self, chance: float) -> str:
        """The service that a request goes to; `chance` is from 0 up to, not with, 1."""
        if len(self.split) == 1:
            return self.split[0][0]
        point = chance * sum(weight for _, weight in self.split)
        for name, weight in self.split:
            point -= weight
            if point < 0:
                return name
        return next(name for name, weight in reversed(self.split) if weight > 0)


@dataclass(frozen=True, slots=True)
class Timetable:
    """A version of the configuration. Times in milliseconds, sizes in bytes."""

    version: int
    hosts: dict[str, dict[str, Route]]
    services: dict[str, int] = field(default_factory=dict)  # connections that a backend of it takes
    health: dict[str, str] = field(default_factory=dict)
    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_ms: float = 3000
    idle_ms: float = 15000

    def find(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix that begins the path."""
        routes = self.hosts.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if route := routes.get(path[: end + 1]):
                return route
        return None


def load(body: bytes) -> Timetable:
    """A configuration that has been checked."""
    raw = json.loads(body)
    hosts: dict[str, dict[str, Route]] = {}
    for host in raw["vhosts"]:
        routes = hosts.setdefault(host["host"].lower(), {})
        for r in host["prefixes"]:
            split = r.get("split") or [{"svc": r["svc"], "weight": 1}]
            routes[r["prefix"]] = Route(
                r["name"],
                r["type"] == "safe",
                float(r["deadlineMs"]),
                float(r["targetMs"]),
                int(r.get("prio", 0)),
                int(r.get("tries", 1)),
                tuple((s["svc"], float(s["weight"])) for s in split),
            )
    limits = raw["limits"]
    return Timetable(
        int(raw["ver"], 16),
        hosts,
        {s["name"]: int(s.get("maxConns", 0)) for s in raw["svcs"]},
        {s["name"]: s.get("healthPath", "/") for s in raw["svcs"]},
        limits["maxHeaderBytes"],
        limits["maxBodyBytes"],
        limits["headerTimeoutMs"],
        limits["idleTimeoutMs"],
    )
