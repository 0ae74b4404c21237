"""What controllers hold and tell each other: one message at a time is mutated; nothing false comes of it."""

from __future__ import annotations

import copy
import json
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from meadowworks.cli.config import differences
from meadowworks.cli.main import main
from meadowworks.config.route_table import load_route_table
from meadowworks.config.validation import InvalidConfiguration, ValidConfiguration, validate_configuration
from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptRequest,
    BallotRejectedReply,
    PrepareRequest,
    PromiseReply,
    VersionDecidedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import Ballot, CommittedValue, Epoch, digest
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PEER_EXPIRY_NS, PartialView, PeerRecord
from meadowworks.gossip.updates import MAX_TOMBSTONES, SOURCE_EXPIRY_NS, KeyUpdate, SourceDelta, UpdateStore
from meadowworks.load_balancing.service_balancer import BackendLoad, ServiceBalancer
from meadowworks.local.system import Ports, SystemLayout, build_configuration
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector
from meadowworks.registry.backends import BackendDirectory, BackendInstance
from meadowworks.registry.heartbeats import CallAccepted, HeartbeatRegistry, InvalidCall
from meadowworks.runtime import node_settings
from meadowworks.runtime.errors import SettingsError
from meadowworks.storage.sqlite_store import SqliteStore
from tests.gateway.helpers import SECOND

ODD: tuple[Any, ...] = (None, "", "x", -1, 0, 1.5, True, [], {}, "ff" * 9)


def mutants(whole: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[tuple[Any, ...], Any]]:
    """Every message that differs in one place: left out, or of another kind."""
    rows = list(whole.items()) if isinstance(whole, dict) else list(enumerate(whole))
    for key, value in rows:
        for odd in ODD:
            if type(odd) is not type(value):
                changed = copy.deepcopy(whole)
                changed[key] = odd
                yield (*at, key, odd), changed
        if isinstance(whole, dict):
            left = copy.deepcopy(whole)
            del left[key]
            yield (*at, key), left
        if isinstance(value, dict | list):
            for where, inner in mutants(value, (*at, key)):
                changed = copy.deepcopy(whole)
                changed[key] = inner
                yield where, changed


BEAT = {
    "addr": "10.0.0.9:8080",
    "details": {"svc": "s", "ver": "v1", "zone": "north", "capacity": 2},
    "status": {"state": "up", "calls": 4, "warmupMs": 0},
}


def saying(said: list[Any]) -> Callable[[str, Any], int]:
    """What a signalbox says, kept; the version is how much it has said."""

    def say(key: str, value: Any) -> int:
        said.append(value)
        return len(said)

    return say


def test_a_mutated_heartbeat_is_refused_or_says_the_same_life_and_never_breaks() -> None:
    seen = 0
    for _, mutant in mutants(BEAT):
        said: list[Any] = []
        beats = HeartbeatRegistry(saying(said), 1000)
        found = beats.heartbeat(0, "i", mutant)
        seen += isinstance(found, InvalidCall)
        assert isinstance(found, InvalidCall) == (not said)
        lives = BackendDirectory(lambda name: 0, lambda: 0)
        for value in said:
            lives.on_update(KeyUpdate("box", "b/i", value))
            assert lives.instances["i"].state == "up" and lives.instances["i"].port == 8080
    assert seen > 30


