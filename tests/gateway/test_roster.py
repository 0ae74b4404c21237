"""Drains and leaves outlive any loss of power that may be; beats and leaves by ids that nobody knows."""

from __future__ import annotations

import asyncio
import json
import shutil
import sqlite3
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from meadowworks.controlplane.api import ApiReply, ApiRequest
from meadowworks.controlplane.async_store import AsyncStore
from meadowworks.controlplane.backends_resource import BackendsResource
from meadowworks.controlplane.drain_service import DrainService, decode_rows
from meadowworks.gossip.updates import KeyUpdate, UpdateStore
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import (
    MAX_UNKNOWN_DEPARTURES,
    RETENTION_NS,
    CallAccepted,
    HeartbeatRegistry,
    InvalidCall,
    RegistryFull,
)
from meadowworks.registry.zone_redirects import REDIRECT_BACKOFF_NS, ZoneRedirects
from meadowworks.storage.sqlite_store import SqliteStore
from tests.gateway.helpers import SECOND, until


def beat(state: str = "up", calls: int = 1, **rest: Any) -> dict[str, Any]:
    details = {"svc": "s", "ver": "v1", "zone": "north", "capacity": 2}
    return {
        "addr": "10.0.0.9:80",
        "details": details,
        "status": {"state": state, "calls": calls, "warmupMs": 0},
        **rest,
    }


class Box:
    """What a signalbox keeps of lives, wired as in `signalbox.program`, without doors."""

    def __init__(self, host: str, life: int = 1, rows: dict[str, Any] | None = None) -> None:
        self.host, self.now = host, 0
        self.news = UpdateStore(f"{host}.{life}")
        self.lives = BackendDirectory(lambda name: 0, lambda: 0)
        self.fences = DrainLog(self.news.source_id)
        self.news.update_listeners += [
            self.lives.on_update,
            lambda event: self.fences.on_update(self.now, event),
        ]
        self.news.version_listeners.append(self.fences.on_version)
        self.beats = HeartbeatRegistry(self.news.publish, 1000, self.fences.state, self.known, 4)
        self.rows: dict[str, Any] = dict(rows or {})
        self.fences.restore(0, self.rows)
        self.beats.restore(0, self.rows)

    def known(self, ident: str) -> bool:
        return self.lives.is_known(ident) or ident in self.fences.records

    def sync(self) -> None:
        while batch := self.fences.next_batch():
            self.rows = {k: v for k, v in {**self.rows, **batch.rows}.items() if k not in batch.deleted}
            self.fences.on_written()

    def pull(self, other: Box, reply: bool = True) -> None:
        """Asks another for news, with a receipt for its process; the reply may be lost."""
        other.fences.on_acknowledgement(self.host, *self.fences.acknowledgement(other.news.source_id))
        if reply:
            for piece in other.news.deltas_since(self.news.remote_version_vector(), self.news.source_id):
                self.news.apply(0, piece)

    def kept(
        self, found: Any, voters: tuple[str, ...] = ("b",), tolerate: int = 1, votes: bool = True
    ) -> bool:
        assert isinstance(found, CallAccepted) and found.version
        return self.fences.is_replicated(found.version, voters, tolerate, votes)


def test_a_drain_is_kept_only_once_both_disks_have_it_whatever_order_things_come_in() -> None:
    one, other = Box("a"), Box("b")
    one.beats.heartbeat(0, "i", beat())
    other.pull(one)
    other.pull(one)
    found = one.beats.heartbeat(1, "i", beat("draining", 2))
    assert not one.kept(found)
    one.sync()
    assert not one.kept(found)  # the receipt lies behind
    other.pull(one, reply=False)
    other.pull(one)
    other.pull(one)  # what it has learnt is in its memory alone
    assert not one.kept(found) and other.news.remote_version_vector()[one.news.source_id] == found.version  # type: ignore[union-attr]
    other.sync()
    assert not one.kept(found)  # it has said nothing of it yet
    other.pull(one, reply=False)  # the reply is lost, the question came: that is the receipt
    assert one.kept(found) and not one.kept(found, ()) and not one.kept(found, ("b",), 2)
    assert not one.kept(found, votes=False) and one.kept(found, ("b",), 0, votes=False)


