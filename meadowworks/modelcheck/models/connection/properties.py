"""The properties that hold of each state, or of each step's outcomes."""

from __future__ import annotations

from typing import Any, TypeVar

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models.connection.connection import JOINED, NOT_CONNECTED, PROXY, READING, UNKNOWN
from meadowworks.modelcheck.models.connection.outcomes import (
    Acknowledged,
    ChangeWithoutTable,
    Evicted,
    Joined,
    Left,
    MalformedMessage,
    PartialLine,
    Published,
    Unbound,
    UnreadableLine,
    Written,
)
from meadowworks.modelcheck.models.connection.scenarios import LIMITS, MAX_REPORTS
from meadowworks.modelcheck.models.connection.state import BACKEND_NAME, UNBOUND
from meadowworks.modelcheck.models.connection.world import World

OutcomeT = TypeVar("OutcomeT")


def outcomes_of(world: World, kind: type[OutcomeT]) -> list[OutcomeT]:
    """The last step's outcomes of a type."""
    return [outcome for outcome in world.outcomes if isinstance(outcome, kind)]


def published_in_order(world: World) -> bool:
    """A stream joins once, and then leaves once."""
    return all(joined.former_status == UNKNOWN for joined in outcomes_of(world, Joined)) and all(
        left.former_status == JOINED for left in outcomes_of(world, Left)
    )


def newest_stream_used(world: World) -> bool:
    """While the controller takes a connection to be the proxy's, messages go to it."""
    stream = world.streams.by_proxy.get(PROXY)
    if stream is None:
        return world.bound == UNBOUND
    return world.bound != UNBOUND and world.connections[world.bound].mailbox is stream


def replaced_end_ignored(world: World) -> bool:
    """A proxy leaves by the end of its newest stream alone."""
    return all(unbound.connection == unbound.bound for unbound in outcomes_of(world, Unbound))


def no_write_after_end(world: World) -> bool:
    """Whatever is written is written to an open connection."""
    return all(written.was_open for written in outcomes_of(world, Written))


def unidentified_unheard(world: World) -> bool:
    """The controller hears of identified peers alone."""
    return all(published.is_identified for published in outcomes_of(world, Published))


def malformed_costs_itself(world: World) -> bool:
    """A malformed message closes an unidentified connection, and no other."""
    return all(
        bool(message.former_reason) == bool(message.close_reason)
        if message.is_identified
        else bool(message.close_reason)
        for message in outcomes_of(world, MalformedMessage)
    )


def unreadable_lines_end(world: World) -> bool:
    """Unreadable lines close a connection at their limit, which for an unidentified one is the first."""
    for line in outcomes_of(world, UnreadableLine):
        is_over_limit = not line.is_identified or line.line_count >= LIMITS.max_unreadable_lines
        if not line.former_reason and bool(line.close_reason) != is_over_limit:
            return False
    return all(line.close_reason for line in outcomes_of(world, PartialLine))


def unread_bounded(world: World) -> bool:
    """No more stays unread than the limit, and the message that goes beyond it."""
    return all(connection.unread <= LIMITS.max_unsent_bytes + 1 for connection in world.connections)


def descriptors_counted(world: World) -> bool:
    """The count of open connections is right, and within the descriptors."""
    open_count = sum(
        connection.remote != NOT_CONNECTED and not connection.is_lost for connection in world.connections
    )
    return world.connection_limit.open_count == open_count <= world.scenario.descriptors


def peers_not_evicted(world: World) -> bool:
    """Only unidentified connections are evicted."""
    return not any(evicted.is_identified for evicted in outcomes_of(world, Evicted))


def acknowledgements_matched(world: World) -> bool:
    """An acknowledgement of what was never sent on this stream does not count."""
    return all(answer.was_sent for answer in outcomes_of(world, Acknowledged) if answer.is_counted)


def changes_follow_table(world: World) -> bool:
    """A remote end has a table before it is told a change."""
    return not outcomes_of(world, ChangeWithoutTable)


def mailboxes_bounded(world: World) -> bool:
    """No mailbox holds more reports than its limit, nor counts them wrong."""
    mailboxes: list[Mailbox[Any]] = [
        world.controller_mailbox,
        *(connection.mailbox for connection in world.connections),
    ]
    return all(
        mailbox.report_count <= MAX_REPORTS
        and mailbox.report_count == sum(report for report, _ in mailbox.items)
        for mailbox in mailboxes
    )


def is_settled(world: World) -> bool:
    """Whether nothing is under way to the proxy's stream."""
    if world.bound == UNBOUND or world.controller_mailbox.items:
        return False
    connection = world.connections[world.bound]
    return connection.remote == READING and connection.is_open and not connection.mailbox.items


def tables_agree(world: World) -> bool:
    """Once all is settled, the proxy holds the table that it is bound to."""
    return not is_settled(world) or world.connections[world.bound].weights == {BACKEND_NAME: world.weight}


PROPERTIES = (
    Property(
        "in order",
        "the module hears of a stream's joining once, then of its leaving once",
        published_in_order,
        "step",
    ),
    Property("newest", "orders go to the stream that the proxy joined by last", newest_stream_used),
    Property(
        "stays", "the end of a stream that was replaced takes nobody's table", replaced_end_ignored, "step"
    ),
    Property(
        "nothing after the end",
        "nothing is written to a connection that is over",
        no_write_after_end,
        "step",
    ),
    Property(
        "nothing from strangers",
        "nothing is passed on of who has not said who it is",
        unidentified_unheard,
        "step",
    ),
    Property(
        "spoilt alone",
        "a spoilt message costs a peer that message, a stranger its connection",
        malformed_costs_itself,
        "step",
    ),
    Property(
        "rubbish ends",
        "what goes on with what cannot be read is ended, and not before",
        unreadable_lines_end,
        "step",
    ),
    Property("unread bounded", "who reads nothing is ended within the bound", unread_bounded),
    Property(
        "descriptors",
        "no more connections are open than there are descriptors, and all are counted",
        descriptors_counted,
    ),
    Property("peers stay", "no peer is sent away for another's descriptor", peers_not_evicted, "step"),
    Property(
        "marks count",
        "an answer counts only for a mark that was sent on that very stream",
        acknowledgements_matched,
        "step",
    ),
    Property(
        "changes fit", "a change never comes to a stream before its table", changes_follow_table, "step"
    ),
    Property("mailboxes", "no mailbox holds more reports than its bound", mailboxes_bounded),
    Property(
        "tables agree", "with nothing under way, a proxy holds just the table it is bound to", tables_agree
    ),
)
