"""Records of the policy's state; types without behavior, as in `interface`."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from meadowworks.policy.statistics import AttemptStats, SlidingMinimum


@dataclass(slots=True)
class Backend:
    """A backend that the endpoint list has named, with its state and statistics."""

    zone: int
    weight: float
    started_ns: int
    subset: int  # of its zone's backends
    ready: bool = False
    retained: bool = False  # kept although the endpoint list lacks it, see `retain_missing`
    missing_since_ns: int = 0  # when the endpoint list first lacked it; 0: listed
    ejection_step: int = 0
    step_changed_ns: int = 0
    stats: AttemptStats = field(default_factory=AttemptStats)
    queue_length: float = -1.0  # as the backend reports it; negative: unknown


@dataclass(slots=True)
class Proxy:
    """A proxy that has joined."""

    zone: int
    weight: float  # its usual call rate in calls a second
    subset: int  # of its zone's proxies
    assigned: bool = False  # whether it uses its tables
    message_times: deque[int] = field(default_factory=deque)  # of sent messages, newest last
    # By route: calls a second, and the half-life in nanoseconds with which that rate decays.
    demand: dict[int, tuple[float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class ZoneView:
    """The state of one zone: what its proxies report of all backends, its limits and its spillover."""

    min_latency: SlidingMinimum  # of the mean latency of successful calls, in nanoseconds
    admissions: list[tuple[float, int]]  # by route: admission limit and retry policy
    capacity: float = -1.0  # estimate in calls a second; negative: no report yet
    # By backend: successful calls a second, their mean latency, and when that expires (both in nanoseconds).
    success_rates: dict[int, tuple[float, float, int]] = field(default_factory=dict)
    has_new_reports: bool = False
    latency_ok: bool = True
    stats: AttemptStats = field(default_factory=AttemptStats)
    # By zone of the backends.
    stats_by_zone: defaultdict[int, AttemptStats] = field(default_factory=lambda: defaultdict(AttemptStats))
    overloaded: bool = False  # whether too many attempts fail, see OVERLOAD_RATIOS
    local_share: float = 1.0  # part of its calls that goes to its own backends
    remote_weights: list[float] = field(default_factory=list)  # by zone: weight factors of its backends
    mean_queue: float = 0.0  # mean number of calls waiting at a backend of the zone
    peak_weight: float = 0.0  # highest total weight of the zone's ready backends so far
    admitted_rate: float = 0.0  # calls a second that its proxies admit
    warming_at_risk: bool = False  # overloaded, and warming backends could not take the calls


@dataclass(slots=True)
class CandidatePool:
    """The backends that the tables of a zone may use in this tick, for all subsets.

    :ivar ready: all usable backends.
    :ivar local: those of the zone; all of them if it has none.
    :ivar warm: those past their slow start.
    :ivar weights: by backend, with slow start and ejection applied.
    :ivar local_weight: the sum over `local`.
    """

    ready: dict[int, Backend]
    local: dict[int, Backend]
    warm: dict[int, Backend]
    weights: dict[int, float]
    local_weight: float


PoolLookup = Callable[[int, bool], CandidatePool]  # by zone, and whether for routes confined to it


class WeightChange(NamedTuple):
    """A change of one weight in a table; sorts by urgency, then by size with the largest first."""

    rank: int
    negated_size: float
    table: int
    backend: int
    weight: float


@dataclass(slots=True)
class ZoneLoad:
    """Sums over the ready backends and the proxies of a zone."""

    listed: float = 1e-9  # listed weight of the ready backends
    capacity: float = 0.0  # their weight after slow start and ejection
    warming: float = 0.0  # part of the capacity that warming backends have
    warming_limit: float = 0.0  # the same without ejection: what they can take
    queues: list[float] = field(default_factory=list)  # calls waiting at each backend
    call_rate: float = 1e-9  # calls a second of its proxies
    call_rate_squares: float = 0.0  # sum of the squares of its proxies' call rates