def test_a_life_never_goes_back_whoever_says_so_and_in_whatever_order() -> None:
    up, drain = ["s", "h:1", "z", 2.0, "up", 5, 0, 0], ["s", "h:1", "z", 2.0, "draining", 6, 0, 0]
    gone, quiet = ["", "", "", 0.0, "gone", 0, 0, 0], ["s", "h:1", "z", 2.0, "up", 5, 0, 1]
    for first, second, state in (
        (up, drain, "draining"),
        (drain, up, "draining"),
        (up, gone, "gone"),
        (gone, up, "gone"),
        (quiet, up, "up"),
        (up, quiet, "up"),
    ):
        lives = BackendDirectory(lambda name: 0, lambda: 0)
        lives.on_update(KeyUpdate("one", "b/i", up))
        lives.on_update(KeyUpdate("one", "b/i", first))
        lives.on_update(KeyUpdate("two", "b/i", second))
        assert lives.instances["i"].state == state, (first, second)
    beats, said = HeartbeatRegistry(lambda key, value: 7, 1000), CallAccepted(7)
    assert beats.heartbeat(0, "i", BEAT) == CallAccepted(0)
    drained = {**BEAT, "status": {"state": "draining", "calls": 5}}
    assert beats.heartbeat(1, "i", drained) == said
    assert (
        beats.heartbeat(2, "i", BEAT) == said and beats.registrations["i"].state == "draining"
    )  # a late one
    assert beats.leave(3, "i") == said and beats.heartbeat(4, "i", drained) == said
    assert beats.registrations["i"].state == "gone"


def test_silence_is_told_and_a_source_that_is_gone_vouches_for_nobody() -> None:
    said: list[Any] = []
    beats = HeartbeatRegistry(saying(said), 1000)
    beats.heartbeat(0, "i", BEAT)
    beats.tick(3 * SECOND)
    assert len(said) == 1
    beats.tick(5 * SECOND)
    assert said[-1][-1] == 1
    beats.heartbeat(6 * SECOND, "i", {**BEAT, "status": {"state": "up", "calls": 9}})
    assert said[-1][-1] == 0
    silent = {"one": 0, "two": 0}
    lives = BackendDirectory(lambda name: silent[name], lambda: 0)
    lives.on_update(KeyUpdate("one", "b/i", said[0]))
    lives.on_update(KeyUpdate("two", "b/j", said[0]))
    silent["one"] = 9 * SECOND
    lives.refresh_all()
    assert (lives.instances["i"].state, lives.instances["j"].state) == ("quiet", "up")
    silent["two"] = 9 * SECOND  # nobody at all is heard: that says nothing of the backends
    lives.refresh_all()
    assert lives.instances["i"].state == "up"


def news(vector_of: UpdateStore, holder: UpdateStore, now: int = 0) -> list[SourceDelta]:
    pieces = holder.deltas_since(vector_of.remote_version_vector(), vector_of.source_id)
    for piece in pieces:
        vector_of.apply(now, piece)
    return pieces


def test_news_come_as_a_snapshot_then_as_changes_and_an_old_piece_changes_nothing() -> None:
    source, middle, reader = UpdateStore("s"), UpdateStore("m"), UpdateStore("r")
    told: list[KeyUpdate] = []
    reader.update_listeners.append(told.append)
    for k in range(5):
        source.publish(f"b/{k}", k)
    news(middle, source)
    [whole] = [p for p in news(reader, middle) if p.source == "s"]
    assert whole.is_snapshot and len(whole.changes) == 5
    source.publish("b/0", "new")
    news(middle, source)
    [change] = [p for p in news(reader, middle) if p.source == "s"]
    assert not change.is_snapshot and len(change.changes) == 1
    source.publish("b/9", "newer than the snapshot")
    news(middle, source)
    news(reader, middle)
    told.clear()
    reader.apply(0, whole)  # comes late
    assert (
        not told and "b/9" in reader.sources["s"].entries and reader.sources["s"].entries["b/0"][1] == "new"
    )
    for k in range(MAX_TOMBSTONES + 9):
        source.publish(f"t{k}", None)
    news(middle, source)
    assert [p.is_snapshot for p in news(reader, middle) if p.source == "s"] == [True]  # it fell behind
    assert reader.sources["s"].latest_version == source.sources["s"].latest_version and not news(
        reader, middle
    )
    middle.publish("pulse", 1)
    news(reader, middle, SOURCE_EXPIRY_NS)
    assert reader.expire_sources(SOURCE_EXPIRY_NS + 1) == ["s"] and set(reader.sources) == {"r", "m"}


