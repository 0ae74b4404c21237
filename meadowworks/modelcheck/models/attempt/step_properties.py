"""What must hold of every step: of requests, attempts that leave, and replies."""

from __future__ import annotations

from meadowworks.modelcheck.models.attempt.outcomes import AttemptSent, ReplyDelivered, RequestHandled
from meadowworks.modelcheck.models.attempt.scenarios import MAX_RETRIES_BY_POLICY, MIN_REMAINING_UNITS
from meadowworks.modelcheck.models.attempt.world import World


def attempts_sent(world: World) -> list[AttemptSent]:
    """Return the attempts that left in the last step."""
    return [outcome for outcome in world.outcomes if isinstance(outcome, AttemptSent)]


def replies_delivered(world: World) -> list[ReplyDelivered]:
    """Return the final replies of the last step."""
    return [outcome for outcome in world.outcomes if isinstance(outcome, ReplyDelivered)]


def only_waiting_clients_are_told(world: World) -> bool:
    """No reply goes to a client that went away, lost its proxy or was told already."""
    return all(reply.was_waiting for reply in replies_delivered(world))


def retries_within_policy(world: World) -> bool:
    """A call has no more retries than its retry policy allows."""
    max_retries = MAX_RETRIES_BY_POLICY[world.scenario.retry_policy]
    return all(attempt.prior_attempts <= max_retries for attempt in attempts_sent(world))


def retries_are_allowed(world: World) -> bool:
    """A retry leaves only as the policy in force, the route and the proof allow."""
    return all(attempt.is_allowed for attempt in attempts_sent(world))


def none_to_drained_backend(world: World) -> bool:
    """No attempt leaves for a backend that the table lacks."""
    return all(attempt.is_in_table for attempt in attempts_sent(world))


def retries_go_elsewhere(world: World) -> bool:
    """A retry goes to a backend that was not tried."""
    return all(attempt.is_new_backend for attempt in attempts_sent(world))


def retries_leave_in_time(world: World) -> bool:
    """No retry leaves with less time to the deadline than one needs."""
    retries = [attempt for attempt in attempts_sent(world) if attempt.prior_attempts]
    return all(retry.remaining_units >= MIN_REMAINING_UNITS for retry in retries)


def attempts_have_waiters(world: World) -> bool:
    """No attempt leaves for a call that nobody waits for."""
    return all(attempt.has_waiters for attempt in attempts_sent(world))


def replies_are_true(world: World) -> bool:
    """An answer was received; what is said never to have run never will."""
    for reply in replies_delivered(world):
        if reply.is_answer:
            if not reply.was_answered:
                return False
        elif reply.could_have_run and not reply.may_have_run:
            return False
    return True


def doubts_are_founded(world: World) -> bool:
    """A client is told that its call may have run only if an attempt lacks proof."""
    return all(
        reply.is_answer or not reply.may_have_run or reply.could_have_run or not reply.has_attempts
        for reply in replies_delivered(world)
    )


def none_dropped_early(world: World) -> bool:
    """No call is dropped while an attempt is waited for."""
    return all(reply.is_answer or not reply.is_early for reply in replies_delivered(world))


def retry_time_is_named(world: World) -> bool:
    """A client that gets no answer is told when to come back, exactly if a repeat can't run twice."""
    for reply in replies_delivered(world):
        is_repeat_safe = world.scenario.idempotent or not reply.may_have_run
        if reply.names_retry_time != (not reply.is_answer and is_repeat_safe):
            return False
    return True


def rejected_in_same_step(world: World) -> bool:
    """A new call that is not admitted is told so at once."""
    handled = [outcome for outcome in world.outcomes if isinstance(outcome, RequestHandled)]
    return not any(
        request.is_new_call and not request.is_admitted and request.still_waits for request in handled
    )
