"""The program on loopback sockets, among stand-ins for discovery, proxies and collectors."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from meadowworks.fleet.discovery import MIN_POLL_INTERVAL_S
from tests.fleet.program import NESTED, PATIENCE_S, Desk, Peer, Program, listed, play

THREE = listed("s-1"), listed("s-2"), listed("s-9", "west")


def holds(*names: str) -> Any:
    return lambda peer: all(set(table) == set(names) for table in peer.tables.values())


def rid(name: str) -> Any:
    """Whether the tables have lost a backend and still name another: others may come in from abroad."""
    return lambda peer: all(table and name not in table for table in peer.tables.values())


def beaten(peer: Peer) -> bool:
    return peer.beats > 0


def test_it_answers_and_binds_from_its_known_list_while_discovery_says_nothing(tmp_path: Path) -> None:
    desk = Desk(*THREE, listed("s-7", "moon"))  # a zone that the settings lack is passed over
    desk.mood = "silent"

    async def act(program: Program) -> None:
        peer = await program.peer("hb")
        await peer.until(beaten)
        east, west = await program.proxy(0), await program.proxy(1, "west")
        await east.until(holds("s-1", "s-2"))
        await west.until(holds("s-9"))

    play(act, tmp_path, desk)


def test_a_drain_and_a_new_backend_go_from_the_list_to_the_streams(tmp_path: Path) -> None:
    desk = Desk(*THREE)

    async def act(program: Program) -> None:
        east, west = await program.proxy(0), await program.proxy(1, "west")
        await east.until(holds("s-1", "s-2"))
        await desk.tell(listed("s-1", status="terminating"))
        await east.until(rid("s-1"))
        await desk.tell(listed("s-2", status="terminated"))  # a zone with none of its own has a table of all
        await east.until(holds("s-9"))
        await desk.tell(listed("s-3"))
        await east.until(holds("s-3"))
        assert west.tables["look"].keys() <= {"s-9"}

    play(act, tmp_path, desk)


@pytest.mark.parametrize("mood", ["down", "cut", "silent", "back"])
def test_a_list_that_fails_stands_and_is_followed_again(tmp_path: Path, mood: str) -> None:
    desk = Desk(*THREE)
    soon = {**NESTED, "safety": {**NESTED["safety"], "ask_within_us": 2000000}}

    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2"))
        await desk.tell(mood=mood)
        first = desk.calls
        async with asyncio.timeout(PATIENCE_S):
            while desk.calls < first + 2:  # the call that fails, and the next one
                await asyncio.sleep(0.02)
        assert holds("s-1", "s-2")(east)
        await desk.tell(listed("s-1", status="terminating"))
        await east.until(rid("s-1"))
        assert "discovery: call failed" in program.log()

    play(act, tmp_path, desk, settings=soon)


def test_a_list_that_answers_at_once_each_time_is_not_asked_without_pause(tmp_path: Path) -> None:
    desk = Desk(*THREE)
    desk.mood = "hasty"

    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2"))
        first, began = desk.calls, asyncio.get_running_loop().time()
        await asyncio.sleep(1)
        pauses = (asyncio.get_running_loop().time() - began) / MIN_POLL_INTERVAL_S
        assert desk.calls - first <= 2 * pauses + 2
        await desk.tell(listed("s-1", status="terminating"), mood="hasty")
        await east.until(rid("s-1"))

    play(act, tmp_path, desk)


def test_a_spoilt_entry_costs_neither_the_others_nor_what_it_had_to_tell(tmp_path: Path) -> None:
    desk = Desk(*THREE)

    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2"))
        await desk.tell(
            {**listed("s-2", status="terminating"), "since_ms": "soon"},
            listed("s-3"),
            {**listed("s-4"), "status": "odd"},
            {**listed("s-5"), "name": 7},
        )
        await east.until(holds("s-1", "s-2", "s-3"))  # the sound one; none of the others is taken to be gone
        await desk.tell(listed("s-2", status="terminating"))
        await east.until(rid("s-2"))
        await program.logged("malformed entries passed over")
        assert "discovery: call failed" not in program.log()

    play(act, tmp_path, desk)


def test_a_configuration_read_again_moves_the_list_and_costs_no_stream(tmp_path: Path) -> None:
    desk, next_desk = Desk(*THREE), Desk(*THREE[1:])

    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2"))
        for bad in ("", '{"name": "n0", "listen"', '{"listen": 7}', "[]"):
            (tmp_path / "config.json").write_text(bad)
            program.process.send_signal(signal.SIGHUP)
        await program.logged("configuration not taken, the old one stands")
        (tmp_path / "config.json").unlink()
        program.process.send_signal(signal.SIGHUP)
        await desk.tell(listed("s-4"))  # the old list stands, and is followed
        await east.until(holds("s-1", "s-2", "s-4"))
        program.write(discovery=await next_desk.open(), seed="another", limits={"sockets": 999})
        program.process.send_signal(signal.SIGHUP)
        await east.until(holds("s-2"))  # what the new address does not name has gone meanwhile
        await program.logged("only a restart can change sockets")
        calls = desk.calls
        for k in (5, 6):  # again, the same: nothing moves
            program.process.send_signal(signal.SIGHUP)
            await next_desk.tell(listed(f"s-{k}"))
            await east.until(lambda p, name=f"s-{k}": name in p.tables["look"])  # type: ignore[misc]
        assert desk.calls == calls and "discovery: call failed" not in program.log()

    play(act, tmp_path, desk)


def test_it_waits_for_an_address_that_is_not_free_yet(tmp_path: Path) -> None:
    async def act() -> None:
        program = Program(tmp_path, Desk(*THREE))
        with socket.create_server(("127.0.0.1", program.port)):
            await program.start()
            async with asyncio.timeout(PATIENCE_S):
                while "not free yet" not in program.log():
                    await asyncio.sleep(0.02)
        await (await program.proxy(0)).until(holds("s-1", "s-2"))
        assert await program.end(signal.SIGTERM) == 0

    asyncio.run(act())


def test_a_new_stream_takes_the_place_of_one_that_has_not_been_seen_to_end(tmp_path: Path) -> None:
    desk = Desk(*THREE)

    async def act(program: Program) -> None:
        old = await program.proxy(0)
        await old.until(holds("s-1", "s-2"))
        new = await program.proxy(0)
        await new.until(holds("s-1", "s-2"))
        await old.over()  # its end is no second leaving: the new stream is still served
        await desk.tell(listed("s-1", status="terminating"))
        await new.until(rid("s-1"))

    play(act, tmp_path, desk)


def test_lines_come_in_pieces_and_several_at_once(tmp_path: Path) -> None:
    async def act(program: Program) -> None:
        peer = await program.peer()
        for byte in b"attach id=0 site=east rps=1 new=1\r\nh":
            peer.writer.write(bytes([byte]))
            await peer.writer.drain()
            await asyncio.sleep(0)
        peer.say("b", "hb", "hb")
        await peer.until(lambda p: p.beats == 3 and holds("s-1", "s-2")(p))

    play(act, tmp_path, Desk(*THREE))


def test_lines_without_sense_are_counted_and_the_connection_is_kept(tmp_path: Path) -> None:
    async def act(program: Program) -> None:
        proxy = await program.proxy(0)
        collector = await program.peer("telemetry site=east")
        for peer in (proxy, collector):
            peer.say(
                "",
                "what",
                "done id=0",
                "client_stats id=0 lane=none count=1 fail=0 over=1000",
                "client_stats id=0 lane=look count=-1 fail=0 over=1000",
                "upstream_stats site=east target=s-404 count=2 fail=0 mean=3 over=1000",
                "upstream_stats site=moon target=s-1 count=2 fail=0 mean=3 over=1000",
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=nan over=1000",
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=inf",
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=1000 util=queue:x",
            )
            peer.writer.write(b"\xff\xfe\r\n")
            peer.say("upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=1000 util=queue:1", "hb")
            await peer.until(beaten)

    play(act, tmp_path, Desk(*THREE))


def test_a_line_too_long_ends_its_connection_alone(tmp_path: Path) -> None:
    async def act(program: Program) -> None:
        proxy, other = await program.proxy(0), await program.proxy(1)
        await other.until(holds("s-1", "s-2"))
        proxy.writer.write(b"x" * (1 << 21))
        await proxy.over()
        stranger = await program.peer()
        stranger.writer.write(b"y" * (1 << 14))
        await stranger.over()
        other.say("hb")
        await other.until(beaten)

    play(act, tmp_path, Desk(*THREE))


@pytest.mark.parametrize("first", [b"", b"upstream_st", b"hb\r\n"])
def test_a_crowd_beyond_all_descriptors_costs_no_proxy_its_place(tmp_path: Path, first: bytes) -> None:
    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2"))
        crowd = [await program.peer() for _ in range(150)]  # all at once, into the backlog if need be
        for peer in crowd:
            peer.writer.write(first)
        west = await program.proxy(1, "west")
        await west.until(holds("s-9"))
        for peer in crowd:
            await peer.over()
        east.say("hb")
        await east.until(beaten)
        assert "could not be accepted" not in program.log()

    play(act, tmp_path, Desk(*THREE), sockets=64)


@pytest.mark.parametrize(
    "said",
    [
        b"\x16\x03\x01\x02\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"y" * (1 << 14),
        b"\r\n",
        b"assign full=1 endpoints=s-1:1\r\n",
        b"client_stats id=0 lane=look count=1 fail=0 over=1000\r\n",
        b"upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=1000\r\n",
        b"done id=0 seq=1 ms=1\r\n",
        b"attach id=0 site=moon rps=1 new=1\r\n",
        b"attach id=4 site=east rps=1 new=1\r\n",
        b"attach id=x site=east rps=1 new=1\r\n",
        b"telemetry site=moon\r\n",
    ],
)
def test_a_stranger_without_sense_is_told_so_and_ended_at_once(tmp_path: Path, said: bytes) -> None:
    async def act(program: Program) -> None:
        client = await program.peer("hb")
        await client.until(beaten)
        client.writer.write(said)
        assert (await client.reader.readuntil(b"\r\n")).startswith(b"reject")
        await client.over()

    play(act, tmp_path, Desk(*THREE))


def test_collectors_cut_off_without_a_word_do_not_pile_up(tmp_path: Path) -> None:
    async def act(program: Program) -> None:
        oldest, *others = [await program.peer("telemetry site=east", "hb") for _ in range(8)]
        await oldest.over()
        others[-1].say("hb")
        await others[-1].until(lambda p: p.beats == 2)

    play(act, tmp_path, Desk(*THREE))


def test_heavy_dropping_reported_by_a_collector_brings_a_backend_down(tmp_path: Path) -> None:
    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2", "s-3"))
        before = east.tables["look"]["s-1"]
        collector = await program.peer("telemetry site=east")

        async def report() -> None:
            while True:
                for k in (1, 2, 3):
                    collector.say(
                        f"upstream_stats site=east target=s-{k} count=20 fail={20 * (k == 1)} "
                        "mean=90 over=500 util=queue:0"
                    )
                collector.say("client_stats id=0 lane=look count=20 fail=0 over=500")
                await asyncio.sleep(0.2)

        reports = asyncio.create_task(report())
        await east.until(lambda p: p.tables["look"]["s-1"] < before / 2)
        reports.cancel()

    play(act, tmp_path, Desk(*THREE, listed("s-3")))


def test_killed_and_started_from_nothing_it_serves_those_who_come_back(tmp_path: Path) -> None:
    desk = Desk(*THREE)

    async def act(program: Program) -> None:
        east = await program.proxy(0)
        await east.until(holds("s-1", "s-2"))
        await desk.tell(listed("s-1", status="terminating"))
        await east.until(rid("s-1"))
        await program.end(signal.SIGKILL)
        await east.over()
        await program.start()
        again = await program.proxy(0)
        await again.until(rid("s-1"))  # known names s-1, discovery takes it out

    play(act, tmp_path, desk)


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"settings": {**NESTED, "zones": None}}, "setting zones is missing"),
        ({"settings": {**NESTED, "extra": {**NESTED["extra"], "queue_cap": "much"}}}, "extra.queue_cap"),
        ({"settings": {**NESTED, "limits": {"probes": True}}}, "limits.probes"),
        ({"settings": {**NESTED, "extra": {**NESTED["extra"], "slices": 8}}}, "extra.slices"),
        ({"settings": None}, "settings are missing"),
        ({"listen": "nowhere"}, "listen is not an address"),
        ({"name": ""}, "NODE_NAME is not set"),
        ({"known": {"index": 1}}, "known cannot be read"),
    ],
)
def test_what_it_cannot_start_with_is_named_in_one_line(
    tmp_path: Path, change: dict[str, Any], said: str
) -> None:
    async def act() -> None:
        program = Program(tmp_path, Desk())
        program.config.update(change, discovery="127.0.0.1:1")
        await program.start()
        assert await program.end(0) == 2
        assert said in program.log() and program.log().count("\n") == 1

    asyncio.run(act())


FAULTY = """
import sys
from meadowworks import __main__, policy as rules
from meadowworks.fleet import connection_state as life
life.MAX_MESSAGE_PARTS = 0 if "parts" in sys.argv else life.MAX_MESSAGE_PARTS
del sys.argv[1:]
sound = rules.Controller.on_proxy_joined
def joined(self, now, number, zone, usual):
    if number == 3:
        raise RuntimeError("no sense")
    sound(self, now, number, zone, usual)
