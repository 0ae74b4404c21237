"""The bytes between the product's own programs, as kept in `golden/`: written and read unchanged.

The data were made by the text of commit f7b5d76. Machines of two versions talk to each other during an
upgrade, so that a failure here is a fault of the code, never of the data.
"""

from __future__ import annotations

import asyncio
import json
import re
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.gateway import golden_product as product
from tests.gateway.helpers import RawServer

GOLDEN = Path(__file__).parent / "golden"


def golden(name: str) -> dict[str, Any]:
    found: dict[str, Any] = json.loads((GOLDEN / f"{name}.json").read_text(encoding="utf-8"))
    return found


def golden_bytes(name: str) -> dict[str, bytes]:
    return {key: bytes.fromhex(value) for key, value in golden(name).items()}


# -- the values that the bytes stand for

BALLOT = product.Ballot(3, 17, "0f30db3111a8414eb0e5ac35e2ec6a27.4")
LATE_BALLOT = product.Ballot(3, 1 << 33, "größe.2")
SEAT_BALLOT = product.Ballot(0, 1, "")
THREE = product.Epoch(3, (("d1", "10.0.0.1:7000"), ("d2", "10.0.0.2:7000"), ("größe", "10.0.0.3:7000")))
SEATS = product.Epoch(0, (("@10.0.0.1:7000", "10.0.0.1:7000"),))
NOBODY = product.Epoch()
CONTENT = '{"ver": "00000007", "svcs": ["größe"]}'.encode()
LONG = bytes(range(256)) * 20  # beyond the size that is compressed beside the loop
DIGEST = bytes(range(16))
HELD = product.Held(7, CONTENT)
NOTHING = product.Held()
HISTORY = ((5, DIGEST), (7, product.content_digest(CONTENT)))
SLOTS = ((8, LATE_BALLOT, BALLOT, b"eight"), (0xFFFFFFFF, BALLOT, product.NO_BALLOT, b""))
STATE = product.State(HELD, HISTORY, SLOTS)
EMPTY_STATE = product.State(NOTHING, (), ())

LETTERS: dict[str, Any] = {
    "prepare": product.Prepare(3, 8, BALLOT),
    "prepare of the members, first start": product.Prepare(0, 0, SEAT_BALLOT),
    "prepare, highest version": product.Prepare(3, 0xFFFFFFFF, LATE_BALLOT),
    "accept": product.Accept(3, 8, BALLOT, CONTENT),
    "accept without content": product.Accept(3, 8, BALLOT, b""),
    "accept, long content": product.Accept(3, 8, BALLOT, LONG),
    "accept of the members": product.Accept(3, 0, BALLOT, b"d1 10.0.0.1:7000\nd2 10.0.0.2:7000"),
    "seal": product.Seal(3, THREE),
    "seal, members by seat": product.Seal(0, SEATS),
    "seal, no members": product.Seal(-1, NOBODY),
    "install": product.Install(3, THREE, STATE),
    "install, nothing held": product.Install(1, SEATS, EMPTY_STATE),
    "look": product.Look(3),
    "look before any epoch": product.Look(-1),
    "fetch": product.Fetch(3),
    "fetch, late epoch": product.Fetch(70000),
    "teach": product.Teach(3, HELD, HISTORY),
    "teach, no history": product.Teach(3, HELD, ()),
    "teach nothing": product.Teach(3, NOTHING, ()),
    "seen": product.Seen(3, True, 8, 7, "0f30db3111a8414eb0e5ac35e2ec6a27", "10.0.0.1:7000", False),
    "seen of an empty disk": product.Seen(-1, False, 0, 0, "größe", "10.0.0.3:7000", True),
    "promised": product.Promised(BALLOT, LATE_BALLOT, CONTENT),
    "promised, nothing accepted": product.Promised(BALLOT, product.NO_BALLOT, b""),
    "accepted": product.Accepted(BALLOT),
    "accepted, late ballot": product.Accepted(LATE_BALLOT),
    "refused": product.Refused(LATE_BALLOT),
    "refused, no ballot": product.Refused(product.NO_BALLOT),
    "past": product.Past(HELD, HISTORY),
    "past, no history": product.Past(HELD, ()),
    "newer": product.Newer(THREE),
    "newer, no epoch": product.Newer(NOBODY),
    "sealed": product.Sealed(THREE, STATE),
    "sealed, missing state": product.Sealed(THREE),
    "sealed, empty state": product.Sealed(THREE, EMPTY_STATE),
    "installed": product.Installed(3),
    "installed, late epoch": product.Installed(300),
    "outside": product.Outside(3),
    "outside of all": product.Outside(product.NO_EPOCH),
    "whole": product.Whole(HELD, HISTORY),
    "whole, nothing held": product.Whole(NOTHING, ()),
}

