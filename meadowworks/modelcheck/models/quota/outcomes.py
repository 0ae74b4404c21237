"""What came of a step, for the properties that are checked on steps."""

from __future__ import annotations

from typing import NamedTuple


class CallAttempted(NamedTuple):
    """A call wanted to start at a holder, as the holder was at that moment."""

    started: bool
    in_flight_before: int
    share: int
    is_leased: bool


class GrantReceived(NamedTuple):
    """A grant reached a holder: its number, and that of the grant that the holder went and goes by."""

    number_before: int
    grant_number: int
    number_after: int