def test_the_own_disk_counts_only_once_it_has_synced() -> None:
    one, other = Box("a"), Box("b")
    found = one.beats.heartbeat(0, "i", beat("draining"))
    other.pull(one)
    other.sync()
    other.pull(one)
    assert not one.kept(found)
    assert one.fences.next_batch() is not None and not one.kept(found)  # it is being written
    one.fences.on_write_failed()  # the disk refuses it
    assert not one.kept(found)
    one.sync()
    assert one.kept(found) and "i" in one.rows


def test_a_drain_that_comes_during_a_write_waits_for_the_next() -> None:
    one, other = Box("a"), Box("b")
    first = one.beats.heartbeat(0, "i", beat("draining"))
    other.pull(one)
    batch = other.fences.next_batch()
    one.sync()
    one.news.publish("pulse", 1)
    other.pull(one)
    other.pull(one)
    assert not one.kept(first)  # newer news that need no write say nothing of the one under way
    second = one.beats.heartbeat(0, "j", beat("draining"))
    third = one.beats.heartbeat(0, "k", beat("draining"))
    other.pull(one)
    assert batch is not None and set(batch.rows) == {"i"} and other.fences.next_batch() is None
    other.fences.on_written()
    other.pull(one)
    one.sync()
    assert one.kept(first) and not one.kept(second) and not one.kept(third)
    batch = other.fences.next_batch()
    assert batch is not None and set(batch.rows) == {"j", "k"}  # one write for both
    other.fences.on_written()
    other.pull(one)
    assert one.kept(third)


def test_after_all_power_is_lost_right_after_the_acknowledgement_no_life_is_back_up() -> None:
    boxes = [Box(host) for host in "abc"]
    one, other, third = boxes
    one.beats.heartbeat(0, "i", beat())
    third.pull(one)
    found = one.beats.heartbeat(1, "i", beat("draining", 2))
    one.sync()
    other.pull(one)
    other.sync()
    other.pull(one)
    assert one.kept(found, ("b", "c"))
    for lost in (0, 1):  # one disk does not come back
        again = [Box(b.host, 2, b.rows) for k, b in enumerate(boxes) if k != lost]
        for box in again:
            box.beats.heartbeat(2, "i", beat("up", 1))  # a late one
        for box in again:
            for source in again:
                if source is not box:
                    box.pull(source)
        assert [b.lives.instances["i"].state for b in again] == ["draining"] * 2, lost


def test_a_receipt_to_an_earlier_life_and_one_of_a_new_process_say_nothing_of_now() -> None:
    one, other = Box("a"), Box("b")
    for calls in range(5):
        one.beats.heartbeat(0, f"i{calls % 3}", beat("draining", calls))
    other.pull(one)
    other.sync()
    again = Box("a", 2, {})
    found = again.beats.heartbeat(0, "j", beat("draining"))
    again.sync()
    again.fences.on_acknowledgement("b", *other.fences.acknowledgement("a.1"))
    assert not again.kept(found)
    again.fences.on_acknowledgement("b", *DrainLog("b.2").acknowledgement("a.2"))
    assert again.fences.acknowledged_versions == {"b": -1} and not again.kept(found)
    for k in range(99):
        again.fences.on_acknowledgement(f"h{k}", "a.2", 1)
    assert len(again.fences.acknowledged_versions) <= 64


