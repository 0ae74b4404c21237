"""The model `priorities`: an admission ratio distributed over the priorities of a service's routes."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any

from meadowworks.load_balancing.priority_admission import RESERVED_SHARE, PriorityAdmission
from meadowworks.modelcheck.model import Model, Property, Step

PRIORITIES = (0, 1, 2)
SERVICE_RATIOS = (1.0, 0.9, 0.5, 0.1)
MAX_REQUESTS = 2  # per priority
MAX_TICKS = 2
TOLERANCE = 1e-9


class AdmissionWorld:
    """Requests of three priorities at a proxy, with a changing admission ratio."""

    def __init__(self) -> None:
        self.admission = PriorityAdmission()
        self.service_ratio = 1.0
        self.ticks_left = MAX_TICKS
        self.outcomes: list[tuple[Any, ...]] = []

    def enabled(self) -> Iterable[Step]:
        """Return the enabled steps: requests, changes of the service's ratio, and ticks."""
        for priority in PRIORITIES:
            if self.admission.counts.get(priority, 0) < MAX_REQUESTS:
                yield "request", priority
        for number, ratio in enumerate(SERVICE_RATIOS):
            if ratio != self.service_ratio:
                yield "order", number
        if self.ticks_left:
            yield ("tick",)

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        match step:
            case ("request", priority):
                self.admission.record_request(priority)
            case ("order", number):
                self.service_ratio = SERVICE_RATIOS[number]
            case _:
                self.ticks_left -= 1
                self.admission.decay()

    def freeze(self) -> Any:
        """Return a copy of the mutable state."""
        return dict(self.admission.counts), self.service_ratio, self.ticks_left

    def key(self) -> Hashable:
        """Return a value that is equal for worlds in the same state."""
        counts = tuple(sorted((p, round(count, 6)) for p, count in self.admission.counts.items()))
        return counts, self.service_ratio, self.ticks_left

    def ratios(self) -> dict[int, float]:
        """Return the ratio of each priority that has had requests."""
        return {
            priority: self.admission.ratio(priority, self.service_ratio) for priority in self.admission.counts
        }


def thaw(state: Any) -> AdmissionWorld:
    """Rebuild a world from the result of `freeze`."""
    world = AdmissionWorld()
    counts, world.service_ratio, world.ticks_left = state
    world.admission.counts = dict(counts)
    return world


def urgent_priorities_first(world: AdmissionWorld) -> bool:
    """Return whether no priority is granted less than a less urgent one."""
    granted = [ratio for _, ratio in sorted(world.ratios().items())]
    return all(granted[k] >= granted[k + 1] - TOLERANCE for k in range(len(granted) - 1))


def ratios_add_up_to_service_ratio(world: AdmissionWorld) -> bool:
    """Return whether the priorities together are granted the service's ratio."""
    counts = world.admission.counts
    if not counts:
        return True
    granted = sum(counts[priority] * ratio for priority, ratio in world.ratios().items())
    return abs(granted / sum(counts.values()) - world.service_ratio) < TOLERANCE


def reserved_share_granted(world: AdmissionWorld) -> bool:
    """Return whether each priority is granted its reserved share, and at most all of its requests."""
    min_ratio = RESERVED_SHARE * world.service_ratio - TOLERANCE
    return all(min_ratio <= ratio <= 1 + TOLERANCE for ratio in world.ratios().values())


PROPERTIES = (
    Property("urgent first", "a more urgent request is admitted at least as often", urgent_priorities_first),
    Property(
        "one budget",
        "all priorities together are granted the service's ratio",
        ratios_add_up_to_service_ratio,
    ),
    Property("none starved", "each priority is granted its reserved share", reserved_share_granted),
)


def describe_step(step: Step) -> str:
    """Describe a step in words."""
    match step:
        case ("request", priority):
            return f"a request of priority {priority} arrives"
        case ("order", number):
            return f"the policy admits {SERVICE_RATIOS[number]:.0%} of the service's requests"
    return "an interval passes"


def model(large: bool) -> Model:  # noqa: ARG001  # there is no larger model
    """Return the model as the checker explores it."""
    return Model(
        "priorities",
        "an admission ratio by priority",
        lambda: [AdmissionWorld()],
        thaw,
        describe_step,
        PROPERTIES,
    )
