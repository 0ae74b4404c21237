"""Records of what happened in a step, for the step properties."""

from __future__ import annotations

from typing import NamedTuple


class RequestHandled(NamedTuple):
    """A client's request reached a proxy.

    :ivar is_new_call: whether the proxy had no state of the call.
    :ivar is_admitted: whether the step's draw admits the request.
    :ivar still_waits: whether the client got no reply in this step.
    """

    is_new_call: bool
    is_admitted: bool
    still_waits: bool


class AttemptSent(NamedTuple):
    """A proxy sent an attempt.

    :ivar prior_attempts: number of earlier attempts of the same call by this proxy.
    :ivar is_allowed: whether the retry policy, the route and the proof about the prior attempts allow it.
    :ivar is_in_table: whether the backend is in the route's table.
    :ivar is_new_backend: whether no prior attempt was sent to the backend.
    :ivar remaining_units: time to the call's deadline.
    :ivar has_waiters: whether a client waits for the call's outcome.
    """

    prior_attempts: int
    is_allowed: bool
    is_in_table: bool
    is_new_backend: bool
    remaining_units: int
    has_waiters: bool


class ReplyDelivered(NamedTuple):
    """A proxy sent the final reply to a client.

    :ivar kind: as in `FinalReply`, like `may_have_run`.
    :ivar names_retry_time: whether the reply names a time to retry.
    :ivar could_have_run: whether an attempt of the call actually lacks proof that it never ran.
    :ivar has_attempts: whether the proxy has attempts of the call.
    :ivar was_answered: whether one of these attempts was answered.
    :ivar is_early: whether one of these attempts was cancelled before its timeout.
    :ivar was_waiting: whether the client waited for a reply.
    """

    kind: str
    may_have_run: bool
    names_retry_time: bool
    could_have_run: bool
    has_attempts: bool
    was_answered: bool
    is_early: bool
    was_waiting: bool

    @property
    def is_answer(self) -> bool:
        """Whether the reply is the backend's answer."""
        return self.kind == "answered"
