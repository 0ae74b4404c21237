"""Which connections a world has, what their remote ends may do, and how often."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from functools import cache

from meadowworks.fleet.connection_state import ConnectionLimits

LIMITS = ConnectionLimits(
    max_unsent_bytes=1, max_unreadable_lines=2, max_unrecognized_bytes=1
)  # messages, lines and bytes that a world has room for
MAX_REPORTS = 1  # in a mailbox


@dataclass(frozen=True, slots=True)
class Scenario:
    """The connections of a world, those of the proxy first, and what may happen.

    :ivar descriptors: connections that may be open at once.
    :ivar heartbeats: that each connection may send; so for `unreadable_lines` and `malformed_messages`.
    :ivar reports: acknowledgements and demand reports that each connection may send.
    :ivar weight_changes: of the policy, beside the tables that come with a joining.
    :ivar may_stop_reading: whether a remote end may cease to read.
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
class Budget:
    """What a connection's remote end may still send."""

    heartbeats: int
    unreadable_lines: int
    malformed_messages: int
    reports: int

    @classmethod
    def of(cls, scenario: Scenario) -> Budget:
        """What it may send in all."""
        return cls(
            scenario.heartbeats, scenario.unreadable_lines, scenario.malformed_messages, scenario.reports
        )

    def freeze(self) -> tuple[int, ...]:
        """The arguments that make the same budget again."""
        return self.heartbeats, self.unreadable_lines, self.malformed_messages, self.reports


@cache
def freeze_scenario(scenario: Scenario) -> tuple[int, ...]:
    """What tells a scenario from others."""
    return tuple(int(getattr(scenario, field.name)) for field in fields(scenario))


def scenarios(large: bool) -> tuple[Scenario, ...]:
    """A proxy's two streams, and a stream beside two unidentified connections, short of descriptors."""
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
        ),  # one, and all it may do
        replace(silent, reports=1),  # two streams, and acknowledgements of either's messages
        replace(silent, malformed_messages=1, heartbeats=1),
        replace(silent, may_stop_reading=True, weight_changes=1),
        replace(silent, proxy_connections=1, unidentified_connections=2, heartbeats=1),  # for two descriptors
    )
    if not large:
        return small
    return (
        *small,
        replace(silent, malformed_messages=1, reports=1),
        replace(silent, may_stop_reading=True, weight_changes=2),
    )