rules.Controller.on_proxy_joined = joined
sys.exit(__main__.main())
"""


@pytest.mark.parametrize("build", ["release", "debug"])
def test_a_fault_in_one_event_ends_a_debug_build_and_is_counted_in_a_release(
    tmp_path: Path, build: str
) -> None:
    async def act() -> None:
        program = Program(tmp_path, Desk(*THREE))
        await program.start(*["-O"] * (build == "release"), "-c", FAULTY)
        await program.proxy(3)
        if build == "debug":
            assert await program.end(0) != 0
        else:
            await (await program.proxy(0)).until(holds("s-1", "s-2"))
            assert await program.end(signal.SIGTERM) == 0
            assert "faults in an event: 1" in program.log()
        assert "no sense" in program.log()

    asyncio.run(act())


@pytest.mark.parametrize("build", ["release", "debug"])
def test_what_must_hold_for_a_stream_ends_a_debug_build_too(tmp_path: Path, build: str) -> None:
    async def act() -> None:
        program = Program(tmp_path, Desk(*THREE))
        await program.start(*["-O"] * (build == "release"), "-c", FAULTY, "parts")
        east = await program.proxy(0)
        if build == "debug":
            assert await program.end(0) == 1
        else:
            await east.until(holds("s-1", "s-2"))
            assert await program.end(signal.SIGTERM) == 0
        assert "BROKEN a message's most: 1" in program.log()

    asyncio.run(act())