BOX_CARD = product.PeerRecord(
    "signalbox-0", "10.0.0.1", 7000, "north", True, "signalbox-0.0a1b2c3d", 1780000000
)
JUNCTION_CARD = product.PeerRecord("größe", "10.0.1.1", 7000, "süd", False, "größe.00000000", 0)
CARDS: dict[str, Any] = {
    "signalbox": BOX_CARD,
    "junction": JUNCTION_CARD,
    "nothing said": product.PeerRecord("", "", 0, "", False, "", 0),
}

UP = ["lookup", "10.0.0.9:8080", "north", 2.0, "up", 4, 1500, 0]
DRAINING = ["lookup", "10.0.0.9:8080", "north", 2.0, "draining", 5, 0, 0]
ZONE_FIGURES = [1000, [["b1", 3, 1, 250, 2, 4, 1]], [["lookup", 3]]]
PIECES: dict[str, Any] = {
    "snapshot": product.SourceDelta(
        "signalbox-0.0a1b2c3d",
        True,
        9,
        ((3, "b/größe", UP), (7, "pulse", 41), (9, "f/north", ZONE_FIGURES)),
    ),
    "changes, one taken back": product.SourceDelta(
        "signalbox-1.ffffffff", False, 1 << 20, ((5, "b/b1", DRAINING), (1 << 20, "b/b2", None))
    ),
    "snapshot of nothing": product.SourceDelta("größe.00000000", True, 0, ()),
}

FIGURES = [[["b1", 3, 1, 250, 2, 4, 1]], [["lookup", 3], ["größe", 1]]]
PULLS: dict[str, Any] = {
    "first of a junction": product.Pull(JUNCTION_CARD, (JUNCTION_CARD,), {}, 0, 1000),
    "junction, nothing counted": product.Pull(
        JUNCTION_CARD, (), {"signalbox-0.0a1b2c3d": 9, "signalbox-1.ffffffff": 0}, 7, 0
    ),
    "junction with figures": product.Pull(
        JUNCTION_CARD, (), {"signalbox-0.0a1b2c3d": 9}, 0xFFFFFFFF, 1000, FIGURES
    ),
    "signalbox": product.Pull(
        BOX_CARD, (BOX_CARD, JUNCTION_CARD), {"größe": 70000}, 7, 500, None, 3, ("signalbox-1.ffffffff", 12)
    ),
    "signalbox, nothing known": product.Pull(BOX_CARD, (), {}, 0, 50, None, -1, ("", -1)),
    "signalbox without a receipt": product.Pull(BOX_CARD, (), {}, 7, 500, None, 3, None),
}

