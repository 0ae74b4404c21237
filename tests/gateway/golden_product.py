"""The one place where the golden tests name the product.

A rename or a move of the product's code is followed here and nowhere else in the golden tests. The data under
`golden/` is what running and stopped installations hold and send: it does not change with the code.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest.mock import patch

from meadowworks.cli import main as commands
from meadowworks.config.route_table import load_route_table as load_configuration
from meadowworks.consensus import codec, values
from meadowworks.consensus import messages as consensus_messages
from meadowworks.consensus.effects import Persist, SendReply, SendRequest, StateUpdate
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.controlplane import consensus_envelope
from meadowworks.controlplane.drain_service import decode_rows
from meadowworks.controlplane.server import ControlPlaneServer
from meadowworks.fleet import messages
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX as FIGURES_PREFIX
from meadowworks.load_balancing.load_reports import LoadReport
from meadowworks.proxy.server import ProxyServer
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX as BACKENDS_PREFIX
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import HeartbeatRegistry
from meadowworks.runtime import node_settings
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response
from meadowworks.storage.sqlite_store import SqliteStore

__all__ = ["BACKENDS_PREFIX", "FIGURES_PREFIX", "PeerRecord", "SourceDelta", "load_configuration"]

# -- typed values of the agreement on versions and members

Ballot = values.Ballot
Epoch = values.Epoch
Held = values.CommittedValue
Slot = values.AcceptorSlot
State = values.AcceptorState
NO_BALLOT = values.NO_BALLOT
NO_EPOCH = values.NO_EPOCH_NUMBER

Prepare = consensus_messages.PrepareRequest
Accept = consensus_messages.AcceptRequest
Seal = consensus_messages.SealRequest
Install = consensus_messages.InstallRequest
Look = consensus_messages.QueryRequest
Fetch = consensus_messages.SnapshotRequest
Teach = consensus_messages.LearnRequest
Seen = consensus_messages.QueryReply
Promised = consensus_messages.PromiseReply
Accepted = consensus_messages.AcceptedReply
Refused = consensus_messages.BallotRejectedReply
Past = consensus_messages.VersionDecidedReply
Newer = consensus_messages.StaleEpochReply
Sealed = consensus_messages.SealedReply
Installed = consensus_messages.InstalledReply
Outside = consensus_messages.NotAMemberReply
Whole = consensus_messages.SnapshotReply

# What stands where in a message, by its name in the code: a message is told and read by place.
FIELDS: dict[Any, tuple[str, ...]] = {
    Ballot: ("epoch", "number", "proposer_id"),
    Epoch: ("number", "members"),
    Held: ("version", "value"),
    Slot: ("promised", "accepted", "value"),
    State: ("committed", "history", "slots"),
    Prepare: ("epoch", "version", "ballot"),
    Accept: ("epoch", "version", "ballot", "value"),
    Seal: ("epoch", "next_epoch"),
    Install: ("epoch", "next_epoch", "state"),
    Look: ("epoch",),
    Fetch: ("epoch",),
    Teach: ("epoch", "committed", "history"),
    Seen: (
        "epoch",
        "may_vote",
        "highest_version",
        "committed_version",
        "member_id",
        "address",
        "is_eligible",
    ),
    Promised: ("ballot", "accepted", "value"),
    Accepted: ("ballot",),
    Refused: ("ballot",),
    Past: ("committed", "history"),
    Newer: ("epoch",),
    Sealed: ("next_epoch", "state"),
    Installed: ("epoch",),
    Outside: ("epoch",),
    Whole: ("committed", "history"),
    PeerRecord: ("name", "host", "port", "zone", "is_voter", "incarnation", "heartbeat"),
    SourceDelta: ("source", "is_snapshot", "latest_version", "changes"),
    post.PullRequest: (
        "sender",
        "peers",
        "version_vector",
        "config_version",
        "max_wait_ms",
        "load_report",
        "epoch_number",
        "drain_acknowledgement",
    ),
    post.PullReply: (
        "sender",
        "peers",
        "deltas",
        "has_lease",
        "config",
        "acceptor_state",
        "epoch",
        "decided_digests",
    ),
}
LETTER_KINDS = frozenset(codec.FIELD_DECODERS)
content_digest = values.digest
encode_members = encode_member_list  # the content of the version that says who votes next
decode_members = decode_member_list

# -- messages between controllers

# Plain pairs stand for an acknowledgement and for a configuration: their types are tuples with names.
Pull: Any = post.PullRequest
News: Any = post.PullReply
Unreadable = post.DECODE_ERRORS  # what the readers of messages raise


def pack(value: Any) -> bytes:
    return post.encode(value)


def unpack(body: bytes) -> Any:
    return post.decode(body)


def encode_letter(letter: Any) -> bytes:
    """A request or reply of the agreement, as it lies compressed in the body of a call."""
    return post.encode(codec.encode(letter))


def decode_letter(body: bytes) -> Any:
    return codec.decode(post.decode(body))


def compressed_letter(letter: Any) -> bytes:
    return asyncio.run(consensus_envelope.compress_message(letter))


def decode_request(body: bytes) -> tuple[int, Any]:
    envelope = consensus_envelope.decode_request(body)
    return envelope.request_id, envelope.request


def decode_reply(body: bytes) -> tuple[int, str, Any]:
    envelope = consensus_envelope.decode_reply(body)
    return envelope.request_id, envelope.member_id, envelope.reply


def encode_pull(pull: Any) -> bytes:
    return pull.encode()  # type: ignore[no-any-return]


def encode_news(news: Any) -> bytes:
    return news.encode()  # type: ignore[no-any-return]


decode_pull = post.decode_pull_request
decode_news = post.decode_pull_reply


def encode_card(card: Any) -> bytes:
    return post.encode(post.encode_peer(card))


def decode_card(body: bytes) -> Any:
    return post.decode_peer(post.decode(body))


def encode_piece(piece: Any) -> bytes:
    return post.encode(post.encode_delta(piece))


def decode_piece(body: bytes) -> Any:
    return post.decode_delta(post.decode(body))


# -- figures and lives, as values within pulls and news


def encode_figures(
    tries: list[tuple[str, bool, float]], loads: list[tuple[str, int, int]], calls: list[str]
) -> bytes:
    """What a junction tells that met these answers."""
    sums = LoadReport()
    for ident, good, spent_ms in tries:
        sums.record_attempt(ident, good, spent_ms)
    for ident, running, waiting in loads:
        sums.record_backend_load(ident, running, waiting)
    for service in calls:
        sums.record_request(service)
    return post.encode(sums.pack())


def decode_figures(body: bytes) -> tuple[dict[str, list[float]], dict[str, int]]:
    sums = LoadReport()
    sums.merge(post.decode(body))
    return sums.backend_counts, sums.service_requests


def said_of_backend(*steps: Mapping[str, Any] | str) -> dict[str, Any]:
    """What a signalbox says of a backend `b` after these heartbeats; the text `leave` is its end, `silence`
    that nothing is heard for long."""
    said: dict[str, Any] = {}

    def say(key: str, value: Any) -> int:
        said[key] = value
        return len(said)

    beats = HeartbeatRegistry(say, 1000)
    for now, step in enumerate(steps, 1):
        if step == "leave":
            beats.leave(now, "b")
        elif step == "silence":
            beats.tick(now + 5_000_000_000)
        else:
            beats.record_heartbeat(now, "b", step)
    return said


def known_backend(key: str, value: Any) -> tuple[Any, ...]:
    """A backend as a reader of the news knows it."""
    lives = BackendDirectory(lambda source: 0, lambda: 0)
    lives.on_update(KeyUpdate("source", key, value))
    (found,) = lives.instances.values()
    place = (found.host, found.port, found.zone)
    return (found.instance_id, found.service, *place, found.capacity, found.state, found.warm_at_ns)


# -- lines between the controller of routing tables and its proxies


def encode_orders(*parts: tuple[Any, ...]) -> bytes:
    """Each part: routes, whether it is full, lines, grant, mark."""
    return messages.encode_updates([messages.TableUpdate(*part) for part in parts])


def decode_line(line: bytes) -> tuple[Any, ...]:
    """What a proxy or collector says: its kind, and its fields."""
    found = messages.decode_line(line)
    return type(found), *(getattr(found, name) for name in LINE_FIELDS[type(found)])


LINE_FIELDS: dict[Any, tuple[str, ...]] = {
    messages.Heartbeat: (),
    messages.CollectorHello: ("zone",),
    messages.ProxyHello: ("proxy", "zone", "usual_rate", "is_new"),
    messages.UpdateApplied: ("proxy", "nonce"),
    messages.BackendReport: ("zone", "backend", "attempts", "failures", "latency_ns", "period_ns", "load"),
    messages.DemandReport: ("proxy", "route", "calls", "dropped", "period_ns"),
}
LINE_KINDS = {
    "beat": messages.Heartbeat,
    "collector": messages.CollectorHello,
    "attach": messages.ProxyHello,
    "done": messages.UpdateApplied,
    "met": messages.BackendReport,
    "asked": messages.DemandReport,
}
BEAT_ANSWER = messages.HEARTBEAT_REPLY
rejection = messages.encode_rejection

# -- disks

STORE_FILE = "timetable.db"


class Store:
    """A stopped signalbox's disk, opened by the product."""

    def __init__(self, folder: Path) -> None:
        self.disk = SqliteStore(folder)

    def meta(self) -> Any:
        return self.disk.load().metadata

    def held(self) -> Any:
        return self.disk.load().committed

    def history(self) -> dict[int, bytes]:
        return dict(self.disk.load().history)

    def slots(self) -> dict[int, Any]:
        return dict(self.disk.load().slots)

    def lives(self) -> dict[str, Any]:
        return decode_rows(self.disk.load_backend_hints())

    def fences(self) -> dict[str, Any]:
        return decode_rows(self.disk.load_drain_records())

    def write(
        self,
        meta: Mapping[str, Any] | None,
        held: Any,
        history: Mapping[int, bytes],
        slots: Mapping[int, Any],
    ) -> None:
        self.disk.save(StateUpdate(meta, held, history, 0, slots))

    def keep(self, lives: Mapping[str, Any], fences: Mapping[str, Any]) -> None:
        """Through the machines that hand rows to the disk."""
        beats = HeartbeatRegistry(lambda key, value: 1, 1000)
        beats.restore(0, dict(lives))
        self.disk.save_backend_hints(
            {ident: post.encode(value) for ident, value in beats.durable_values().items()}
        )
        held = DrainLog("source")
        for ident, value in fences.items():
            held.on_update(0, KeyUpdate("other", BACKENDS_PREFIX + ident, value))
        batch = held.next_batch()
        assert batch is not None or not fences
        if batch is not None:
            rows = {ident: post.encode(list(value)) for ident, value in batch.rows.items()}
            self.disk.save_drain_records(rows, batch.deleted)

    def start(self, address: str) -> Any:
        """The machine of a signalbox that starts from this disk, its first write made. Its acceptor."""
        stored = self.disk.load()
        acceptor = load_acceptor(
            stored.metadata,
            new_member_id="unused",
            address=address,
            seeds=(),
            bootstrap=False,
            voting=True,
            committed=stored.committed,
            history=stored.history,
            slots=stored.slots,
        )
        self.replica = Replica(acceptor, 1, lambda: 0.5)
        self.replica.start(0)
        self.settle()
        return acceptor

    def request(self, letter: Any) -> Any:
        """The reply to another's request, once its write is made."""
        self.replica.on_request(0, "ticket", letter)
        return self.settle()

    def settle(self) -> Any:
        reply = None
        while effects := self.replica.take_effects():
            for effect in effects:
                if isinstance(effect, Persist):
                    self.disk.save(effect.update)
                    self.replica.on_persisted(0, effect.write_id)
                elif isinstance(effect, SendReply):
                    reply = effect.reply
        return reply

    def close(self) -> None:
        self.disk.close()


