"""The parts of the product that the golden tests use.

The golden tests import the product's names from here only. The data under `golden/` are stored and sent by
existing installations, and do not change with the code.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest.mock import patch

from meadowworks.cli.main import main
from meadowworks.config.route_table import load_route_table
from meadowworks.consensus import codec
from meadowworks.consensus.effects import Persist, SendReply, SendRequest, StateUpdate
from meadowworks.consensus.log_messages import (
    AppendReply,
    AppendRequest,
    CampaignReply,
    CampaignRequest,
    LogVoteReply,
    LogVoteRequest,
    SnapshotAppendRequest,
    SnapshotOfferRequest,
    SnapshotPendingReply,
)
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallPositionRequest,
    InstallRequest,
    LearnRequest,
    LogMissingReply,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    SealedPositionReply,
    SealedReply,
    SealPositionRequest,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.replicated_log import Entry, EntryPosition, LogSnapshot, LogSource, LogState
from meadowworks.consensus.transfer_messages import (
    EntriesReply,
    EntriesRequest,
    SnapshotChunkReply,
    SnapshotChunkRequest,
)
from meadowworks.consensus.values import (
    NO_BALLOT,
    NO_EPOCH_NUMBER,
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
    Term,
    digest,
)
from meadowworks.controlplane import consensus_envelope, coordination_calls
from meadowworks.controlplane.drain_service import decode_rows
from meadowworks.controlplane.server import ControlPlaneServer
from meadowworks.coordination import commands, results
from meadowworks.fleet import messages as fleet_messages
from meadowworks.fleet.messages import (
    HEARTBEAT_REPLY,
    BackendReport,
    CollectorHello,
    DemandReport,
    Heartbeat,
    ProxyHello,
    UpdateApplied,
    encode_rejection,
)
from meadowworks.gossip import messages as gossip_messages
from meadowworks.gossip.messages import DECODE_ERRORS, decode, decode_pull_reply, decode_pull_request, encode
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX, LoadReport
from meadowworks.proxy.server import ProxyServer
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import HeartbeatRegistry
from meadowworks.runtime import node_settings
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response
from meadowworks.storage.sqlite_store import SqliteStore

__all__ = [
    "AppendReply",
    "AppendRequest",
    "CampaignReply",
    "CampaignRequest",
    "Entry",
    "EntryPosition",
    "LogSnapshot",
    "LogState",
    "LogVoteReply",
    "LogVoteRequest",
    "SnapshotAppendRequest",
    "Term",
    "SealPositionRequest",
    "InstallPositionRequest",
    "SealedPositionReply",
    "LogMissingReply",
    "SnapshotOfferRequest",
    "SnapshotPendingReply",
    "LogSource",
    "SnapshotChunkRequest",
    "SnapshotChunkReply",
    "EntriesRequest",
    "EntriesReply",
    "AcceptRequest",
    "AcceptedReply",
    "AcceptorSlot",
    "AcceptorState",
    "BACKEND_KEY_PREFIX",
    "BackendReport",
    "Ballot",
    "BallotRejectedReply",
    "CollectorHello",
    "CommittedValue",
    "DECODE_ERRORS",
    "DemandReport",
    "Epoch",
    "HEARTBEAT_REPLY",
    "Heartbeat",
    "InstallRequest",
    "InstalledReply",
    "LOAD_REPORT_PREFIX",
    "LearnRequest",
    "NO_BALLOT",
    "NO_EPOCH_NUMBER",
    "NotAMemberReply",
    "PeerRecord",
    "PrepareRequest",
    "PromiseReply",
    "ProxyHello",
    "QueryReply",
    "QueryRequest",
    "SealRequest",
    "SealedReply",
    "SnapshotReply",
    "SnapshotRequest",
    "SourceDelta",
    "StaleEpochReply",
    "UpdateApplied",
    "VersionDecidedReply",
    "decode",
    "decode_member_list",
    "decode_pull_reply",
    "decode_pull_request",
    "commands",
    "coordination_calls",
    "digest",
    "encode",
    "encode_member_list",
    "encode_rejection",
    "load_route_table",
    "main",
    "results",
]

# -- consensus messages

# Field names by position: messages are encoded and decoded by position.
FIELDS: dict[Any, tuple[str, ...]] = {
    Ballot: ("epoch", "number", "proposer_id"),
    Epoch: ("number", "members"),
    CommittedValue: ("version", "value"),
    AcceptorSlot: ("promised", "accepted", "value"),
    AcceptorState: ("committed", "history", "slots"),
    PrepareRequest: ("epoch", "version", "ballot"),
    AcceptRequest: ("epoch", "version", "ballot", "value"),
    SealRequest: ("epoch", "next_epoch"),
    InstallRequest: ("epoch", "next_epoch", "state"),
    QueryRequest: ("epoch",),
    SnapshotRequest: ("epoch",),
    LearnRequest: ("epoch", "committed", "history"),
    QueryReply: (
        "epoch",
        "may_vote",
        "highest_version",
        "committed_version",
        "member_id",
        "address",
        "is_eligible",
    ),
    PromiseReply: ("ballot", "accepted", "value"),
    AcceptedReply: ("ballot",),
    BallotRejectedReply: ("ballot",),
    VersionDecidedReply: ("committed", "history"),
    StaleEpochReply: ("epoch",),
    SealedReply: ("next_epoch", "state"),
    InstalledReply: ("epoch",),
    NotAMemberReply: ("epoch",),
    SnapshotReply: ("committed", "history"),
    PeerRecord: ("name", "host", "port", "zone", "is_voter", "incarnation", "heartbeat"),
    SourceDelta: ("source", "is_snapshot", "latest_version", "changes"),
    gossip_messages.PullRequest: (
        "sender",
        "peers",
        "version_vector",
        "config_version",
        "max_wait_ms",
        "load_report",
        "epoch_number",
        "drain_acknowledgement",
    ),
    gossip_messages.PullReply: (
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
MESSAGE_TYPES = frozenset(codec.FIELD_DECODERS)


def encode_consensus_message(message: Any) -> bytes:
    """Encode a consensus message as the uncompressed body of its envelope."""
    return encode(codec.encode(message))


def decode_consensus_message(body: bytes) -> Any:
    return codec.decode(decode(body))


def compress_consensus_message(message: Any) -> bytes:
    return asyncio.run(consensus_envelope.compress_message(message))


def decode_request(body: bytes) -> tuple[int, Any]:
    envelope = consensus_envelope.decode_request(body)
    return envelope.request_id, envelope.request


def decode_reply(body: bytes) -> tuple[int, str, Any]:
    envelope = consensus_envelope.decode_reply(body)
    return envelope.request_id, envelope.member_id, envelope.reply


# -- gossip messages

# Typed as `Any`, since the tests pass plain tuples as drain acknowledgements and compressed configurations.
PullRequest: Any = gossip_messages.PullRequest
PullReply: Any = gossip_messages.PullReply


def encode_pull_request(pull: Any) -> bytes:
    return pull.encode()  # type: ignore[no-any-return]


def encode_pull_reply(reply: Any) -> bytes:
    return reply.encode()  # type: ignore[no-any-return]


def encode_peer_record(record: Any) -> bytes:
    return encode(gossip_messages.encode_peer(record))


def decode_peer_record(body: bytes) -> Any:
    return gossip_messages.decode_peer(decode(body))


def encode_source_delta(delta: Any) -> bytes:
    return encode(gossip_messages.encode_delta(delta))


def decode_source_delta(body: bytes) -> Any:
    return gossip_messages.decode_delta(decode(body))


# -- load reports and backend updates, which are values within pulls and their replies


def encode_load_report(
    attempts: list[tuple[str, bool, float]], backend_loads: list[tuple[str, int, int]], requests: list[str]
) -> bytes:
    """Encode the load report of a proxy.

    :param attempts: backend id, whether the attempt succeeded, and its latency in milliseconds.
    :param backend_loads: backend id, running and queued requests.
    :param requests: the service of each request.
    """
    report = LoadReport()
    for backend_id, succeeded, latency_ms in attempts:
        report.record_attempt(backend_id, succeeded, latency_ms)
    for backend_id, running, queued in backend_loads:
        report.record_backend_load(backend_id, running, queued)
    for service in requests:
        report.record_request(service)
    return encode(report.pack())


def decode_load_report(body: bytes) -> tuple[dict[str, list[float]], dict[str, int]]:
    report = LoadReport()
    report.merge(decode(body))
    return report.backend_counts, report.service_requests


def published_backend_update(*steps: Mapping[str, Any] | str) -> dict[str, Any]:
    """Return the gossip entries that a control-plane node publishes about a backend `b`.

    :param steps: heartbeats of the backend, `leave` for its departure, or `silence` for 5 s without any.
    """
    published: dict[str, Any] = {}

    def publish(key: str, value: Any) -> int:
        published[key] = value
        return len(published)

    registry = HeartbeatRegistry(publish, 1000)
    for now, step in enumerate(steps, 1):
        if step == "leave":
            registry.leave(now, "b")
        elif step == "silence":
            registry.tick(now + 5_000_000_000)
        else:
            registry.record_heartbeat(now, "b", step)
    return published


def read_backend_update(key: str, value: Any) -> tuple[Any, ...]:
    """Return the fields of a backend that a reader of the gossip entry holds."""
    directory = BackendDirectory(lambda source: 0, lambda: 0)
    directory.on_update(KeyUpdate("source", key, value))
    (backend,) = directory.instances.values()
    location = (backend.host, backend.port, backend.zone)
    return (
        backend.instance_id,
        backend.service,
        *location,
        backend.capacity,
        backend.state,
        backend.warm_at_ns,
    )


# -- messages between the fleet controller and its proxies and collectors


def encode_table_updates(*parts: tuple[Any, ...]) -> bytes:
    """Encode table updates, given as the fields of each `TableUpdate`."""
    return fleet_messages.encode_updates([fleet_messages.TableUpdate(*part) for part in parts])


def decode_report(line: bytes) -> tuple[Any, ...]:
    """Decode a message of a proxy or a collector; return its type and its fields."""
    report = fleet_messages.decode_line(line)
    return type(report), *(getattr(report, name) for name in REPORT_FIELDS[type(report)])


REPORT_FIELDS: dict[Any, tuple[str, ...]] = {
    Heartbeat: (),
    CollectorHello: ("zone",),
    ProxyHello: ("proxy", "zone", "usual_rate", "is_new"),
    UpdateApplied: ("proxy", "nonce"),
    BackendReport: ("zone", "backend", "attempts", "failures", "latency_ns", "period_ns", "load"),
    DemandReport: ("proxy", "route", "calls", "dropped", "period_ns"),
}

# -- disks

STORE_FILE = "timetable.db"


class NodeStore:
    """The disk of a stopped control-plane node, opened by the product."""

    def __init__(self, folder: Path) -> None:
        self.store = SqliteStore(folder)

    def metadata(self) -> Any:
        return self.store.load().metadata

    def committed(self) -> Any:
        return self.store.load().committed

    def history(self) -> dict[int, bytes]:
        return dict(self.store.load().history)

    def slots(self) -> dict[int, Any]:
        return dict(self.store.load().slots)

    def backend_hints(self) -> dict[str, Any]:
        return decode_rows(self.store.load_backend_hints())

    def drain_records(self) -> dict[str, Any]:
        return decode_rows(self.store.load_drain_records())

    def save_consensus_state(
        self,
        metadata: Mapping[str, Any] | None,
        committed: Any,
        history: Mapping[int, bytes],
        slots: Mapping[int, Any],
    ) -> None:
        self.store.save(StateUpdate(metadata, committed, history, 0, slots))

    def save_registry(self, backend_hints: Mapping[str, Any], drain_records: Mapping[str, Any]) -> None:
        """Write backends and drains as the registry and the drain log provide them."""
        registry = HeartbeatRegistry(lambda key, value: 1, 1000)
        registry.restore(0, dict(backend_hints))
        self.store.save_backend_hints(
            {backend_id: encode(value) for backend_id, value in registry.durable_values().items()}
        )
        drain_log = DrainLog("source")
        for backend_id, value in drain_records.items():
            drain_log.on_update(0, KeyUpdate("other", BACKEND_KEY_PREFIX + backend_id, value))
        batch = drain_log.next_batch()
        assert batch is not None or not drain_records
        if batch is not None:
            rows = {backend_id: encode(list(value)) for backend_id, value in batch.rows.items()}
            self.store.save_drain_records(rows, batch.deleted)

    def start_replica(self, address: str) -> Any:
        """Start a replica from this disk, complete its first write, and return its acceptor."""
        stored = self.store.load()
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
        self.run_effects()
        return acceptor

    def handle_request(self, message: Any) -> Any:
        """Return the reply to a request of another member, after the writes it depends on."""
        self.replica.on_request(0, "ticket", message)
        return self.run_effects()

    def run_effects(self) -> Any:
        reply = None
        while effects := self.replica.take_effects():
            for effect in effects:
                if isinstance(effect, Persist):
                    self.store.save(effect.update)
                    self.replica.on_persisted(0, effect.write_id)
                elif isinstance(effect, SendReply):
                    reply = effect.reply
        return reply

    def close(self) -> None:
        self.store.close()


# -- programs without sockets; they must be created within a running event loop


class RecordingPeerClient:
    """A peer client that records requests and returns empty replies."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, bytes]] = []
        self.has_sent = asyncio.Event()

    def client(self, host: str, port: int) -> RecordingPeerClient:
        return self

    def close(self) -> None:
        pass

    async def call(self, path: bytes, body: bytes, timeout_s: float) -> bytes:
        self.sent.append((path, body))
        self.has_sent.set()
        return b""


