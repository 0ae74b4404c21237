"""Watches: complete events from the applied state, after everything acknowledged before the watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from meadowworks.controlplane import coordination_service, leader_calls, leader_duties, watch_service
from meadowworks.controlplane.coordination_service import Unavailable
from meadowworks.coordination import cells
from meadowworks.coordination.commands import DiscardHistory, PutCell
from meadowworks.coordination.results import CellEvent, GroupEvents, HistoryDiscarded
from tests.gateway.fake_log import HISTORY_S, Node, cluster
from tests.gateway.helpers import wait_until

A, B = "a:1", "b:1"
NOTHING_DONE = Unavailable(is_certain=True)


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):
            await test()

    asyncio.run(bounded())


async def put(node: Node, *values: str) -> None:
    for value in values:
        await node.service.submit(PutCell("g.k", value))


def events(*revisions: int) -> tuple[CellEvent, ...]:
    return tuple(CellEvent("g.k", f"v{revision}", revision) for revision in revisions)


async def waiting_watch(node: Node, after: int) -> asyncio.Task[Any]:
    """Return a watch that waits for a put, up to half a minute."""
    watch = asyncio.ensure_future(node.watches.watch("g.", after, 30_000))
    await wait_until(lambda: "g." in node.watches._by_group, "the watch waits")
    return watch


def test_a_watch_returns_all_events_above_a_revision_or_the_present_revision() -> None:
    async def test() -> None:
        _, _, (a, b) = cluster(A, B, leader=A)
        await put(a, "v1", "v2", "v3")
        assert await b.watches.watch("g.", 1, 0) == GroupEvents(events(2, 3), 3)
        assert await b.watches.watch("g.", 0, 30_000) == GroupEvents((), 3)
        assert await b.watches.watch("g.", 3, 10) == GroupEvents((), 3)
        assert await b.watches.watch("other.", 0, 0) == GroupEvents((), 0)
        await a.service.submit(DiscardHistory(2))
        assert await b.watches.watch("g.", 1, 0) == HistoryDiscarded()
        assert await b.watches.watch("g.", 2, 0) == GroupEvents(events(3), 3)

    run(test)


def test_a_waiting_watch_ends_with_the_next_put_of_its_group() -> None:
    async def test() -> None:
        _, _, (a, b) = cluster(A, B, leader=A)
        await put(a, "v1")
        watch = await waiting_watch(b, after=1)
        await a.service.submit(PutCell("other.k", "v"))
        assert not watch.done()
        await put(a, "v2")
        assert await watch == GroupEvents(events(2), 2)
        assert not b.watches._by_group

    run(test)


def test_a_watch_first_waits_until_the_node_has_applied_what_was_acknowledged() -> None:
    async def test() -> None:
        _, _, (a, b) = cluster(A, B, leader=A)
        b.is_paused = True
        await put(a, "v1", "v2")
        watch = asyncio.ensure_future(b.watches.watch("g.", 1, 0))
        await wait_until(lambda: b.watches.waiting_count == 1, "the watch has begun")
        b.apply_all()
        assert await watch == GroupEvents(events(2), 2)

    run(test)


def test_a_watch_is_refused_while_the_node_lags_or_has_no_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_service, "MIN_CATCH_UP_S", 0.05)
    monkeypatch.setattr(coordination_service, "CALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        log, _, (a, b) = cluster(A, B, leader=A)
        b.is_paused = True
        await put(a, "v1", "v2")
        assert await b.watches.watch("g.", 1, 0) == NOTHING_DONE
        log.elect("")
        assert await a.watches.watch("g.", 1, 0) == NOTHING_DONE
        assert await a.watches.watch("g.", 0, 0) == NOTHING_DONE

    run(test)


def test_too_many_watches_are_refused_and_a_shutdown_answers_the_waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_service, "MAX_WAITING_WATCHES", 1)

    async def test() -> None:
        _, _, (a, _) = cluster(A, B, leader=A)
        await put(a, "v1")
        watch = await waiting_watch(a, after=1)
        assert await a.watches.watch("g.", 0, 0) == NOTHING_DONE
        a.watches.shut_down()
        assert await watch == GroupEvents((), 1)
        assert await a.watches.watch("g.", 0, 0) == NOTHING_DONE

    run(test)


def test_a_large_answer_ends_at_a_revision_from_which_the_next_watch_resumes() -> None:
    long = "x" * (watch_service.MAX_EVENT_CHARACTERS // 2)
    found = GroupEvents(tuple(CellEvent("g.k", long, revision) for revision in (4, 5, 6)), 6)
    first = watch_service.limited(found)
    assert [event.revision for event in first.events] == [4]
    assert first.revision == 4


LONG = "x" * (watch_service.MAX_EVENT_CHARACTERS // 2)


class Clock:
    """The clock of the leaders."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> int:
        return int(self.now_s * 1_000_000_000)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(leader_duties, "now_ns", clock)
    monkeypatch.setattr(leader_calls, "now_ns", clock)
    return clock


def run_duties(clock: Clock, now_s: float, *nodes: Node) -> None:
    clock.now_s = now_s
    for node in nodes:
        node.duties.run()


async def put_long(node: Node, count: int) -> None:
    for number in range(count):
        await node.service.submit(PutCell("g.k", f"{number}{LONG}"))


