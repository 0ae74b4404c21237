"""Replies of the API to heartbeats, drains and departures, with a real disk."""

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
from meadowworks.storage.sqlite_store import SqliteStore
from tests.gateway.durable_node import DurableNode, heartbeat
from tests.gateway.helpers import wait_until


class ResourceOnDisk:
    """The `Backends` resource of node `a`, incarnation `a.1`. Tests acknowledge for the other node's disk."""

    def __init__(self, folder: Path) -> None:
        self.node = DurableNode("a")
        self.store = SqliteStore(folder)
        self.holds_lease = True
        self.zone_addresses = list[str]()
        self.drain_service = DrainService(self.node.drain_log, AsyncStore(self.store), asyncio.ensure_future)
        self.resource = BackendsResource(
            self.node.heartbeats,
            self.drain_service,
            lambda version: self.node.drain_log.is_replicated(version, ["b"], 1, True),
            lambda _: self.zone_addresses,
            lambda: self.holds_lease,
        )

    def heartbeat(self, instance_id: str, state: str, sequence: int) -> Coroutine[Any, Any, ApiReply]:
        body = json.dumps(heartbeat(state, sequence)).encode()
        return self.resource.heartbeat(ApiRequest(instance_id, body))

    def leave(self, instance_id: str) -> Coroutine[Any, Any, ApiReply]:
        return self.resource.leave(ApiRequest(instance_id, b""))

    def acknowledge(self, version: int) -> None:
        """Acknowledge for the other node that its disk holds the drains up to a version."""
        self.node.drain_log.on_acknowledgement("b", "a.1", version)
        self.drain_service.notify_waiters()


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's coroutine with a time limit."""

    async def bounded() -> None:
        async with asyncio.timeout(20):
            await test()

    asyncio.run(bounded())


def test_an_acknowledged_drain_survives_a_power_loss(tmp_path: Path) -> None:
    async def test() -> None:
        api = ResourceOnDisk(tmp_path / "d")
        assert (await api.heartbeat("i", "up", 1)).status == 200
        call = asyncio.ensure_future(api.heartbeat("i", "draining", 2))
        await wait_until(lambda: api.node.drain_log.state("i") == "draining", "the drain is recorded")
        api.acknowledge(api.node.updates.sources["a.1"].latest_version)
        assert (await call).status == 200
        shutil.copytree(tmp_path / "d", tmp_path / "after")  # a power loss: the store is not closed
        rows = decode_rows(SqliteStore(tmp_path / "after").load_drain_records())
        restarted = DurableNode("a", 2, rows)
        restarted.heartbeats.record_heartbeat(0, "i", heartbeat("up", 1))
        assert restarted.directory.instances["i"].state == "draining"

    run(test)


def test_a_failed_write_is_retried_before_the_drain_is_acknowledged(tmp_path: Path) -> None:
    async def test() -> None:
        api = ResourceOnDisk(tmp_path / "d")
        write, pending_failures = api.store.save_drain_records, [True]

        def fail_once(rows: Any, removed: Any) -> None:
            if pending_failures:
                pending_failures.pop()
                raise sqlite3.OperationalError("disk I/O error")
            write(rows, removed)

        api.store.save_drain_records = fail_once  # type: ignore[method-assign]
        api.acknowledge(99)
        call = asyncio.ensure_future(api.heartbeat("i", "draining", 1))
        await wait_until(
            lambda: not pending_failures and api.node.drain_log.write_in_flight is None,
            "the disk refused the write",
        )
        assert not call.done()
        assert not api.store.load_drain_records()
        assert (await call).status == 200
        assert set(api.store.load_drain_records()) == {"i"}

    run(test)


def test_a_node_without_a_lease_rejects_at_once_and_does_not_redirect(tmp_path: Path) -> None:
    async def test() -> None:
        api = ResourceOnDisk(tmp_path / "d")
        loop = asyncio.get_running_loop()
        api.zone_addresses, api.holds_lease = ["10.0.0.2:80"], False
        assert await api.heartbeat("i", "up", 1) == ApiReply(200)
        start_s = loop.time()
        for reply in (
            await api.heartbeat("i", "draining", 2),
            await api.leave("i"),
            await api.leave("unknown"),
        ):
            assert reply.status == 503
            assert 0 < reply.retry_after_s < 1
        assert loop.time() - start_s < 0.3
        api.acknowledge(99)
        await wait_until(lambda: api.node.drain_log.is_caught_up("a.1"), "the drain is on this node's disk")
        assert (await api.leave("i")).status == 200  # a durable departure is acknowledged without a lease
        api.holds_lease = True
        assert json.loads((await api.heartbeat("j", "up", 1)).body) == {"beatUrl": "10.0.0.2:80"}
        assert await api.heartbeat("j", "up", 2) == ApiReply(200)  # the redirect has failed
        api.zone_addresses = ["h" * 5000]
        assert (await api.heartbeat("k", "up", 1)).body == b"{}"  # too large a redirect
        assert (await api.leave("unknown")).status == 200
        start_s = loop.time()
        api.node.drain_log.acknowledged_versions.clear()
        assert (await api.heartbeat("m", "draining", 1)).status == 503
        assert loop.time() - start_s < 0.95

    run(test)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"{" * 99999, b'{"details":[],"status":7}'])
def test_a_malformed_heartbeat_is_rejected_with_a_short_error(tmp_path: Path, body: bytes) -> None:
    async def test() -> None:
        reply = await ResourceOnDisk(tmp_path / "d").resource.heartbeat(ApiRequest("i", body))
        assert reply.status == 400
        assert len(reply.body) < 300

    run(test)