def make_control_plane_node(settings: Any) -> ControlPlaneServer:
    return ControlPlaneServer(node_settings.parse_settings(json.dumps(settings)))


def make_proxy(settings: Any) -> ProxyServer:
    return ProxyServer(node_settings.parse_settings(json.dumps(settings)))


async def start_control_plane_node(settings: Any) -> ControlPlaneServer:
    server = make_control_plane_node(settings)
    await server.node.config_service.start()
    return server


def random_ids(program: Any) -> tuple[str, str]:
    """Return the incarnation and the member id of a program, which are random."""
    incarnation = getattr(program, "cluster", program).incarnation
    if not isinstance(program, ControlPlaneServer):
        return incarnation, "none"
    return incarnation, program.node.config_service.replica.acceptor.member_id


def stop_control_plane_node(server: ControlPlaneServer) -> None:
    for task in server.tasks.running:
        task.cancel()
    server.node.close()


async def sent_consensus_request(
    server: ControlPlaneServer, request_id: int, address: str, request: Any
) -> tuple[bytes, bytes]:
    """Return the path and the body of a consensus request of a control-plane node."""
    recorder = RecordingPeerClient()
    server.node.config_service.peer_clients = recorder
    await server.node.config_service.send_request(SendRequest(request_id, address, request))
    (sent,) = recorder.sent
    return sent


