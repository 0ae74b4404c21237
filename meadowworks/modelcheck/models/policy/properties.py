"""Properties of the policy, and the agreement of its tables with those of the proxies."""

from __future__ import annotations

from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models.policy.deployment import (
    BACKEND_WEIGHT,
    DRAIN_GRACE_NS,
    NO_BACKEND_LIMIT_NS,
    READY,
    ROUNDING_ERROR,
    SETTINGS,
    backend_name,
)
from meadowworks.modelcheck.models.policy.world import AdmissionSet, PolicyWorld

MIN_ADMISSION = 0.1  # minimum admission limit of a route in the policy
ADMISSION_TOLERANCE = 0.025  # half the smallest change of a limit


def has_ready_backend(world: PolicyWorld) -> bool:
    """Return whether any backend is ready."""
    return any(state == READY for state, _ in world.listed.values())


def no_proxy_without_backend(world: PolicyWorld) -> bool:
    """Return whether no proxy has been without a backend for longer than the limit.

    Time in which the channel is stalled does not count.
    """
    channel = world.channel
    return all(
        world.now_ns - max(proxy.without_backend_since_ns, channel.last_stalled_ns) <= NO_BACKEND_LIMIT_NS
        for proxy in channel.proxies.values()
        if proxy.without_backend_since_ns is not None
    )


def only_safe_retries(world: PolicyWorld) -> bool:
    """Return whether proxies only retry attempts that are known to have had no effect."""
    return all(
        admission is None or admission[1] <= 1
        for proxy in world.channel.proxies.values()
        for admission in proxy.admissions
    )


def drained_within_grace(world: PolicyWorld) -> bool:
    """Return whether no proxy has a draining or gone backend after the grace period.

    Time in which the channel is stalled does not count.
    """
    if not has_ready_backend(world):
        return True
    stalled_ns = world.channel.last_stalled_ns
    overdue = {
        backend_name(backend)
        for backend, since_ns in world.removed_since_ns.items()
        if world.now_ns - max(since_ns, stalled_ns) > DRAIN_GRACE_NS
    }
    return not any(proxy.has_backend_in(overdue) for proxy in world.channel.proxies.values())


def drained_at_once(world: PolicyWorld) -> bool:
    """Return whether draining backends are removed in the step that reports them, if the limits allow it."""
    if not has_ready_backend(world):
        return True
    removed = {backend_name(backend) for backend in world.removed_since_ns}
    return all(
        world.channel.is_at_capacity(world.now_ns, number) or not proxy.has_backend_in(removed)
        for number, proxy in world.channel.proxies.items()
    )


def slow_start_respected(world: PolicyWorld) -> bool:
    """Return whether no cold backend exceeds its slow-start weight, if the limits allow an update."""
    for backend, (_, since_ns) in world.listed.items():
        warm_share = (world.now_ns - since_ns) / SETTINGS.slow_start_ns
        if warm_share >= 1:
            continue
        initial_share = SETTINGS.slow_start_share
        max_weight = BACKEND_WEIGHT * (initial_share + (1 - initial_share) * warm_share)
        name = backend_name(backend)
        for number, proxy in world.channel.proxies.items():
            too_heavy = any(table.get(name, 0.0) > max_weight + ROUNDING_ERROR for table in proxy.tables)
            if too_heavy and not world.channel.is_at_capacity(world.now_ns, number):
                return False
    return True


def queue_within_limit(world: PolicyWorld) -> bool:
    """Return whether the channel's queue is within its limit."""
    return world.channel.backlog_lines <= SETTINGS.queue_limit + ROUNDING_ERROR


def messages_within_limit(world: PolicyWorld) -> bool:
    """Return whether the messages to each proxy are within the limit of the window."""
    return all(
        len(proxy.message_times_ns) <= SETTINGS.message_limit for proxy in world.channel.proxies.values()
    )


def tables_match_assignments(world: PolicyWorld) -> bool:
    """Return whether each proxy's tables equal those that the controller assigned to it."""
    for number, proxy in world.channel.proxies.items():
        if not world.controller.proxies[number].assigned:
            continue
        for route, table in enumerate(proxy.tables):
            assigned = world.updates.assignments[number][route]
            if assigned is None:
                return False
            expected = world.controller.tables[assigned].items()
            if table != {backend_name(backend): weight for backend, weight in expected}:
                return False
    return True


def admissions_in_range(world: PolicyWorld) -> bool:
    """Return whether every admission limit that was set is above 0 and at most 1."""
    return all(0 < outcome.limit <= 1 for outcome in world.outcomes if isinstance(outcome, AdmissionSet))


def important_routes_first(world: PolicyWorld) -> bool:
    """Return whether the more important route has at least the admission limit of the other."""
    return all(
        not view.admissions or view.admissions[0][0] >= view.admissions[1][0]
        for view in world.controller.views
    )


def admission_reduced_in_order(world: PolicyWorld) -> bool:
    """Return whether the less important route exceeds its minimum only while the other is not limited."""
    for view in world.controller.views:
        if not view.admissions or all(limit >= 1 for limit, _ in view.admissions):
            continue
        important, less_important = (limit for limit, _ in view.admissions)
        if less_important > MIN_ADMISSION + ADMISSION_TOLERANCE and important < 1:
            return False
    return True


PROPERTIES = (
    Property(
        "never without a backend",
        "no joined proxy is without a backend for longer than the limit while a warm backend is ready",
        no_proxy_without_backend,
    ),
    Property(
        "no effect twice",
        "no retry policy allows retries without proof that an attempt had no effect",
        only_safe_retries,
        "state",
    ),
    Property(
        "drains kept",
        "after the grace period no joined proxy has a weight for a draining or gone backend",
        drained_within_grace,
    ),
    Property(
        "drains first",
        "a draining backend is removed from the tables in the step that reports it",
        drained_at_once,
    ),
    Property(
        "cold ones spared", "no weight of a cold backend exceeds its slow-start weight", slow_start_respected
    ),
    Property("queue short", "no more lines are queued in the channel than the limit", queue_within_limit),
    Property(
        "few messages",
        "no proxy is sent more messages within the window than the limit",
        messages_within_limit,
    ),
    Property(
        "tables held",
        "a proxy with assigned tables has exactly the tables that the controller assigned",
        tables_match_assignments,
    ),
    Property("levels sane", "an admission limit is above 0 and at most 1", admissions_in_range, "step"),
    Property(
        "important first",
        "a more important route has at least the admission limit of a less important one",
        important_routes_first,
    ),
    Property(
        "budget in order",
        "a less important route exceeds its minimum admission only while the other is not limited",
        admission_reduced_in_order,
    ),
)