PACKED = bytes.fromhex("789cab562a4b2d52b252503200032325")  # any bytes: the message does not look into them
NEWS: dict[str, Any] = {
    "to a junction, nothing new": product.News(BOX_CARD, (), (), True),
    "to a junction, not sure": product.News(BOX_CARD, (JUNCTION_CARD,), (), False),
    "to a junction": product.News(BOX_CARD, (JUNCTION_CARD,), tuple(PIECES.values()), True, (7, PACKED)),
    "to a signalbox, nothing new": product.News(BOX_CARD, (), (), True, None, LETTERS["seen"], None, ()),
    "to a signalbox, members and table": product.News(
        BOX_CARD, (BOX_CARD,), (), True, (7, PACKED), LETTERS["seen"], THREE, HISTORY
    ),
    "to a signalbox, members alone": product.News(BOX_CARD, (), (), False, None, None, THREE, ()),
}


def same(found: Any, wanted: Any) -> bool:
    return type(found) is type(wanted) and bool(found == wanted)


# -- messages

KINDS: dict[str, tuple[dict[str, Any], Callable[[Any], bytes], Callable[[bytes], Any]]] = {
    "letters": (LETTERS, product.encode_letter, product.decode_letter),
    "cards": (CARDS, product.encode_card, product.decode_card),
    "pieces": (PIECES, product.encode_piece, product.decode_piece),
    "pulls": (PULLS, product.encode_pull, product.decode_pull),
    "news": (NEWS, product.encode_news, product.decode_news),
}
MESSAGES = [(kind, name) for kind, (values, _, _) in KINDS.items() for name in values]


@pytest.mark.parametrize(("kind", "name"), MESSAGES)
def test_a_message_is_written_and_read_as_ever(kind: str, name: str) -> None:
    values, encode, decode = KINDS[kind]
    body = golden_bytes(kind)[name]
    assert encode(values[name]).hex() == body.hex()
    assert same(decode(body), values[name])


def test_every_kind_of_message_is_kept() -> None:
    assert {type(letter) for letter in LETTERS.values()} == product.LETTER_KINDS
    for kind, (values, _, _) in KINDS.items():
        assert list(golden_bytes(kind)) == list(values)


@pytest.mark.parametrize("kind", product.FIELDS, ids=lambda kind: str(kind.__name__))
def test_each_field_of_a_message_stands_in_its_place(kind: Any) -> None:
    """Two figures of one message that change places look alike where it is built and written by place."""
    names = product.FIELDS[kind]
    values = [object() for _ in names]
    message = kind(*values)
    assert [getattr(message, name) for name in names] == values


def test_a_letter_travels_compressed_beside_its_question() -> None:
    letters, bodies = golden_bytes("letters"), golden_bytes("envelopes")
    for name in ("accept", "accept, long content", "look"):
        # By this library's own compressor: another may make other bytes of the same, and read these.
        assert product.compressed_letter(LETTERS[name]) == zlib.compress(letters[name], 6)
        assert product.decode_request(bodies[f"request: {name}"]) == (70001, LETTERS[name])
    for name in ("promised", "install", "sealed", "whole"):
        assert product.decode_reply(bodies[f"reply: {name}"]) == (1, "@größe", LETTERS[name])


# What the encoder does not write and the readers take all the same: body, and what it stands for.
READ: dict[str, tuple[Callable[[bytes], Any], Any]] = {
    "card with figures for flags": (product.decode_card, BOX_CARD),
    "pull with a name that is a figure": (
        product.decode_pull,
        product.Pull(JUNCTION_CARD, (), {"5": 6}, 7, 0),
    ),
    "news with a figure for sure": (product.decode_news, NEWS["to a junction, nothing new"]),
    "piece with a figure for whole": (product.decode_piece, PIECES["snapshot of nothing"]),
}


@pytest.mark.parametrize("name", READ)
def test_other_forms_are_read_as_ever(name: str) -> None:
    decode, value = READ[name]
    assert same(decode(golden_bytes("read")[name]), value)


REFUSERS = {
    "card": product.decode_card,
    "pull": product.decode_pull,
    "news": product.decode_news,
    "letter": product.decode_letter,
    "request": product.decode_request,
    "reply": product.decode_reply,
    "figures": product.decode_figures,
}