def test_what_was_learnt_outlives_the_one_who_said_it_and_is_forgotten_in_the_end() -> None:
    one, other = Box("a"), Box("b")
    other.beats.heartbeat(0, "i", beat())
    one.beats.heartbeat(0, "i", beat("draining"))
    other.pull(one)
    other.sync()
    other.beats.tick(SECOND)  # it says so itself from now on
    assert other.lives.reports["i"]["b.1"].state == "draining"
    other.lives.on_update(KeyUpdate("a.1", "b/i", None))
    assert other.lives.instances["i"].state == "draining"
    other.beats.tick(70 * SECOND)  # silent for long
    assert "i" not in other.beats.registrations and not other.lives.is_draining_or_gone("i")
    assert other.beats.heartbeat(71 * SECOND, "i", beat("up", 0)) != CallAccepted(0)
    other.beats.tick(170 * SECOND)
    for now in (170 * SECOND, 170 * SECOND + RETENTION_NS + 1):
        other.fences.tick(now, other.lives.is_draining_or_gone, other.news.sources)
    other.sync()
    assert not other.fences.records and not other.rows
    few = DrainLog("me", 3)
    for k in range(9):
        few.on_update(k, KeyUpdate("s", f"b/{k}", ["s", "h:1", "z", 1, "gone" if k else "draining", 1, 0, 0]))
        batch = few.next_batch()
        few.on_written()
    assert (
        len(few.records) == 3
        and few.state("0") == "draining"
        and batch is not None
        and batch.deleted == {"6"}
    )


def test_malformed_news_fence_nobody() -> None:
    fences = DrainLog("me")
    for value in (None, 7, "draining", [], ["draining"] * 4, ["s", "h:1", "z", 2, ["gone"], 1, 0, 0]):
        fences.on_update(0, KeyUpdate("s", "b/i", value))
    fences.on_update(0, KeyUpdate("s", "f/i", ["s", "h:1", "z", 2, "gone", 1, 0, 0]))
    assert not fences.records and fences.next_batch() is None
    fences.on_update(0, KeyUpdate("s", "b/i", ["", "", "", 0, "gone", 0, 0, 0]))
    fences.on_update(
        1, KeyUpdate("t", "b/i", ["s", "h:1", "z", 2, "draining", 1, 0, 0])
    )  # it knows the address
    assert fences.records["i"].value[:5] == ("s", "h:1", "z", 2, "gone")


def test_a_leave_of_an_id_that_nobody_knows_makes_no_life_and_ends_one_that_turns_up() -> None:
    one, other = Box("a"), Box("b")
    assert (
        one.beats.leave(0, "made-up") == CallAccepted(0)
        and not one.beats.registrations
        and one.news.remote_version_vector() == {}
    )
    assert (
        one.beats.heartbeat(1, "made-up", beat()) == CallAccepted(0) and not one.beats.registrations
    )  # a late one
    assert one.beats.leave(0, "") == one.beats.leave(0, "x" * 201) == InvalidCall("no id")
    other.beats.heartbeat(0, "i", beat())
    assert one.beats.leave(0, "i") == CallAccepted(0)  # the news are on their way
    one.pull(other)
    one.beats.tick(SECOND)
    assert one.beats.registrations["i"].state == "gone" and one.fences.unsynced == {"i"}
    other.beats.heartbeat(0, "j", beat())
    one.pull(other)
    found = one.beats.leave(0, "j")
    assert isinstance(found, CallAccepted) and found.version and one.lives.instances["j"].state == "gone"
    for k in range(MAX_UNKNOWN_DEPARTURES + 9):
        one.beats.leave(2 * SECOND, f"x{k}")
    assert (
        len(one.beats.unknown_departures) == MAX_UNKNOWN_DEPARTURES
        and one.news.sources["a.1"].latest_version < 5
    )
    one.beats.tick(3 * SECOND + RETENTION_NS)
    assert not one.beats.unknown_departures


def test_lives_that_call_here_are_bounded_and_who_was_silent_longest_gives_way() -> None:
    box = Box("a")
    for k in range(4):
        assert box.beats.heartbeat(k, f"i{k}", beat()) == CallAccepted(0)
    assert box.beats.heartbeat(5, "i0", beat(calls=2)) == CallAccepted(0)
    assert (
        box.beats.heartbeat(6, "i4", beat()) == RegistryFull() and box.beats.leave(6, "i1") != RegistryFull()
    )
    later = 6 * SECOND
    assert box.beats.heartbeat(later, "i4", beat()) == CallAccepted(0) and "i2" not in box.beats.registrations
    assert set(box.beats.registrations) == {"i0", "i1", "i3", "i4"} and len(box.lives.instances) == 4
    long = {"svc": "s" * 201}, {"zone": "z" * 201}, {"ver": "v" * 201}
    for field in long:
        assert isinstance(
            box.beats.heartbeat(0, "l", beat(details={**beat()["details"], **field})), InvalidCall
        )
    assert isinstance(box.beats.heartbeat(0, "l", beat(addr="h" * 201 + ":1")), InvalidCall)


