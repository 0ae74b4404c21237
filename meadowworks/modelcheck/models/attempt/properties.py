"""The properties by the names that reports give them."""

from __future__ import annotations

from meadowworks.modelcheck.model import LivenessProperty, Property, steps_starting_with
from meadowworks.modelcheck.models.attempt import state_properties, step_properties
from meadowworks.modelcheck.models.attempt.world import World

PROPERTIES = (
    Property(
        "mutating once",
        "a mutating call never runs twice, whatever is tried again and by whom",
        state_properties.mutating_call_runs_once,
    ),
    Property(
        "one final answer",
        "an asking is told at most one final answer",
        state_properties.one_final_reply,
    ),
    Property(
        "told while waiting",
        "nobody is told who went away, was cut off or was told already",
        step_properties.only_waiting_clients_are_told,
        "step",
    ),
    Property(
        "two further tries",
        "a call has at most as many further tries as the way allows, two at most",
        step_properties.retries_within_policy,
        "step",
    ),
    Property(
        "as ordered",
        "a further try leaves only as the order, the route's kind and proof allow",
        step_properties.retries_are_allowed,
        "step",
    ),
    Property(
        "none to the drained",
        "no try leaves for a backend that the table lacks",
        step_properties.none_to_drained_backend,
        "step",
    ),
    Property(
        "another backend",
        "a further try goes to a backend that was not tried",
        step_properties.retries_go_elsewhere,
        "step",
    ),
    Property(
        "in time",
        "no further try leaves with less time left than one needs",
        step_properties.retries_leave_in_time,
        "step",
    ),
    Property(
        "for somebody",
        "no try leaves for a call that nobody waits for",
        step_properties.attempts_have_waiters,
        "step",
    ),
    Property(
        "truthful",
        "who is told answered has an answer; who is told it never ran, it never will",
        step_properties.replies_are_true,
        "step",
    ),
    Property(
        "precise",
        "who is told that it may have run had a try without proof",
        step_properties.doubts_are_founded,
        "step",
    ),
    Property(
        "not given up early",
        "nobody is told dropped while a try is waited for",
        step_properties.none_dropped_early,
        "step",
    ),
    Property(
        "come back",
        "who is turned away is told when to come back, unless a repeat might run twice",
        step_properties.retry_time_is_named,
        "step",
    ),
    Property(
        "throttled at once",
        "what is not let in is told so in the same step",
        step_properties.rejected_in_same_step,
        "step",
    ),
    Property(
        "nothing held",
        "a call that waits has a try under way: what is given up is told at once",
        state_properties.open_calls_have_attempt_in_flight,
    ),
    Property(
        "within the limit",
        "no call outlives its time limit",
        state_properties.open_calls_within_deadline,
    ),
    Property(
        "one at a time",
        "a call has one try at a time that it waits for",
        state_properties.one_attempt_waited_for,
    ),
    Property(
        "answers kept",
        "an answer that came late is what a repeat is told",
        state_properties.late_answers_are_kept,
    ),
    Property(
        "bounded",
        "no more answers are kept than the bound",
        state_properties.kept_replies_are_bounded,
    ),
)
LIVENESS_PROPERTIES = (
    LivenessProperty(
        "answered at last",
        "every asking that waits at a living proxy gets a final answer, if time goes on",
        World.is_reply_pending,
        (steps_starting_with("pass"),),
    ),
)