# review/3: events were discarded by the age of the put, and an answer that ended at its size limit returned
# a revision of any age. Its watcher got 410 for the revision 15 s after it had received it.
@pytest.mark.parametrize("watcher_node", [0, 1])
def test_a_watch_may_resume_for_history_s_from_a_cut_answer(clock: Clock, watcher_node: int) -> None:
    async def test() -> None:
        _, _, nodes = cluster(A, B, leader=A)
        await put_long(nodes[0], 6)
        run_duties(clock, 1000, *nodes)
        run_duties(clock, 1037, *nodes)
        watches, revision = nodes[watcher_node].watches, 1
        while revision < 6:
            found = await watches.watch("g.", revision, 0)
            assert isinstance(found, GroupEvents), revision
            assert [event.revision for event in found.events] == [revision + 1]
            revision = found.revision
            run_duties(clock, clock.now_s + HISTORY_S, *nodes)
        assert await watches.watch("g.", 1, 0) == HistoryDiscarded()

    run(test)


def test_a_watch_may_resume_from_each_event_of_an_answer(clock: Clock) -> None:
    async def test() -> None:
        _, _, (a, b) = cluster(A, B, leader=A)
        await put(a, "v1", "v2", "v3")
        run_duties(clock, 1000, a)
        run_duties(clock, 1037, a)
        assert await b.watches.watch("g.", 1, 0) == GroupEvents(events(2, 3), 3)
        run_duties(clock, 1037 + HISTORY_S, a)
        assert await b.watches.watch("g.", 2, 0) == GroupEvents(events(3), 3)

    run(test)


def test_a_watch_may_resume_after_a_change_of_leader(clock: Clock) -> None:
    async def test() -> None:
        log, _, (a, b) = cluster(A, B, leader=A)
        await put_long(a, 4)
        run_duties(clock, 1000, a, b)
        run_duties(clock, 1037, a, b)
        assert isinstance(await a.watches.watch("g.", 1, 0), GroupEvents)
        log.elect(B)
        run_duties(clock, 1038, a, b)
        run_duties(clock, 1037 + HISTORY_S, a, b)
        assert isinstance(await a.watches.watch("g.", 2, 0), GroupEvents)

    run(test)


# The state of a node that is cut off stays behind, so what it returns at the end of a wait may be old.
@pytest.mark.parametrize("has_events", [False, True])
def test_an_answer_after_a_long_wait_is_retained_by_the_leader(
    clock: Clock, monkeypatch: pytest.MonkeyPatch, has_events: bool
) -> None:
    async def test() -> None:
        _, _, (a, b) = cluster(A, B, leader=A)
        await put(a, "v1")
        b.watches._recent_s = 0.0
        watch = await waiting_watch(b, after=1)
        b.is_paused = True
        await put(a, "v2", "v3", "v4")
        run_duties(clock, 1000, a)
        run_duties(clock, 1037, a)
        if has_events:
            b.replicated.on_entries(tuple(b.log.entries[1:2]))
        else:
            b.watches.shut_down()
        found = await watch
        assert isinstance(found, GroupEvents)
        b.is_paused = False
        b.apply_all()
        run_duties(clock, 1037 + HISTORY_S, a)
        b.watches._is_shutting_down = False
        assert isinstance(await b.watches.watch("g.", found.revision, 0), GroupEvents)

    run(test)


def test_a_recent_answer_needs_no_call_to_the_leader(clock: Clock) -> None:
    async def test() -> None:
        _, peers, (a, b) = cluster(A, B, leader=A)
        await put(a, "v1")
        watch = await waiting_watch(b, after=1)
        call_count = len(peers.calls)
        await put(a, "v2")
        assert await watch == GroupEvents(events(2), 2)
        assert len(peers.calls) == call_count

    run(test)


def test_old_events_are_not_returned_while_their_discard_is_proposed(clock: Clock) -> None:
    async def test() -> None:
        log, _, (a, b) = cluster(A, B, leader=A)
        await put(a, "v1", "v2", "v3")
        run_duties(clock, 1000, a)
        log.holds_back = True
        run_duties(clock, 1040, a)
        watch = asyncio.ensure_future(b.watches.watch("g.", 1, 0))
        await asyncio.sleep(0)
        log.commit()
        a.run_effects()
        assert await watch == HistoryDiscarded()

    run(test)


# Otherwise slow watchers would hold the history at its bound, where puts are refused.
def test_a_watch_that_is_too_late_gets_410_while_half_of_the_bound_is_taken(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        _, _, (a, _) = cluster(A, B, leader=A)
        await put_long(a, 6)
        run_duties(clock, 1000, a)
        run_duties(clock, 1020, a)
        assert isinstance(await a.watches.watch("g.", 2, 0), GroupEvents)
        monkeypatch.setattr(cells, "MAX_EVENTS", 12)
        run_duties(clock, 1037, a)
        assert await a.watches.watch("g.", 1, 0) == HistoryDiscarded()
        assert isinstance(await a.watches.watch("g.", 3, 0), GroupEvents)  # received at 1020

    run(test)


def test_a_watcher_with_cut_answers_reaches_the_present_while_puts_go_on() -> None:
    async def test() -> None:
        _, _, (a, b) = cluster(A, B, leader=A)
        await put_long(a, 6)
        revision, puts = 1, 6
        while revision < puts and puts < 12:
            found = await b.watches.watch("g.", revision, 0)
            assert isinstance(found, GroupEvents)
            assert found.events[0].revision == revision + 1
            revision = found.revision
            if puts < 9:
                await a.service.submit(PutCell("g.k", f"more {puts}{LONG}"))
                puts += 1
        assert revision == puts == 9

    run(test)
