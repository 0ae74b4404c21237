"""The model `priorities`: one admission ratio, shared out over the priorities of a service's routes."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any

from meadowworks.load_balancing.priority_admission import RESERVED_SHARE, PriorityAdmission
from meadowworks.modelcheck.model import Model, Property, Step

PRIORITIES = (0, 1, 2)
SERVICE_RATIOS = (1.0, 0.9, 0.5, 0.1)
MAX_REQUESTS = 2  # of each priority
MAX_TICKS = 2
TOLERANCE = 1e-9


class AdmissionWorld:
    """Requests of three priorities at one proxy, under a ratio that changes."""

    def __init__(self) -> None:
        self.admission = PriorityAdmission()
        self.service_ratio = 1.0
        self.ticks_left = MAX_TICKS
        self.outcomes: list[tuple[Any, ...]] = []

    def enabled(self) -> Iterable[Step]:
        """Requests come, the policy orders another ratio, and time passes."""
        for priority in PRIORITIES:
            if self.admission.counts.get(priority, 0) < MAX_REQUESTS:
                yield "request", priority
        for number, ratio in enumerate(SERVICE_RATIOS):
            if ratio != self.service_ratio:
                yield "order", number
        if self.ticks_left:
            yield ("tick",)

    def take_step(self, step: Step) -> None:
        """Take one of the steps that `enabled` named."""
        match step:
            case ("request", priority):
                self.admission.record_request(priority)
            case ("order", number):
                self.service_ratio = SERVICE_RATIOS[number]
            case _:
                self.ticks_left -= 1
                self.admission.decay()

    def freeze(self) -> Any:
        """A copy of what changes."""
        return dict(self.admission.counts), self.service_ratio, self.ticks_left

    def key(self) -> Hashable:
        """The state as numbers."""
        counts = tuple(sorted((p, round(count, 6)) for p, count in self.admission.counts.items()))
        return counts, self.service_ratio, self.ticks_left

    def ratios(self) -> dict[int, float]:
        """The ratio of each priority that has been asked for."""
        return {
            priority: self.admission.ratio(priority, self.service_ratio) for priority in self.admission.counts
        }


def thaw(state: Any) -> AdmissionWorld:
    """The world that `freeze` has kept."""
    world = AdmissionWorld()
    counts, world.service_ratio, world.ticks_left = state
    world.admission.counts = dict(counts)
    return world


def urgent_first(world: AdmissionWorld) -> bool:
    """A priority is granted no less than any that is less urgent."""
    granted = [ratio for _, ratio in sorted(world.ratios().items())]
    return all(granted[k] >= granted[k + 1] - TOLERANCE for k in range(len(granted) - 1))


def one_budget(world: AdmissionWorld) -> bool:
    """What all priorities are granted together is the service's ratio."""
    counts = world.admission.counts
    if not counts:
        return True
    granted = sum(counts[priority] * ratio for priority, ratio in world.ratios().items())
    return abs(granted / sum(counts.values()) - world.service_ratio) < TOLERANCE


def none_starved(world: AdmissionWorld) -> bool:
    """Each priority is granted its reserved part, and none more than all of its requests."""
    least = RESERVED_SHARE * world.service_ratio - TOLERANCE
    return all(least <= ratio <= 1 + TOLERANCE for ratio in world.ratios().values())


PROPERTIES = (
    Property("urgent first", "a more urgent request is admitted no less often", urgent_first),
    Property("one budget", "all priorities together are granted the service's ratio", one_budget),
    Property("none starved", "each priority is granted its reserved part", none_starved),
)


def describe_step(step: Step) -> str:
    """A step in plain words."""
    match step:
        case ("request", priority):
            return f"a request of priority {priority} comes"
        case ("order", number):
            return f"the policy admits {SERVICE_RATIOS[number]:.0%} of the service's requests"
    return "an interval passes"


def model(large: bool) -> Model:  # noqa: ARG001  # one size: it is small
    """The model, as the checker runs it."""
    return Model(
        "priorities",
        "an admission ratio by priority",
        lambda: [AdmissionWorld()],
        thaw,
        describe_step,
        PROPERTIES,
    )
