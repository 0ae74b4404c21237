"""The properties of the model: the rules that the policy keeps to, and that its tables are those held."""

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
from meadowworks.modelcheck.models.policy.world import AdmissionSet, World

MIN_ADMISSION = 0.1  # a route's floor, as the policy states it
ADMISSION_TOLERANCE = 0.025  # half the least move of a limit


def has_ready_backend(world: World) -> bool:
    """Whether any backend is ready."""
    return any(state == READY for state, _ in world.listed.values())


def never_without_backend(world: World) -> bool:
    """No proxy lacks a backend for long. The limit runs on while the channel stalls, as the grace does."""
    channel = world.channel
    return all(
        world.now_ns - max(proxy.without_backend_since_ns, channel.last_stalled_ns) <= NO_BACKEND_LIMIT_NS
        for proxy in channel.proxies.values()
        if proxy.without_backend_since_ns is not None
    )


def retries_need_proof(world: World) -> bool:
    """No retry policy beyond the one that retries what has certainly had no effect."""
    return all(
        admission is None or admission[1] <= 1
        for proxy in world.channel.proxies.values()
        for admission in proxy.admissions
    )


def drained_in_time(world: World) -> bool:
    """What drains is out of the tables after the grace, which runs on while the channel stalls."""
    if not has_ready_backend(world):
        return True
    stalled_ns = world.channel.last_stalled_ns
    overdue = {
        backend_name(backend)
        for backend, since_ns in world.removed_since_ns.items()
        if world.now_ns - max(since_ns, stalled_ns) > DRAIN_GRACE_NS
    }
    return not any(proxy.has_backend_in(overdue) for proxy in world.channel.proxies.values())


def drains_first(world: World) -> bool:
    """What drains is out in the step that says so, whatever else waits, as long as the caps leave room."""
    if not has_ready_backend(world):
        return True
    removed = {backend_name(backend) for backend in world.removed_since_ns}
    return all(
        world.channel.has_no_room(world.now_ns, number) or not proxy.has_backend_in(removed)
        for number, proxy in world.channel.proxies.items()
    )


def cold_spared(world: World) -> bool:
    """A cold backend has no more weight than it can bear, as long as the caps leave room to say so."""
    for backend, (_, since_ns) in world.listed.items():
        warm_share = (world.now_ns - since_ns) / SETTINGS.slow_start_ns
        if warm_share >= 1:
            continue
        initial_share = SETTINGS.slow_start_share
        bearable = BACKEND_WEIGHT * (initial_share + (1 - initial_share) * warm_share)
        name = backend_name(backend)
        for number, proxy in world.channel.proxies.items():
            too_heavy = any(table.get(name, 0.0) > bearable + ROUNDING_ERROR for table in proxy.tables)
            if too_heavy and not world.channel.has_no_room(world.now_ns, number):
                return False
    return True


def queue_within_limit(world: World) -> bool:
    """The channel's queue keeps to its limit."""
    return world.channel.backlog_lines <= SETTINGS.queue_limit + ROUNDING_ERROR


def messages_within_limit(world: World) -> bool:
    """Each proxy's messages within the window keep to their limit."""
    return all(
        len(proxy.message_times_ns) <= SETTINGS.message_limit for proxy in world.channel.proxies.values()
    )


def tables_agree(world: World) -> bool:
    """What a proxy holds is what the controller believes it to hold."""
    for number, proxy in world.channel.proxies.items():
        if not world.controller.proxies[number].assigned:
            continue
        for route, table in enumerate(proxy.tables):
            assigned = world.updates.assignments[number][route]
            if assigned is None:
                return False
            believed = world.controller.tables[assigned].items()
            if table != {backend_name(backend): weight for backend, weight in believed}:
                return False
    return True


def admissions_in_range(world: World) -> bool:
    """An admission's limit is a share above 0."""
    return all(0 < outcome.limit <= 1 for outcome in world.outcomes if isinstance(outcome, AdmissionSet))


def important_first(world: World) -> bool:
    """The more important route is let in at least as much as the other."""
    return all(
        not view.admissions or view.admissions[0][0] >= view.admissions[1][0]
        for view in world.controller.views
    )


def budget_in_order(world: World) -> bool:
    """The less important route is let in beyond its floor only if the other is let in whole."""
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
        "no joined proxy lacks a line for longer than the limit while a warm one is ready",
        never_without_backend,
    ),
    Property("no effect twice", "no order says to try again without proof", retries_need_proof, "state"),
    Property(
        "drains kept",
        "past the grace no joined proxy holds a line to what drains or is gone",
        drained_in_time,
    ),
    Property(
        "drains first", "what drains is out of the tables in the step in which it is told", drains_first
    ),
    Property(
        "cold ones spared", "no line to a cold backend weighs more than it can bear at its age", cold_spared
    ),
    Property("queue short", "no more lines wait in the channel than the cap", queue_within_limit),
    Property(
        "few messages",
        "no proxy is sent more messages within the span than the most",
        messages_within_limit,
    ),
    Property("tables held", "a bound proxy holds just what the module believes", tables_agree),
    Property("levels sane", "a level is above nothing and at most whole", admissions_in_range, "step"),
    Property("important first", "a route of more importance is let in at least as much", important_first),
    Property(
        "budget in order",
        "the less important is let in beyond its floor only when the other is let in whole",
        budget_in_order,
    ),
)