def test_a_mutated_message_between_controllers_is_garbled_or_harmless() -> None:
    me = PeerRecord("a", "10.0.0.1", 7000, "north", True, "a.1", 5)
    figures = [[["i", 1, 0, 5, 1, 1, 0]], [["s", 1]]]
    pull = post.PullRequest(me, (me,), {"s": 3}, 1, 100, figures, 4, post.DrainAcknowledgement("b.1", 7))
    answer = post.PullReply(me, (me,), (SourceDelta("s", True, 3, ((3, "k", 1),)),), True, (2, b"{}"))
    garbled = 0
    for whole, read in ((pull, post.decode_pull_request), (answer, post.decode_pull_reply)):
        raw = post.decode(whole.encode())
        assert read(whole.encode()) == whole
        for _, mutant in mutants(raw):
            try:
                read(post.encode(mutant))
            except post.MalformedMessageError:
                garbled += 1
        with pytest.raises(post.MalformedMessageError):
            read(whole.encode()[:-1])
    assert garbled > 60


def test_a_controller_whose_clock_was_set_back_before_its_start_is_known_by_its_new_life() -> None:
    lives = (("l0", 900), ("l1", 400))
    old, new = (PeerRecord("n0", "10.0.0.0", 7000, "z", True, life, beat) for life, beat in lives)
    one, other = PartialView(new, 1), PartialView(PeerRecord("n1", "10.0.0.1", 7000, "z", True, "m", 1), 2)
    other.merge(1, [old])
    other.merge(2, [one.local])
    assert other.peers["10.0.0.0"].record.incarnation == "l0"  # by its count alone it is older
    one.merge(3, other.shuffle_sample())
    other.merge(4, [one.local])
    assert other.peers["10.0.0.0"].record.incarnation == "l1"
    one.merge(5, [one.local])
    assert one.local.heartbeat == 901 and not set(one.peers) - {"10.0.0.1"}


def test_members_shuffle_until_all_voters_are_known_and_who_is_gone_is_forgotten() -> None:
    cards = [PeerRecord(f"n{k}", f"10.0.0.{k}", 7000, "z", k < 5, f"l{k}", 1) for k in range(7)]
    nodes = [PartialView(card, k) for k, card in enumerate(cards)]
    for turn in range(4):
        for k, node in enumerate(nodes):  # each speaks to the one before it alone
            other = nodes[(k + 1) % len(nodes)]
            node.merge(turn, other.shuffle_sample())
            other.merge(turn, node.shuffle_sample())
    assert all(len(node.voters()) == 5 - (k < 5) for k, node in enumerate(nodes))
    nodes[6].merge(9, [PeerRecord("n0", "10.0.0.0", 7000, "z", True, "l0", 0)])
    assert nodes[6].peers["10.0.0.0"].record.heartbeat == 1  # an old card replaces no newer one
    nodes[6].expire(PEER_EXPIRY_NS + 10)
    assert not nodes[6].peers and nodes[6].undiscovered_seeds([("10.0.0.1", 9)], 7000) == [("10.0.0.1", 7000)]
    upstream = ControlPlaneSelector("z")
    far = PeerRecord("f", "10.0.9.9", 7000, "y", True, "f", 1)
    assert upstream.choose(0, [far, cards[0]], []) == ("10.0.0.0", 7000)
    upstream.mark_failed(0, "10.0.0.0")
    assert upstream.choose(1, [far, cards[0]], []) == ("10.0.9.9", 7000)


CONFIG = json.loads(build_configuration(7, {"/a/": ("safe", "s"), "/a/b/": ("unsafe", "t")}))


def test_a_mutated_configuration_is_refused_or_loads_whole() -> None:
    refused = 0
    for where, mutant in mutants(CONFIG):
        body = json.dumps(mutant).encode()
        found = validate_configuration(body)
        refused += isinstance(found, InvalidConfiguration)
        if isinstance(found, ValidConfiguration):
            load_route_table(body)
        if where in (("ver",), ("svcs",), ("limits",), ("vhosts",)):
            assert isinstance(found, InvalidConfiguration)
    assert refused > 60