@pytest.mark.parametrize("name", golden("refused"))
def test_what_is_no_message_is_refused_as_ever(name: str) -> None:
    with pytest.raises(product.Unreadable):
        REFUSERS[name.partition(":")[0]](golden_bytes("refused")[name])


# -- values within messages

TRIES = [("b1", True, 120.4), ("b1", False, 7.0), ("größe", True, 0.5), ("b1", True, 129.6)]
LOADS = [("b1", 4, 0), ("b1", 0, 1), ("idle", 0, 0)]
CALLS = ["lookup", "größe", "lookup"]
MET = {"b1": [3, 1, 250, 2, 4, 1], "größe": [1, 0, 0, 0, 0, 0], "idle": [0, 0, 0, 1, 0, 0]}
ASKED = {"lookup": 2, "größe": 1}


def test_figures_are_written_and_read_as_ever() -> None:
    bodies = golden_bytes("values")
    assert product.encode_figures(TRIES, LOADS, CALLS).hex() == bodies["figures"].hex()
    assert product.encode_figures([], [], []).hex() == bodies["figures: none"].hex()
    assert product.decode_figures(bodies["figures"]) == (MET, ASKED)
    assert product.decode_figures(bodies["figures: none"]) == ({}, {})


def test_the_members_that_are_voted_on_are_written_and_read_as_ever() -> None:
    body = golden_bytes("values")["members"]
    members = tuple(reversed(THREE.members))
    assert product.encode_members(members).hex() == body.hex()  # sorted: equal for equal sets
    assert product.decode_members(body) == THREE.members
    assert product.encode_members(()) == b"" and product.decode_members(b"") == ()


def heartbeat(state: str, calls: int, **rest: Any) -> dict[str, Any]:
    details = {"svc": "größe", "ver": "v1", "zone": "north", "capacity": 2}
    status = {"state": state, "calls": calls, "warmupMs": 1500.4}
    return {"addr": "10.0.0.9:8080", "details": details, "status": status, **rest}


SIDE_BY_SIDE = {
    "addr": "h:1", "service": "s", "version": "v", "zone": "z", "slots": 0.5, "state": "up", "calls": 0,
}  # fmt: skip
BACKENDS: dict[str, tuple[tuple[Any, ...], tuple[Any, ...]]] = {
    "up": (
        (heartbeat("up", 4),),
        ("b", "größe", "10.0.0.9", 8080, "north", 2.0, "up", 1500000000),
    ),
    "fields side by side": ((SIDE_BY_SIDE,), ("b", "s", "h", 1, "z", 0.5, "up", 0)),
    "draining": (
        (heartbeat("up", 4), heartbeat("draining", 5)),
        ("b", "größe", "10.0.0.9", 8080, "north", 2.0, "draining", 1500000000),
    ),
    "gone": (
        (heartbeat("up", 4), "leave"),
        ("b", "größe", "10.0.0.9", 8080, "north", 2.0, "gone", 1500000000),
    ),
    "quiet": (
        (heartbeat("up", 4), "silence"),
        ("b", "größe", "10.0.0.9", 8080, "north", 2.0, "quiet", 1500000000),
    ),
}


@pytest.mark.parametrize("name", BACKENDS)
def test_what_is_said_of_a_backend_is_written_and_read_as_ever(name: str) -> None:
    steps, known = BACKENDS[name]
    body = golden_bytes("values")[f"backend: {name}"]
    assert product.pack(product.said_of_backend(*steps)).hex() == body.hex()
    ((key, value),) = product.unpack(body).items()
    assert product.known_backend(key, value) == known


# -- the programs

ZONES = {"north": "loop", "south": "loop"}
CONFIGURATION = (GOLDEN / "configuration.json").read_bytes()
KNOWN_BACKENDS = {
    "b/b1": ["lookup", "10.0.0.9:8080", "north", 2.0, "up", 4, 0, 0],
    "b/b2": ["größe", "10.0.0.8:8080", "south", 2.0, "draining", 5, 0, 0],
}
Reply = tuple[int, list[tuple[bytes, bytes]], bytes]


