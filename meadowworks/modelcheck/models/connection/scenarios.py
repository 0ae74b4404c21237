"""The scenarios: the connections of a world, and the actions of their remote ends with their limits."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from functools import cache

from meadowworks.fleet.connection_state import ConnectionLimits

# `max_unsent_bytes` counts messages.
LIMITS = ConnectionLimits(max_unsent_bytes=1, max_unreadable_lines=2, max_unrecognized_bytes=1)
MAX_REPORTS = 1  # reports in a mailbox


@dataclass(frozen=True, slots=True)
class Scenario:
    """The connections of a world, those of the proxy first, and the events that can happen.

    :ivar descriptors: number of connections that may be open at the same time.
    :ivar heartbeats: number of heartbeats that each connection may send.
    :ivar unreadable_lines: number of unreadable or overlong lines that each connection may send.
    :ivar malformed_messages: number of malformed messages that each connection may send.
    :ivar reports: number of acknowledgements and demand reports that each connection may send.
    :ivar weight_changes: number of weight changes by the policy, apart from the tables sent at a joining.
    :ivar may_stop_reading: whether a remote end may stop reading.
    """

    proxy_connections: int = 2
    unidentified_connections: int = 0
    descriptors: int = 2
    heartbeats: int = 1
    unreadable_lines: int = 2
    malformed_messages: int = 1
    reports: int = 1
    weight_changes: int = 1
    may_stop_reading: bool = True


@dataclass(slots=True)
class SendBudget:
    """The messages that a connection's remote end may still send."""

    heartbeats: int
    unreadable_lines: int
    malformed_messages: int
    reports: int

    @classmethod
    def of(cls, scenario: Scenario) -> SendBudget:
        """Return the full budget of a connection in a scenario."""
        return cls(
            scenario.heartbeats, scenario.unreadable_lines, scenario.malformed_messages, scenario.reports
        )

    def freeze(self) -> tuple[int, ...]:
        """Return the arguments that construct an equal budget."""
        return self.heartbeats, self.unreadable_lines, self.malformed_messages, self.reports


@cache
def freeze_scenario(scenario: Scenario) -> tuple[int, ...]:
    """Return the values that identify a scenario."""
    return tuple(int(getattr(scenario, field.name)) for field in fields(scenario))


def scenarios(large: bool) -> tuple[Scenario, ...]:
    """Return scenarios of a proxy's two streams, and of a stream with two unidentified connections.

    The latter have fewer descriptors than connections.
    """
    silent = Scenario(
        heartbeats=0,
        unreadable_lines=0,
        malformed_messages=0,
        reports=0,
        weight_changes=0,
        may_stop_reading=False,
    )
    small = (
        Scenario(
            proxy_connections=1, descriptors=1, malformed_messages=0, reports=0
        ),  # one connection, with all actions but malformed messages and reports
        replace(silent, reports=1),  # two streams, each may acknowledge messages of the other
        replace(silent, malformed_messages=1, heartbeats=1),
        replace(silent, may_stop_reading=True, weight_changes=1),
        # three connections for two descriptors
        replace(silent, proxy_connections=1, unidentified_connections=2, heartbeats=1),
    )
    if not large:
        return small
    return (
        *small,
        replace(silent, malformed_messages=1, reports=1),
        replace(silent, may_stop_reading=True, weight_changes=2),
    )