def test_both_forms_of_the_pages_names_are_one_life() -> None:
    flat = {
        "addr": "10.0.0.9:80",
        "service": "s",
        "version": "v1",
        "zone": "north",
        "slots": 2,
        "state": "up",
        "calls": 1,
        "warmupMs": 0,
    }
    box = Box("a")
    box.beats.heartbeat(0, "nested", beat())
    box.beats.heartbeat(0, "flat", flat)
    box.beats.heartbeat(0, "mixed", {**beat(), "state": "draining", "svc": "other"})
    values = [life.to_value() for life in box.beats.registrations.values()]
    assert len(values) == 3 and values[0] == values[1] == values[2]


def test_a_leave_comes_long_after_the_drain_and_the_drain_stands_all_the_while() -> None:
    box = Box("a")
    box.beats.heartbeat(0, "i", beat())
    drained = box.beats.heartbeat(SECOND, "i", beat("draining", 2))
    for second in range(2, 90):
        box.beats.tick(second * SECOND)
        box.fences.tick(second * SECOND, box.lives.is_draining_or_gone, box.news.sources)
        if second % 3 == 0 and second < 40:
            assert box.beats.heartbeat(second * SECOND, "i", beat("draining", second)) == drained
        assert box.fences.state("i") == "draining"
    assert box.beats.heartbeat(91 * SECOND, "i", beat("up", 1)) != CallAccepted(
        0
    )  # from before, and the latest of all
    assert (
        isinstance(box.beats.leave(92 * SECOND, "i"), CallAccepted)
        and box.lives.instances["i"].state == "gone"
    )


def test_an_address_at_which_a_beat_failed_is_not_named_for_a_while() -> None:
    near = ZoneRedirects()
    near.on_heartbeat(0, "i")
    assert near.choose(0, "i", ["p:1", "q:1"]) == "p:1"
    near.on_heartbeat(1, "i")  # it is back: p failed
    assert near.choose(1, "i", ["p:1", "q:1"]) == "q:1" and near.choose(1, "j", ["p:1"]) is None
    near.on_heartbeat(2, "i")
    assert near.choose(2, "i", ["p:1", "q:1"]) is None and not near.redirected.get("i")
    near.on_heartbeat(REDIRECT_BACKOFF_NS + 1, "k")
    assert near.choose(REDIRECT_BACKOFF_NS + 1, "k", ["p:1"]) == "p:1" and set(near.avoid_until_ns) == {"q:1"}


def test_sources_that_are_gone_take_their_words_along_unless_nobody_is_heard() -> None:
    news, told = UpdateStore("me"), list[KeyUpdate]()
    one, other = Box("a"), Box("b")
    one.beats.heartbeat(0, "i", beat())
    other.beats.heartbeat(0, "j", beat())
    for box in (one, other):
        for piece in box.news.deltas_since({}, "me"):
            news.apply(0, piece)
    news.update_listeners.append(told.append)
    assert news.expire_sources(61 * SECOND) == [] and not told  # the silence is its own
    news.sources["b.1"].last_update_ns = 60 * SECOND
    assert news.expire_sources(61 * SECOND) == ["a.1"] and told == [KeyUpdate("a.1", "b/i", None)]


# -- the shell, with a real disk


class Desk:
    """A signalbox's desk for backends over a real disk; `others` disks' receipts are given by hand."""

    def __init__(self, folder: Path, box: Box) -> None:
        self.box, self.disk = box, SqliteStore(folder)
        self.lease, self.zone = True, list[str]()
        self.fencing = DrainService(box.fences, AsyncStore(self.disk), asyncio.ensure_future)

        def kept(version: int) -> bool:
            return box.fences.is_replicated(version, ["b"], 1, True)

        self.backends = BackendsResource(
            box.beats, self.fencing, kept, lambda ident: self.zone, lambda: self.lease
        )

    def beat(self, ident: str, state: str, calls: int) -> Coroutine[Any, Any, ApiReply]:
        return self.backends.heartbeat(ApiRequest(ident, json.dumps(beat(state, calls)).encode()))

    def receipt(self, version: int) -> None:
        self.box.fences.on_acknowledgement("b", "a.1", version)
        self.fencing.notify_waiters()


