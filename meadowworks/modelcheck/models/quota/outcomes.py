"""Records of what happened in a step, for the step properties."""

from __future__ import annotations

from typing import NamedTuple


class CallAttempted(NamedTuple):
    """A call tried to start at a holder; the other fields are the holder's state at that moment."""

    started: bool
    in_flight_before: int
    share: int
    is_leased: bool


class GrantReceived(NamedTuple):
    """A grant reached a holder: its number, and the holder's grant numbers before and after it."""

    number_before: int
    grant_number: int
    number_after: int
