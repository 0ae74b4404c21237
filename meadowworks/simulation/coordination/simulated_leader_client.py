"""Calls between the coordination services of simulated nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from meadowworks.controlplane.coordination_calls import Call, InDoubt, Reply, decode_reply, encode_call
from meadowworks.controlplane.leader_client import LeaderClient
from meadowworks.simulation.control.node import SimulatedControlPlaneNode

MS_PER_SECOND = 1000


class ForwardedCallHandler(Protocol):
    """A node's services, which answer the calls of other nodes."""

    def on_forwarded_call(self, body: bytes, on_reply: Callable[[bytes], None]) -> None:
        """Answer an encoded call with an encoded reply."""


class SimulatedLeaderClient(LeaderClient):
    """Sends a node's calls over the simulated network instead of sockets.

    :param handlers: the services of the running processes by address.
    """

    def __init__(self, node: SimulatedControlPlaneNode, handlers: Mapping[str, ForwardedCallHandler]) -> None:
        self._node, self._incarnation = node, node.incarnation
        self._handlers = handlers

    async def send(self, address: str, call: Call, timeout_s: float) -> Reply | None:
        """Send a call and return the reply, or None if the call was certainly not handled."""
        cluster = self._node.cluster
        target = cluster.nodes.get(address)
        if target is None or not target.up:
            return None  # the connection is refused
        body = encode_call(call, int(timeout_s * MS_PER_SECOND))
        reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        arrive = partial(self._arrive, address, body, reply)
        cluster.network.send(self._node.address, address, arrive)
        try:
            async with asyncio.timeout(timeout_s):
                return decode_reply(await reply)
        except TimeoutError:
            return InDoubt()

    def _arrive(self, address: str, body: bytes, reply: asyncio.Future[bytes]) -> None:
        if (handler := self._handlers.get(address)) is not None:
            handler.on_forwarded_call(body, partial(self._send_reply, address, reply))

    def _send_reply(self, address: str, reply: asyncio.Future[bytes], content: bytes) -> None:
        receive = partial(_set_result_once, reply, content)
        arrive = partial(self._node.deliver, self._incarnation, receive)
        self._node.cluster.network.send(address, self._node.address, arrive)


def _set_result_once(future: asyncio.Future[bytes], content: bytes) -> None:
    if not future.done():
        future.set_result(content)