def settings(folder: Path, box: bool) -> dict[str, Any]:
    ip = "10.0.0.1" if box else "10.0.1.1"
    bind = {"ctl": f"{ip}:80"} if box else {"http": f"{ip}:80", "readyz": f"{ip}:81"}
    return {
        "self": {
            "node": "signalbox-0" if box else "junction-0",
            "serves": ["ctl" if box else "edge"],
            "ip": ip,
            "zone": "north",
            "voting": box,
            "bootstrap": box,
            "datadir": str(folder),
        },
        "network": {
            "bind": bind,
            "portRange": [7000, 7000],
            "zones": ZONES,
            "seeds": [f"10.0.0.{k}:7000" for k in (1, 2, 3)],
        },
        "infra": {"heartbeatMs": 500},
        "terms": {"tolerate": {"nodes": 1}},
    }


async def call(door: Any, path: str, body: bytes = b"", method: str = "POST") -> Reply:
    """One call at a door of a program, without a socket."""
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await door({"type": "http", "path": path, "method": method, "headers": []}, receive, send)
    return sent[0]["status"], sent[0]["headers"], b"".join(m["body"] for m in sent[1:])


def plain(text: str, program: Any) -> str:
    """With the names that are drawn anew at each start replaced."""
    life, disk = product.identity(program)
    return text.replace(life, "LIFE").replace(disk, "DISK")


def told(reply: Reply, program: Any) -> list[Any]:
    status, headers, body = reply
    return [status, [[n.decode(), v.decode()] for n, v in headers], plain(body.decode(), program)]


def agrees(found: dict[str, Any]) -> None:
    kept = golden("programs")
    assert found == {name: kept[name] for name in found}


def play(act: Awaitable[None]) -> None:
    async def whole() -> None:
        async with asyncio.timeout(20):
            await act

    asyncio.run(whole())


def test_a_signalbox_tells_its_status_and_takes_calls_as_ever(tmp_path: Path) -> None:
    bodies = golden_bytes("pulls")

    async def act() -> None:
        box = await product.started_signalbox(settings(tmp_path, True))
        inner, control = product.inner_door(box), product.control_door(box)
        found = {"signalbox: status at the start": told(await call(inner, "/status"), box)}
        for name, path, body in (
            ("heartbeat", "/api/Backends.Heartbeat/b1", json.dumps(heartbeat("up", 1)).encode()),
            ("heartbeat, no JSON", "/api/Backends.Heartbeat/b1", b"{"),
            ("heartbeat, no sense", "/api/Backends.Heartbeat/b1", b'{"addr": "h:1"}'),
            ("heartbeat, no id", "/api/Backends.Heartbeat/", json.dumps(heartbeat("up", 1)).encode()),
            ("leave of a stranger, cut off", "/api/Backends.Leave/b9", b""),
            ("leave, cut off", "/api/Backends.Leave/b1", b""),
            ("replace, cut off", "/api/Config.Replace", CONFIGURATION),
            ("no such call", "/api/Config.Change", b""),
            ("no call", "/other", b""),
        ):
            found[f"signalbox: {name}"] = told(await call(control, path, body), box)
        found["signalbox: read, cut off"] = told(await call(control, "/api/Config.Read", method="GET"), box)
        for name, path, body in (
            ("pull, no sense", "/pull", b"\x93\x01"),
            ("letter, no sense", "/letter", b"\x93\x01"),
            ("no such inner call", "/other", b""),
        ):
            found[f"signalbox: {name}"] = told(await call(inner, path, body), box)
        product.signalbox_learns(box, [BOX_CARD, JUNCTION_CARD, product.PeerRecord(
            "signalbox-1", "10.0.0.2", 7000, "south", True, "signalbox-1.ffffffff", 5)],
            CONFIGURATION, KNOWN_BACKENDS)  # fmt: skip
        found["signalbox: status"] = told(await call(inner, "/status"), box)
        agrees(found)
        question, who, reply = product.decode_reply((await call(
            inner, "/letter", golden_bytes("envelopes")["request: look"]))[2])  # fmt: skip
        _, disk = product.identity(box)
        assert question == 70001 and who == disk
        assert reply == product.Seen(0, True, 7, 7, disk, "10.0.0.1:7000", True)
        for name, voter in (("first of a junction", False), ("signalbox, nothing known", True)):
            status, headers, body = await call(inner, "/pull", bodies[name])
            news = product.decode_news(body)
            assert status == 200 and headers == [(b"content-length", str(len(body)).encode())]
            assert product.encode_news(news) == body
            raw = product.unpack(body)
            assert raw[0][:6] == ["signalbox-0", "10.0.0.1", 7000, "north", True, product.identity(box)[0]]
            life, _ = product.identity(box)
            gone = ["größe", "10.0.0.9:8080", "north", 2.0, "gone", 1, 1500, 0]
            stranger = ["", "", "", 0.0, "gone", 0, 0, 0]
            assert raw[2] == [[life, True, 3, [[2, "b/b9", stranger], [3, "b/b1", gone]]]]
            assert raw[3] is False and (raw[4] is None) != voter and (raw[5] is None) != voter
            if voter:
                assert zlib.decompress(raw[4][1]) == CONFIGURATION
                assert raw[6] == [0, [[f"@10.0.0.{k}:7000", f"10.0.0.{k}:7000"] for k in (1, 2, 3)]]
                assert raw[7] == [[7, product.content_digest(CONFIGURATION)]]
        product.stop_signalbox(box)

    play(act())