@pytest.mark.parametrize(
    "field, value",
    [
        ("deadlineMs", 0),
        ("targetMs", 62_001),
        ("prefix", "a/"),
        ("svc", "nobody"),
        ("type", "odd"),
        ("name", "r1"),
        ("prefix", "/a/b/"),
        ("split", [{"svc": "s", "weight": 0}]),
    ],
)
def test_what_the_operators_page_calls_invalid_is(field: str, value: Any) -> None:
    wrong = copy.deepcopy(CONFIG)
    if field == "split":
        del wrong["vhosts"][0]["prefixes"][0]["svc"]
    wrong["vhosts"][0]["prefixes"][0][field] = value
    assert isinstance(validate_configuration(json.dumps(wrong).encode()), InvalidConfiguration)
    assert validate_configuration(json.dumps(CONFIG).encode()) == ValidConfiguration(7)
    assert isinstance(
        validate_configuration(json.dumps(CONFIG).encode()[:-9]), InvalidConfiguration
    )  # cut short


def test_the_longest_prefix_of_the_host_is_the_route() -> None:
    table = load_route_table(json.dumps(CONFIG).encode())
    for path, name in (
        ("/a/x", "r0"),
        ("/a/b/x", "r1"),
        ("/a/b", "r0"),
        ("/a/bb/", "r0"),
        ("/b/", None),
        ("/a", None),
    ):
        route = table.find_route("LOCAL.example:80", path)
        assert (route.name if route else None) == name
    assert table.find_route("other.example", "/a/x") is None


def test_a_disk_holds_what_it_has_saved_through_a_loss_of_power(tmp_path: Path) -> None:
    def acceptor(disk: SqliteStore) -> Acceptor:
        stored = disk.load()
        return load_acceptor(
            stored.metadata,
            new_member_id="d",
            address="h:1",
            seeds=("h:1",),
            bootstrap=True,
            voting=True,
            committed=stored.committed,
            history=stored.history,
            slots=stored.slots,
        )

    disk = SqliteStore(tmp_path / "d")
    assert disk.load().metadata is None
    replica = Replica(acceptor(disk), 0, lambda: 0.5)
    found = replica.acceptor
    found.install(Epoch(1, (("d", "h:1"),)), found.export_state())
    found.handle(PrepareRequest(1, 3, Ballot(1, 4, "p")))
    found.handle(AcceptRequest(1, 3, Ballot(1, 4, "p"), b"three"))
    disk.save(replica.writes.collect_update())
    shutil.copytree(tmp_path / "d", tmp_path / "after")  # as the power goes: what is on the disk, unclosed
    found.learn(3, b"three")
    disk.save(replica.writes.collect_update())
    shutil.copytree(tmp_path / "d", tmp_path / "later")
    again = acceptor(SqliteStore(tmp_path / "after"))
    assert again.member_id == "d" and again.may_vote() and again.epoch == found.epoch
    assert again.handle(PrepareRequest(1, 3, Ballot(1, 3, "q"))) == BallotRejectedReply(Ballot(1, 4, "p"))
    promised = PromiseReply(Ballot(1, 5, "q"), Ballot(1, 4, "p"), b"three")
    assert again.handle(PrepareRequest(1, 3, Ballot(1, 5, "q"))) == promised
    later = acceptor(SqliteStore(tmp_path / "later"))
    assert later.committed == CommittedValue(3, b"three") and not later.slots
    assert later.history == {3: digest(b"three")}
    assert isinstance(later.handle(PrepareRequest(1, 2, Ballot(1, 9, "q"))), VersionDecidedReply)


