"""Properties of every step: of requests, sent attempts and replies."""

from __future__ import annotations

from meadowworks.modelcheck.models.attempt.outcomes import AttemptSent, ReplyDelivered, RequestHandled
from meadowworks.modelcheck.models.attempt.scenarios import MAX_RETRIES_BY_POLICY, MIN_REMAINING_UNITS
from meadowworks.modelcheck.models.attempt.world import World


def attempts_sent(world: World) -> list[AttemptSent]:
    """Return the attempts that the last step sent."""
    return [outcome for outcome in world.outcomes if isinstance(outcome, AttemptSent)]


def replies_delivered(world: World) -> list[ReplyDelivered]:
    """Return the final replies of the last step."""
    return [outcome for outcome in world.outcomes if isinstance(outcome, ReplyDelivered)]


def only_waiting_clients_get_replies(world: World) -> bool:
    """No reply goes to a client that has disconnected, lost its proxy or got its reply."""
    return all(reply.was_waiting for reply in replies_delivered(world))


def retries_within_policy(world: World) -> bool:
    """A call has no more retries than its retry policy allows."""
    max_retries = MAX_RETRIES_BY_POLICY[world.scenario.retry_policy]
    return all(attempt.prior_attempts <= max_retries for attempt in attempts_sent(world))


def retries_are_allowed(world: World) -> bool:
    """A retry is sent only if the policy in force, the route and the proof allow it."""
    return all(attempt.is_allowed for attempt in attempts_sent(world))


def none_to_drained_backend(world: World) -> bool:
    """No attempt is sent to a backend that is not in the table."""
    return all(attempt.is_in_table for attempt in attempts_sent(world))


def retries_go_elsewhere(world: World) -> bool:
    """A retry goes to a backend without an earlier attempt of the call."""
    return all(attempt.is_new_backend for attempt in attempts_sent(world))


def retries_leave_in_time(world: World) -> bool:
    """No retry is sent with less than the minimum time left to the deadline."""
    retries = [attempt for attempt in attempts_sent(world) if attempt.prior_attempts]
    return all(retry.remaining_units >= MIN_REMAINING_UNITS for retry in retries)


def attempts_have_waiters(world: World) -> bool:
    """No attempt is sent for a call without a waiting client."""
    return all(attempt.has_waiters for attempt in attempts_sent(world))


def replies_are_correct(world: World) -> bool:
    """An answer came from a backend; a call reported as never run has not run and never will."""
    for reply in replies_delivered(world):
        if reply.is_answer:
            if not reply.was_answered:
                return False
        elif reply.could_have_run and not reply.may_have_run:
            return False
    return True


def uncertain_replies_lack_proof(world: World) -> bool:
    """A call is reported as possibly run only if an attempt lacks proof that it never ran."""
    return all(
        reply.is_answer or not reply.may_have_run or reply.could_have_run or not reply.has_attempts
        for reply in replies_delivered(world)
    )


def none_dropped_early(world: World) -> bool:
    """No call is dropped while it waits for an attempt."""
    return all(reply.is_answer or not reply.is_early for reply in replies_delivered(world))


def retry_time_is_named(world: World) -> bool:
    """A reply without an answer names a time to retry exactly if a repeat can't run twice."""
    for reply in replies_delivered(world):
        is_repeat_safe = world.scenario.idempotent or not reply.may_have_run
        if reply.names_retry_time != (not reply.is_answer and is_repeat_safe):
            return False
    return True


def rejected_in_same_step(world: World) -> bool:
    """A new call that is not admitted is rejected in the same step."""
    handled = [outcome for outcome in world.outcomes if isinstance(outcome, RequestHandled)]
    return not any(
        request.is_new_call and not request.is_admitted and request.still_waits for request in handled
    )