def test_a_signalbox_says_figures_and_its_pulse_under_the_keys_of_ever(tmp_path: Path) -> None:
    assert (product.BACKENDS_PREFIX, product.FIGURES_PREFIX) == ("b/", "f/")

    async def act() -> None:
        box = product.make_signalbox(settings(tmp_path, True))
        said = product.turn(box, {"north": golden_bytes("values")["figures"], "south": b"\x92\x90\x90"})
        assert list(said) == ["pulse", "f/north"] and said["pulse"] == 1
        covers_ms, *figures = said["f/north"]
        assert type(covers_ms) is int and covers_ms >= 0
        assert product.pack(figures).hex() == golden_bytes("values")["figures"].hex()
        product.stop_signalbox(box)

    play(act())


def test_a_signalbox_sends_its_letters_and_pulls_as_ever(tmp_path: Path) -> None:
    async def act() -> None:
        box = product.make_signalbox(settings(tmp_path, True))
        path, body = await product.sent_letter(box, 70001, "10.0.0.2:7000", LETTERS["accept"])
        question, packed = product.unpack(body)
        assert path == b"/letter" and question == 70001
        assert zlib.decompress(packed) == golden_bytes("letters")["accept"]
        product.signalbox_learns(box, [JUNCTION_CARD], CONFIGURATION, KNOWN_BACKENDS)
        path, body = await product.sent_pull_of_signalbox(box, "10.0.0.2", 7000)
        raw = product.unpack(body)
        card = ["signalbox-0", "10.0.0.1", 7000, "north", True, product.identity(box)[0]]
        assert path == b"/pull" and raw[0][:6] == card and product.pack(raw) == body
        assert raw[1:] == [[product.unpack(golden_bytes("cards")["junction"])], {}, 7, 500, None, 0, ["", -1]]
        product.stop_signalbox(box)

    play(act())