# -- programs, without their sockets: must be made within a running loop


class Recorder:
    """Stands in for the way to another controller: keeps what is sent, and answers nothing."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, bytes]] = []
        self.first = asyncio.Event()

    def client(self, host: str, port: int) -> Recorder:
        return self

    def close(self) -> None:
        pass

    async def call(self, path: bytes, body: bytes, wait_s: float) -> bytes:
        self.sent.append((path, body))
        self.first.set()
        return b""


def make_signalbox(settings: Any) -> ControlPlaneServer:
    return ControlPlaneServer(node_settings.parse_settings(json.dumps(settings)))


def make_junction(settings: Any) -> ProxyServer:
    return ProxyServer(node_settings.parse_settings(json.dumps(settings)))


async def started_signalbox(settings: Any) -> ControlPlaneServer:
    box = make_signalbox(settings)
    await box.node.config_service.start()
    return box


def identity(program: Any) -> tuple[str, str]:
    """The names of its life, and of its disk, which are drawn anew at each start."""
    incarnation = getattr(program, "cluster", program).incarnation
    if not isinstance(program, ControlPlaneServer):
        return incarnation, "none"
    return incarnation, program.node.config_service.replica.acceptor.member_id


def stop_signalbox(box: ControlPlaneServer) -> None:
    for task in box.tasks.running:
        task.cancel()
    box.node.close()


async def sent_letter(
    box: ControlPlaneServer, question: int, address: str, request: Any
) -> tuple[bytes, bytes]:
    """The path and the body under which a signalbox sends a request."""
    recorder = Recorder()
    box.node.config_service.peer_clients = recorder
    await box.node.config_service.send_request(SendRequest(question, address, request))
    (found,) = recorder.sent
    return found


async def sent_pull_of_signalbox(box: ControlPlaneServer, host: str, port: int) -> tuple[bytes, bytes]:
    recorder = Recorder()
    box.node.peer_clients = recorder  # type: ignore[assignment]
    pulls = box.tasks.start(box.pull_client.pull_from(host, port))
    await recorder.first.wait()
    pulls.cancel()
    return recorder.sent[0]


async def sent_pull(junction: ProxyServer) -> tuple[bytes, bytes]:
    """The path and the body under which a junction pulls."""
    recorder = Recorder()
    junction.control_plane.peer_client = lambda host, port: recorder  # type: ignore[assignment,method-assign,return-value]
    await junction.control_plane.pull_once()
    (found,) = recorder.sent
    return found


def turn(box: ControlPlaneServer, figures: Mapping[str, bytes]) -> dict[str, Any]:
    """What a signalbox says in its turn of a second, given what junctions of zones have told."""
    for zone, body in figures.items():
        box.node.zone_loads.add(zone, post.decode(body))
    box.maintenance.tick()
    entries = box.cluster.updates.sources[box.cluster.incarnation].entries
    return {key: value for key, (_, value) in entries.items()}


def junction_learns(junction: ProxyServer, configuration: bytes, said: Mapping[str, Any]) -> None:
    """Configuration and news, as if a signalbox had told them."""
    junction.view.apply_route_table(load_configuration(configuration))
    for key, value in said.items():
        junction.view.gossip.notify_update(KeyUpdate("source", key, value))
    junction.view.refresh_endpoints()


def signalbox_learns(
    box: ControlPlaneServer, cards: list[Any], configuration: bytes, said: Mapping[str, Any]
) -> None:
    box.cluster.peers.merge(0, cards)
    box.node.config_service.replica.on_committed_value(0, Held(7, configuration))
    for key, value in said.items():
        box.cluster.updates.notify_update(KeyUpdate("source", key, value))


def inner_door(program: Any) -> Any:
    return program.peer_endpoint if isinstance(program, ControlPlaneServer) else program.internal_api.handle


def control_door(box: ControlPlaneServer) -> Any:
    return box.api_endpoint


# -- calls between programs, as bytes on a socket


async def call_peer(host: str, port: int, path: bytes, body: bytes) -> bytes:
    return await PeerClient(host, port).call(path, body, 2.0)


async def open_echo(life: str) -> tuple[int, Callable[[], None]]:
    """A door between controllers that answers each call with its body: its port, and what closes it."""

    async def echo(scope: Any, receive: Any, send: Any) -> None:
        await send_response(send, 200, await read_body(receive, 1 << 20), [])  # type: ignore[arg-type]

    door = HttpServer(echo, incarnation=life)
    return await door.listen("127.0.0.1", 0), door.close


# -- the command line

run_command = commands.main


@contextmanager
def days_not_played() -> Iterator[None]:
    """The laboratory's days are left out: its object has the same names without them."""
    # Here, since it needs what else the laboratory needs: messages are tested without.
    from meadowworks.simulation.control import command
    from meadowworks.simulation.control.counts import ScenarioCounts

    nothing = command.RunOutcome(ScenarioCounts(), [], True)
    with patch.object(command, "run_seeds", lambda *words: nothing):
        yield


PROGRAMS = ("meadowworks", "meadowworks.proxy", "meadowworks.controlplane")  # modules that start one
SETTINGS_VARIABLE = "MEADOWWORKS_NODE_FILE"
