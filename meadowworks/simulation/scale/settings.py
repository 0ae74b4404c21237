"""What a run of `lab scale` simulates."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Loss(StrEnum):
    """What is lost during a run; the values are words of the command line and of JSON."""

    BACKEND = "backend"
    PROXY = "junction"
    CONTROL_PLANE = "box"
    RACK = "rack"
    ZONE = "zone"
    REGION = "region"
    RESTART = "start"


LOSSES = tuple(loss.value for loss in Loss)


@dataclass(frozen=True, slots=True)
class ScaleSettings:
    """Sizes and rates of a deployment; the fields are options of `lab scale` and fields of its JSON.

    `controllers` counts control planes (`boxes`) and proxies. `changes` of the configuration and `churn`
    (proxies and backends that end and are followed by another) are an hour's, `requests` a second's at each
    proxy. `whole` proxies are simulated whole, the others by stubs. Without `cpu` processor time delays
    nothing, so that counts do not depend on the machine. A run that takes more than `most_mb` of memory ends
    early.
    """

    controllers: int = 30
    boxes: int = 3
    zones: int = 4
    backends: int = 100
    services: int = 10
    routes: int = 100
    changes: float = 0.0
    churn: float = 0.0
    requests: float = 190.0
    seconds: float = 10.0
    whole: int = 4
    seed: int = 1
    cpu: bool = True
    memory: bool = True
    loss: str = ""
    profile: bool = False
    most_mb: float = 4000.0