def test_a_junction_tells_its_status_and_pulls_as_ever(tmp_path: Path) -> None:
    async def act() -> None:
        junction = product.make_junction(settings(tmp_path, False))
        inner = product.inner_door(junction)
        found = {"junction: status at the start": told(await call(inner, "/status"), junction)}
        found["junction: no such call"] = told(await call(inner, "/pull"), junction)
        path, body = await product.sent_pull(junction)
        assert path == b"/pull"
        life, _ = product.identity(junction)
        card = ["junction-0", "10.0.1.1", 7000, "north", False, life]
        raw = product.unpack(body)
        assert raw[0][:6] == raw[1][0][:6] == card and type(raw[0][6]) is int
        assert raw[2:] == [{}, 0, 1000, None, None, None]
        assert product.pack(raw) == body
        product.junction_learns(junction, CONFIGURATION, KNOWN_BACKENDS)
        product.junction_learns(junction, CONFIGURATION, {"f/north": ZONE_FIGURES})
        status = await call(inner, "/status")
        text = re.sub(r'"figures_s": \d\.\d+', '"figures_s": 0.0', plain(status[2].decode(), junction))
        found["junction: status"] = told((status[0], status[1], text.encode()), junction)
        agrees(found)

    play(act())


# -- lines of the controller of routing tables

ORDERS: dict[str, tuple[tuple[Any, ...], ...]] = {
    "table": ((("look", "order"), True, (("b-1", 1.5), ("b-2", 0.0)), None, None),),
    "two parts": (
        (("look",), False, (("b-1", 1e-12),), (0.25, 2), None),
        ((), False, (), (1.0, 0), 41),
    ),
    "mark alone": (((), False, (), None, 0),),
}
LINES: dict[str, tuple[Any, ...]] = {
    "hb": ("beat",),
    "telemetry site=east": ("collector", "east"),
    "attach id=4 site=west rps=6.5 new=1": ("attach", 4, "west", 6.5, True),
    "attach id=4 site=west": ("attach", 4, "west", 0.0, False),
    "done id=4 seq=12 ms=3.5": ("done", 4, 12),
    "upstream_stats site=east target=b-1 count=14 fail=1 mean=48.25 over=500 util=queue:3,cpu:0.5": (
        *("met", "east", "b-1", 14, 1, 48_250_000, 500_000_000),
        {"queue": 3.0, "cpu": 0.5},
    ),
    "upstream_stats site=east target=b-1 count=2 fail=2 over=500": (
        *("met", "east", "b-1", 2, 2, 0, 500_000_000),
        {},
    ),
    "client_stats id=4 lane=look count=9 fail=2 over=1000": ("asked", 4, "look", 9, 2, 1_000_000_000),
}


def test_orders_and_reports_of_proxies_are_lines_as_ever() -> None:
    kept = golden("lines")
    assert {name: product.encode_orders(*parts).decode() for name, parts in ORDERS.items()} == kept["orders"]
    assert product.BEAT_ANSWER.decode() == kept["answer to a beat"]
    assert product.rejection("no such zone").decode() == kept["rejection"]
    assert list(LINES) == kept["reports"]
    for line, (kind, *values) in LINES.items():
        assert product.decode_line(line.encode()) == (product.LINE_KINDS[kind], *values)


# -- calls as bytes


def test_a_call_between_controllers_names_its_question_and_its_process() -> None:
    lines = golden("calls")

    async def act() -> None:
        asked: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            asked.append(head + (await reader.readexactly(4)).decode())
            question = re.findall(r"x-question: ([0-9a-f]{16})\r\n", head)[0]
            writer.write(lines["answer"].replace("QUESTION", question).encode())

        server = RawServer(serve)
        host, port = await server.open()
        assert await product.call_peer(host, port, b"/pull", b"body") == b"news"
        server.close()
        (text,) = asked
        assert re.sub(r"x-question: [0-9a-f]{16}", "x-question: QUESTION", text) == lines["call"]
        port, close = await product.open_echo("signalbox-0.0a1b2c3d")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(lines["call"].encode())
        found = (await reader.readuntil(b"\r\n\r\n")).decode()
        assert (found, await reader.readexactly(4)) == (lines["answer of a door"], b"body")
        writer.close()
        close()

    play(act())
