"""Watches of groups of keys, which each node answers from the state that it has applied."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from meadowworks.consensus.effects import LeaderChanged
from meadowworks.controlplane.coordination_service import CoordinationService, Unavailable
from meadowworks.controlplane.notifier import Notifier
from meadowworks.controlplane.replicated_state import ReplicatedState
from meadowworks.coordination.commands import Command, PutCell
from meadowworks.coordination.groups import group_of
from meadowworks.coordination.results import CellEvent, CellWritten, GroupEvents, HistoryDiscarded, Result

MAX_WAITING_WATCHES = 1024
MAX_WAIT_MS = 30_000
MIN_CATCH_UP_S = 0.85  # callers turn to another node after one second
MAX_CATCH_UP_S = 2.0
MAX_EVENT_CHARACTERS = 1 << 20  # of the names and values in one answer; the next watch gets the rest
MS_PER_SECOND = 1000


@dataclass(slots=True)
class WaitingWatches:
    """The watches that wait for a put in one group."""

    notifier: Notifier
    count: int = 0


class WatchService:
    """Answers watches.

    A watch first waits until this node has applied everything that was acknowledged before it. A caller may
    resume from each revision that it receives for `historyS`. Events that are put after a watch has begun are
    kept long enough in any case; for older ones, and at the end of a long wait, the leader is asked to keep
    them before they are returned.

    :param replicated: this node's state.
    :param service: provides read barriers, and keeps events.
    :param history_s: how long callers may resume from a revision, in seconds.
    """

    def __init__(self, replicated: ReplicatedState, service: CoordinationService, history_s: float) -> None:
        self._replicated = replicated
        self._service = service
        self._recent_s = history_s / 2  # events are kept for twice `history_s`
        self._by_group: dict[str, WaitingWatches] = {}
        self._is_shutting_down = False
        self.waiting_count = 0
        replicated.observers.append(self)

    async def watch(
        self, group: str, after: int, wait_ms: int
    ) -> GroupEvents | HistoryDiscarded | Unavailable:
        """Return the events of a group above a revision, as soon as there are any.

        :param after: 0 asks only for the present revision.
        :param wait_ms: the time after which there is an answer without events.
        """
        if self._is_shutting_down or self.waiting_count >= MAX_WAITING_WATCHES:
            return Unavailable(is_certain=True)
        self.waiting_count += 1
        try:
            if after == 0:
                return await self._present_revision(group)
            return await self._events_after(group, after, min(max(wait_ms, 0), MAX_WAIT_MS) / MS_PER_SECOND)
        finally:
            self.waiting_count -= 1

    def shut_down(self) -> None:
        """Answer the waiting watches, and refuse new ones."""
        self._is_shutting_down = True
        self._notify_all()

    def on_applied(self, command: Command, result: Result) -> None:
        """Wake the watches of a group after a put."""
        if isinstance(command, PutCell) and isinstance(result, CellWritten):
            waiting = self._by_group.get(group_of(command.name))
            if waiting is not None:
                waiting.notifier.notify_all()

    def on_restored(self) -> None:
        """Wake all watches, as any group may have changed."""
        self._notify_all()

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Do nothing; watches need no leader once they wait."""

    async def _present_revision(self, group: str) -> GroupEvents | Unavailable:
        revision = await self._service.group_revision(group)
        return revision if isinstance(revision, Unavailable) else GroupEvents((), revision)

    async def _events_after(
        self, group: str, after: int, wait_s: float
    ) -> GroupEvents | HistoryDiscarded | Unavailable:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        catch_up_deadline_s = began_s + max(MIN_CATCH_UP_S, min(wait_s, MAX_CATCH_UP_S))
        index = await self._service.barrier_index()
        if isinstance(index, Unavailable):
            return index
        if not await self._replicated.wait_until_applied(index, catch_up_deadline_s - loop.time()):
            return Unavailable(is_certain=True)
        present_revision = self._replicated.state.group_revision(group)
        found = await self._wait_for_events(group, after, began_s + wait_s)
        if isinstance(found, HistoryDiscarded):
            return found
        first_revision = found.events[0].revision if found.events else found.revision
        if first_revision >= present_revision and loop.time() - began_s <= self._recent_s:
            return found  # the puts above all of its revisions came after the watch
        return await self._retained(group, after, first_revision, found)

    async def _retained(
        self, group: str, after: int, first_revision: int, found: GroupEvents
    ) -> GroupEvents | HistoryDiscarded | Unavailable:
        """Return an answer once the leader keeps the events above the first of its revisions."""
        is_kept = await self._service.retain_history(group, after, first_revision)
        if isinstance(is_kept, Unavailable):
            return is_kept
        return found if is_kept else HistoryDiscarded()

    async def _wait_for_events(
        self, group: str, after: int, deadline_s: float
    ) -> GroupEvents | HistoryDiscarded:
        loop = asyncio.get_running_loop()
        waiting = self._by_group.setdefault(group, WaitingWatches(Notifier()))
        waiting.count += 1
        try:
            while True:
                found = self._replicated.state.events_after(group, after)
                if isinstance(found, HistoryDiscarded) or found.events:
                    return found if isinstance(found, HistoryDiscarded) else limited(found)
                remaining_s = deadline_s - loop.time()
                if remaining_s <= 0 or self._is_shutting_down:
                    return found
                await waiting.notifier.wait(remaining_s)
        finally:
            waiting.count -= 1
            if not waiting.count:
                del self._by_group[group]

    def _notify_all(self) -> None:
        for waiting in self._by_group.values():
            waiting.notifier.notify_all()


def limited(found: GroupEvents) -> GroupEvents:
    """Return the first events up to a limit of their size, at least one."""
    selected: list[CellEvent] = []
    characters = 0
    for event in found.events:
        characters += len(event.name) + len(event.value)
        if selected and characters > MAX_EVENT_CHARACTERS:
            return GroupEvents(tuple(selected), selected[-1].revision)
        selected.append(event)
    return found
