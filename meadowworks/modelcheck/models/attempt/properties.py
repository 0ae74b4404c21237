"""The properties of the attempt model, by their names in reports."""

from __future__ import annotations

from meadowworks.modelcheck.model import LivenessProperty, Property, steps_starting_with
from meadowworks.modelcheck.models.attempt import state_properties, step_properties
from meadowworks.modelcheck.models.attempt.world import World

PROPERTIES = (
    Property(
        "mutating once",
        "a call that is not idempotent never runs twice, whether the proxy or the client retries",
        state_properties.mutating_call_runs_once,
    ),
    Property(
        "one final answer",
        "a request gets at most one final reply",
        state_properties.one_final_reply,
    ),
    Property(
        "told while waiting",
        "no reply goes to a client that has disconnected, lost its proxy or got its reply",
        step_properties.only_waiting_clients_get_replies,
        "step",
    ),
    Property(
        "two further tries",
        "a call has at most as many retries as its policy allows, at most two",
        step_properties.retries_within_policy,
        "step",
    ),
    Property(
        "as ordered",
        "a retry is sent only if the policy in force, the route and the proof allow it",
        step_properties.retries_are_allowed,
        "step",
    ),
    Property(
        "none to the drained",
        "no attempt is sent to a backend that is not in the table",
        step_properties.none_to_drained_backend,
        "step",
    ),
    Property(
        "another backend",
        "a retry goes to a backend without an earlier attempt of the call",
        step_properties.retries_go_elsewhere,
        "step",
    ),
    Property(
        "in time",
        "no retry is sent with less than the minimum time left to the deadline",
        step_properties.retries_leave_in_time,
        "step",
    ),
    Property(
        "for somebody",
        "no attempt is sent for a call without a waiting client",
        step_properties.attempts_have_waiters,
        "step",
    ),
    Property(
        "truthful",
        "an answer came from a backend; a call reported as never run has not run and never will",
        step_properties.replies_are_correct,
        "step",
    ),
    Property(
        "precise",
        "a call is reported as possibly run only if an attempt lacks proof that it never ran",
        step_properties.uncertain_replies_lack_proof,
        "step",
    ),
    Property(
        "not given up early",
        "no call is dropped while it waits for an attempt",
        step_properties.none_dropped_early,
        "step",
    ),
    Property(
        "come back",
        "a reply without an answer names a time to retry, unless a repeat might run twice",
        step_properties.retry_time_is_named,
        "step",
    ),
    Property(
        "throttled at once",
        "a request that is not admitted is rejected in the same step",
        step_properties.rejected_in_same_step,
        "step",
    ),
    Property(
        "nothing held",
        "an open call has an attempt in flight: an abandoned call gets its reply at once",
        state_properties.open_calls_have_attempt_in_flight,
    ),
    Property(
        "within the limit",
        "no call is open at its deadline",
        state_properties.open_calls_within_deadline,
    ),
    Property(
        "one at a time",
        "a call waits for at most one attempt at a time",
        state_properties.one_attempt_waited_for,
    ),
    Property(
        "answers kept",
        "a repeat gets an answer that came late",
        state_properties.late_answers_are_kept,
    ),
    Property(
        "bounded",
        "a proxy keeps no more replies than its bound",
        state_properties.kept_replies_are_bounded,
    ),
)
LIVENESS_PROPERTIES = (
    LivenessProperty(
        "answered at last",
        "every request that waits at a running proxy gets a final reply, if time advances",
        World.is_reply_pending,
        (steps_starting_with("pass"),),
    ),
)
