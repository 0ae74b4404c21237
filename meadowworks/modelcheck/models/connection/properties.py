"""Properties of every state, or of the outcomes of every step."""

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
    """Return the outcomes of a type in the last step."""
    return [outcome for outcome in world.outcomes if isinstance(outcome, kind)]


def published_in_order(world: World) -> bool:
    """A stream joins once, and then leaves once."""
    return all(joined.former_status == UNKNOWN for joined in outcomes_of(world, Joined)) and all(
        left.former_status == JOINED for left in outcomes_of(world, Left)
    )


def newest_stream_used(world: World) -> bool:
    """Messages go to the connection that the proxy joined last, until the proxy leaves."""
    stream = world.streams.by_proxy.get(PROXY)
    if stream is None:
        return world.bound == UNBOUND
    return world.bound != UNBOUND and world.connections[world.bound].mailbox is stream


def replaced_end_ignored(world: World) -> bool:
    """Only the end of its newest stream unbinds a proxy."""
    return all(unbound.connection == unbound.former_connection for unbound in outcomes_of(world, Unbound))


def no_write_after_end(world: World) -> bool:
    """Data is written only to open connections."""
    return all(written.was_open for written in outcomes_of(world, Written))


def only_identified_publish(world: World) -> bool:
    """Only identified peers publish events to the controller."""
    return all(published.is_identified for published in outcomes_of(world, Published))


def malformed_message_ends_unidentified(world: World) -> bool:
    """A malformed message closes an unidentified connection, but not an identified one."""
    return all(
        bool(message.former_reason) == bool(message.close_reason)
        if message.is_identified
        else bool(message.close_reason)
        for message in outcomes_of(world, MalformedMessage)
    )


def unreadable_lines_end(world: World) -> bool:
    """Unreadable lines close a connection at their limit; for an unidentified one, the first closes it."""
    for line in outcomes_of(world, UnreadableLine):
        is_over_limit = not line.is_identified or line.line_count >= LIMITS.max_unreadable_lines
        if not line.former_reason and bool(line.close_reason) != is_over_limit:
            return False
    return all(line.close_reason for line in outcomes_of(world, PartialLine))


def unread_bounded(world: World) -> bool:
    """The unread messages exceed the limit by at most one."""
    return all(connection.unread <= LIMITS.max_unsent_bytes + 1 for connection in world.connections)


def descriptors_counted(world: World) -> bool:
    """The count of open connections is correct and within the number of descriptors."""
    open_count = sum(
        connection.remote != NOT_CONNECTED and not connection.is_lost for connection in world.connections
    )
    return world.connection_limit.open_count == open_count <= world.scenario.descriptors


def peers_not_evicted(world: World) -> bool:
    """Only unidentified connections are evicted."""
    return not any(evicted.is_identified for evicted in outcomes_of(world, Evicted))


def acknowledgements_matched(world: World) -> bool:
    """An acknowledgement of a nonce that was not sent on the stream does not count."""
    return all(
        acknowledged.was_sent for acknowledged in outcomes_of(world, Acknowledged) if acknowledged.is_counted
    )


def changes_follow_table(world: World) -> bool:
    """A remote end receives a table before any change of it."""
    return not outcomes_of(world, ChangeWithoutTable)


def mailboxes_bounded(world: World) -> bool:
    """No mailbox holds more reports than its limit, and each counts its reports correctly."""
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
    """Return whether no message to the bound stream is in flight."""
    if world.bound == UNBOUND or world.controller_mailbox.items:
        return False
    connection = world.connections[world.bound]
    return connection.remote == READING and connection.is_open and not connection.mailbox.items


def tables_agree(world: World) -> bool:
    """When no message is in flight, the proxy has the table that it is bound to."""
    return not is_settled(world) or world.connections[world.bound].weights == {BACKEND_NAME: world.weight}


PROPERTIES = (
    Property(
        "in order",
        "the controller handles one joining of a stream, then one leaving",
        published_in_order,
        "step",
    ),
    Property("newest", "updates go to the stream that the proxy joined last", newest_stream_used),
    Property("stays", "the end of a replaced stream does not unbind the proxy", replaced_end_ignored, "step"),
    Property(
        "nothing after the end",
        "nothing is written to a connection that has ended",
        no_write_after_end,
        "step",
    ),
    Property(
        "nothing from strangers",
        "no event of an unidentified peer reaches the controller",
        only_identified_publish,
        "step",
    ),
    Property(
        "spoilt alone",
        "a malformed message closes the connection only if the peer is unidentified",
        malformed_message_ends_unidentified,
        "step",
    ),
    Property(
        "rubbish ends",
        "a connection is closed when its unreadable lines reach their limit, and not before",
        unreadable_lines_end,
        "step",
    ),
    Property("unread bounded", "a connection that is not read is closed within the limit", unread_bounded),
    Property(
        "descriptors",
        "the open connections are counted, and not more than the descriptors",
        descriptors_counted,
    ),
    Property("peers stay", "no identified peer is evicted", peers_not_evicted, "step"),
    Property(
        "marks count",
        "an acknowledgement counts only if its nonce was sent on the same stream",
        acknowledgements_matched,
        "step",
    ),
    Property(
        "changes fit", "a stream receives its table before any change of it", changes_follow_table, "step"
    ),
    Property("mailboxes", "no mailbox holds more reports than its limit", mailboxes_bounded),
    Property(
        "tables agree", "when no message is in flight, a proxy has the table it is bound to", tables_agree
    ),
)
