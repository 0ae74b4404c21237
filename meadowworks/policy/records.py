"""The records that the decisions keep. Only types live here, as in `interface`."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from meadowworks.policy.statistics import AttemptStats, SlidingMinimum


@dataclass(slots=True)
class Backend:
    """A backend that the endpoint list has named."""

    zone: int
    weight: float
    started_ns: int
    subset: int  # of its zone
    ready: bool = False
    retained: bool = False  # although the endpoint list lacks it, see retain_missing()
    missing_since_ns: int = 0  # since when the endpoint list lacks it
    ejection_step: int = 0
    step_changed_ns: int = 0
    stats: AttemptStats = field(default_factory=AttemptStats)
    queue_length: float = -1.0  # as it reports; below 0: unknown


@dataclass(slots=True)
class Proxy:
    """A proxy that has joined."""

    zone: int
    weight: float  # its usual calls a second
    subset: int
    assigned: bool = False  # to its tables
    message_times: deque[int] = field(default_factory=deque)  # newest last
    # By route: calls a second, and the half-life by which they decay.
    demand: dict[int, tuple[float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class ZoneView:
    """How all backends look to the proxies of one zone."""

    least_latency: SlidingMinimum
    admissions: list[tuple[float, int]]  # limit and retry policy by route
    capacity: float = -1.0  # calls a second; below 0: no report yet
    # By backend: successful calls a second, their latency, and until when that counts.
    good_rates: dict[int, tuple[float, float, int]] = field(default_factory=dict)
    has_news: bool = False
    latency_ok: bool = True
    stats: AttemptStats = field(default_factory=AttemptStats)
    stats_by_zone: defaultdict[int, AttemptStats] = field(default_factory=lambda: defaultdict(AttemptStats))
    overloaded: bool = False  # too many of the zone's attempts fail, see OVERLOAD_RATIOS
    local_share: float = 1.0  # of its calls that the zone keeps
    remote_weights: list[float] = field(default_factory=list)  # factors of weights elsewhere, by zone
    mean_queue: float = 0.0  # calls waiting at a backend of the zone
    peak_weight: float = 0.0  # the most weight that the zone's ready backends ever had
    admitted_rate: float = 0.0  # calls a second that its proxies let in
    warming_at_risk: bool = False  # overloaded, and its warming backends could not bear what may come


@dataclass(slots=True)
class CandidatePool:
    """A zone's backends as its tables may name them in this tick, whatever the subset."""

    ready: dict[int, Backend]
    local: dict[int, Backend]
    warm: dict[int, Backend]
    weights: dict[int, float]
    local_weight: float


Candidates = Callable[[int, bool], CandidatePool]  # of a zone; whether for routes confined to it


class WeightChange(NamedTuple):
    """A line of a table to send; sorted, the most urgent first and then the greatest."""

    rank: int
    minus_size: float
    table: int
    backend: int
    weight: float


@dataclass(slots=True)
class ZoneLoad:
    """A zone's ready backends and its proxies' calls, summed."""

    listed: float = 1e-9  # weight of its ready backends
    capacity: float = 0.0  # the same, less for what is new or suspect
    warming: float = 0.0  # the part of the capacity that is warming up
    bearable: float = 0.0  # and what that can bear
    queues: list[float] = field(default_factory=list)
    asked: float = 1e-9  # calls a second
    squares: float = 0.0  # of its proxies' calls a second