async def sent_pull_of_control_plane_node(
    server: ControlPlaneServer, host: str, port: int
) -> tuple[bytes, bytes]:
    """Return the path and the body of a pull of a control-plane node."""
    recorder = RecordingPeerClient()
    server.node.peer_clients = recorder  # type: ignore[assignment]
    pulls = server.tasks.start(server.pull_client.pull_from(host, port))
    await recorder.has_sent.wait()
    pulls.cancel()
    return recorder.sent[0]


async def sent_pull_of_proxy(server: ProxyServer) -> tuple[bytes, bytes]:
    """Return the path and the body of a pull of a proxy."""
    recorder = RecordingPeerClient()
    server.control_plane.peer_client = lambda host, port: recorder  # type: ignore[assignment,method-assign,return-value]
    await server.control_plane.pull_once()
    (sent,) = recorder.sent
    return sent


def run_maintenance(server: ControlPlaneServer, load_reports: Mapping[str, bytes]) -> dict[str, Any]:
    """Run the maintenance of a control-plane node once, and return the entries it has published.

    :param load_reports: an encoded load report of a proxy by zone.
    """
    for zone, body in load_reports.items():
        server.node.zone_loads.add(zone, decode(body))
    server.maintenance.tick()
    entries = server.cluster.updates.sources[server.cluster.incarnation].entries
    return {key: value for key, (_, value) in entries.items()}