def test_a_services_table_is_of_its_zone_by_capacity_and_what_drains_leaves_at_once() -> None:
    service = ServiceBalancer("s", ["north", "south"], "north", SECOND // 2, 1, 0)

    def lives(*states: str) -> list[BackendInstance]:
        zones = ("north", "north", "south")
        return [
            BackendInstance(f"b{k}", "s", "h", k, zones[k], 2.0 + k, state, 0, 0)
            for k, state in enumerate(states)
        ]

    service.update_backends(1, lives("up", "up", "up"))
    named = {service.endpoint_ids.name_by_index[p]: w for p, w in service.weights.items()}
    assert named == {"b0": 2.0, "b1": 3.0} and {
        service.endpoint_ids.name_by_index[p] for p in service.remote_weights
    } == {"b2"}
    service.update_backends(2, lives("draining", "up", "up"))
    assert {service.endpoint_ids.name_by_index[p] for p in service.weights} == {"b1"}
    service.update_backends(3, lives("draining", "draining", "up"))
    assert {service.endpoint_ids.name_by_index[p] for p in service.weights} == {
        "b2"
    }  # the zone has none: all of them
    for k in range(1, 40):  # demand that fits leaves the level open
        now = k * SECOND
        service.record_zone_report(now, 0, {"b2": BackendLoad(20, 0, 20_000_000, 0.0)}, 20, SECOND)
        service.tick(now)
        service.tick(now + SECOND // 2)
    assert (
        service.admission_ratio == 1.0
        and not service.report_overdue(40 * SECOND, 0)
        and service.report_overdue(50 * SECOND, 0)
    )


SETTINGS = json.loads(json.dumps(SystemLayout(9, Ports(1, 2, 3, 4)).node_settings(0, Path("/d"))))


def test_mutated_settings_are_one_plain_line_or_make_sense(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    bad = 0
    for _, mutant in mutants(SETTINGS):
        try:
            node_settings.parse_settings(json.dumps(mutant))
        except SettingsError as trouble:
            bad += 1
            assert "\n" not in str(trouble) and len(str(trouble)) < 300
    assert bad > 60
    assert node_settings.parse_settings(json.dumps({**SETTINGS, "unknown": 1})).node == "signalbox-0"
    with pytest.raises(SettingsError, match="MEADOWWORKS_NODE_FILE is not set"):
        node_settings.load_settings({})
    with pytest.raises(SettingsError, match="cannot be read"):
        node_settings.load_settings({"MEADOWWORKS_NODE_FILE": str(tmp_path / "none")})
    file = tmp_path / "f.json"
    for text, words, status in (
        (json.dumps(SETTINGS), ["settings"], 0),
        ("{", ["settings"], 2),
        (json.dumps(CONFIG), ["config", "check"], 0),
        ("{", ["config", "check"], 2),
    ):
        file.write_text(text)
        assert main([*words, str(file)]) == status
    assert main(["config", "get"]) == main(["status", "nowhere"]) == main(["local", "--port", "9"]) == 2
    assert all(line.startswith(("meadowworks: ", str(file))) for line in capsys.readouterr().err.splitlines())


def test_backends_known_before_all_controllers_were_lost_are_known_after(tmp_path: Path) -> None:
    said: dict[str, Any] = {}
    beats = HeartbeatRegistry(lambda key, value: said.update({key: value}) or 1, 1000)
    beats.heartbeat(0, "i", BEAT)
    beats.heartbeat(0, "j", BEAT)
    beats.leave(1, "j")
    disk = SqliteStore(tmp_path / "d")
    disk.save_backend_hints({ident: post.encode(value) for ident, value in beats.durable_values().items()})
    shutil.copytree(tmp_path / "d", tmp_path / "after")
    rows = {
        ident: post.decode(value)
        for ident, value in SqliteStore(tmp_path / "after").load_backend_hints().items()
    }
    assert set(rows) == {"i"}
    said.clear()
    later = HeartbeatRegistry(lambda key, value: said.update({key: value}) or 1, 1000)
    later.restore(100 * SECOND, rows)
    assert said["b/i"][:5] == ["s", "10.0.0.9:8080", "north", 2.0, "up"]
    later.tick(105 * SECOND)  # it has not beaten since
    assert said["b/i"][-1] == 1


def test_a_difference_is_told_by_name() -> None:
    other = copy.deepcopy(CONFIG)
    other["vhosts"][0]["prefixes"][1]["tries"] = 9
    assert differences(CONFIG, other) == ["vhosts.local.example.prefixes.r1.tries: 2 -> 9"]
    del other["vhosts"][0]["prefixes"][0]
    assert len(differences(CONFIG, other)) == 2 and not differences(CONFIG, CONFIG)
