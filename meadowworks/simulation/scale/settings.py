"""The settings of a run of `lab scale`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Loss(StrEnum):
    """What is lost during a run; the values are used on the command line and in JSON."""

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
    (proxies and backends that end and are replaced) are rates per hour, `requests` is the rate per second at
    each proxy. `whole` proxies are simulated in full, the others by stubs. Without `cpu`, processor time
    takes no simulated time, so counts don't depend on the machine. A run that uses more than `most_mb` MB of
    memory ends early.
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