def update_proxy(server: ProxyServer, configuration: bytes, updates: Mapping[str, Any]) -> None:
    """Apply a configuration and gossip updates, as if received from a control-plane node."""
    server.view.apply_route_table(load_route_table(configuration))
    for key, value in updates.items():
        server.view.gossip.notify_update(KeyUpdate("source", key, value))
    server.view.refresh_endpoints()


def update_control_plane_node(
    server: ControlPlaneServer, peers: list[Any], configuration: bytes, updates: Mapping[str, Any]
) -> None:
    """Apply peer records, a configuration and gossip updates, as if received from other nodes."""
    server.cluster.peers.merge(0, peers)
    server.node.config_service.replica.on_committed_value(0, CommittedValue(7, configuration))
    for key, value in updates.items():
        server.cluster.updates.notify_update(KeyUpdate("source", key, value))


def peer_endpoint(server: Any) -> Any:
    return server.peer_endpoint if isinstance(server, ControlPlaneServer) else server.internal_api.handle


def api_endpoint(server: ControlPlaneServer) -> Any:
    return server.api_endpoint


# -- calls between nodes as bytes on a socket


async def call_peer(host: str, port: int, path: bytes, body: bytes) -> bytes:
    return await PeerClient(host, port).call(path, body, 2.0)


async def start_echo_server(incarnation: str) -> tuple[int, Callable[[], None]]:
    """Start a server that returns the body of each request; return its port and a function that closes it."""

    async def echo(scope: Any, receive: Any, send: Any) -> None:
        await send_response(send, 200, await read_body(receive, 1 << 20), [])  # type: ignore[arg-type]

    server = HttpServer(echo, incarnation=incarnation)
    return await server.listen("127.0.0.1", 0), server.close


# -- the command line


@contextmanager
def skip_simulation_runs() -> Iterator[None]:
    """Replace the runs of the simulation by an empty outcome, whose JSON object has the same keys."""
    # Imported here, since the tests of messages don't need the dependencies of the simulation.
    from meadowworks.simulation.control import command
    from meadowworks.simulation.control.counts import ScenarioCounts

    outcome = command.RunOutcome(ScenarioCounts(), [], True)
    with patch.object(command, "run_seeds", lambda *arguments: outcome):
        yield


PROGRAMS = ("meadowworks", "meadowworks.proxy", "meadowworks.controlplane")  # modules of the programs
SETTINGS_VARIABLE = "MEADOWWORKS_NODE_FILE"