def run(what: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await what()

    asyncio.run(bounded())


def test_a_drain_that_was_acknowledged_is_in_the_file_as_the_power_goes(tmp_path: Path) -> None:
    async def whole() -> None:
        desk = Desk(tmp_path / "d", Box("a"))
        assert (await desk.beat("i", "up", 1)).status == 200
        waiting = asyncio.ensure_future(desk.beat("i", "draining", 2))
        await until(lambda: desk.box.fences.state("i") == "draining", "it is taken")
        desk.receipt(desk.box.news.sources["a.1"].latest_version)
        assert (await waiting).status == 200
        shutil.copytree(tmp_path / "d", tmp_path / "after")  # nothing is closed
        again = Box("a", 2, decode_rows(SqliteStore(tmp_path / "after").load_drain_records()))
        again.beats.heartbeat(0, "i", beat("up", 1))
        assert again.lives.instances["i"].state == "draining"

    run(whole)


def test_a_disk_that_refuses_is_asked_again_and_nothing_is_acknowledged_before(tmp_path: Path) -> None:
    async def whole() -> None:
        desk = Desk(tmp_path / "d", Box("a"))
        write, refusals = desk.disk.save_drain_records, [True]

        def refuse(rows: Any, removed: Any) -> None:
            if refusals:
                refusals.pop()
                raise sqlite3.OperationalError("disk I/O error")
            write(rows, removed)

        desk.disk.save_drain_records = refuse  # type: ignore[method-assign]
        desk.receipt(99)
        waiting = asyncio.ensure_future(desk.beat("i", "draining", 1))
        await until(lambda: not refusals and desk.box.fences.write_in_flight is None, "it was refused")
        assert not waiting.done() and not desk.disk.load_drain_records()
        assert (await waiting).status == 200 and set(desk.disk.load_drain_records()) == {"i"}

    run(whole)


def test_one_that_is_cut_off_answers_at_once_and_sends_nobody_anywhere(tmp_path: Path) -> None:
    async def whole() -> None:
        desk = Desk(tmp_path / "d", Box("a"))
        loop = asyncio.get_running_loop()
        desk.zone, desk.lease = ["10.0.0.2:80"], False
        assert await desk.beat("i", "up", 1) == ApiReply(200)
        began = loop.time()
        for found in (
            await desk.beat("i", "draining", 2),
            await desk.backends.leave(ApiRequest("i", b"")),
            await desk.backends.leave(ApiRequest("unknown", b"")),
        ):
            assert found.status == 503 and 0 < found.retry_after_s < 1
        assert loop.time() - began < 0.3
        desk.receipt(99)
        await until(lambda: desk.box.fences.is_caught_up("a.1"), "it is on the own disk")
        assert (
            await desk.backends.leave(ApiRequest("i", b""))
        ).status == 200  # what is on enough disks needs no lease
        desk.lease = True
        assert json.loads((await desk.beat("j", "up", 1)).body) == {"beatUrl": "10.0.0.2:80"}
        assert await desk.beat("j", "up", 2) == ApiReply(200)  # that address has failed it
        desk.zone = ["h" * 5000]
        assert (await desk.beat("k", "up", 1)).body == b"{}"  # larger than an acknowledgement may be
        assert (await desk.backends.leave(ApiRequest("unknown", b""))).status == 200
        began = loop.time()
        desk.box.fences.acknowledged_versions.clear()
        assert (await desk.beat("m", "draining", 1)).status == 503 and loop.time() - began < 0.95

    run(whole)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"{" * 99999, b'{"details":[],"status":7}'])
def test_a_beat_without_sense_is_one_short_refusal(tmp_path: Path, body: bytes) -> None:
    async def whole() -> None:
        found = await Desk(tmp_path / "d", Box("a")).backends.heartbeat(ApiRequest("i", body))
        assert found.status == 400 and len(found.body) < 300

    run(whole)
