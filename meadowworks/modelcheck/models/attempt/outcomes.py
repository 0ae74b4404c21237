"""What came of a step, for the properties that are checked on steps."""

from __future__ import annotations

from typing import NamedTuple


class RequestHandled(NamedTuple):
    """A client's request reached a proxy.

    :ivar is_new_call: the proxy knew nothing of the call.
    :ivar is_admitted: by what was drawn.
    :ivar still_waits: the client was not told anything in this step.
    """

    is_new_call: bool
    is_admitted: bool
    still_waits: bool


class AttemptSent(NamedTuple):
    """A proxy sent an attempt.

    :ivar prior_attempts: of the same call by this proxy.
    :ivar is_allowed: by the retry policy, the route and what is proved of the prior attempts.
    :ivar is_in_table: the backend is in the route's table.
    :ivar is_new_backend: none of the prior attempts went there.
    :ivar remaining_units: to the call's deadline.
    :ivar has_waiters: somebody waits for the call's outcome.
    """

    prior_attempts: int
    is_allowed: bool
    is_in_table: bool
    is_new_backend: bool
    remaining_units: int
    has_waiters: bool


class ReplyDelivered(NamedTuple):
    """A proxy told a client the final reply.

    :ivar kind: `FinalReply.kind`, as are the next two.
    :ivar names_retry_time: whether the client was told when to come back.
    :ivar could_have_run: an attempt of the call has truly no proof that it never ran.
    :ivar has_attempts: the proxy knows attempts of the call.
    :ivar was_answered: one of them was answered.
    :ivar is_early: one of them was cancelled before its wait was over.
    :ivar was_waiting: the client waited for a reply.
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
        """Whether it was the backend's answer."""
        return self.kind == "answered"
