"""Runs a caller of coordination as an application: over HTTP, in real time."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from meadowworks.local.soak.wire_calls import (
    UnexpectedResponseError,
    WireRequest,
    decode_response,
    encode_call,
)
from meadowworks.runtime.address import Address
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, Response, connect
from meadowworks.simulation.coordination.caller import Caller, SendCall, WakeAt
from meadowworks.simulation.coordination.history import InternalFailure, Outcome
from meadowworks.simulation.event_scheduler import SECOND

CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 4 << 20  # of a response


class Application:
    """Carries out the commands of one caller.

    Connections to all nodes stay open, and are used until their node closes them. A call that the caller
    has given up ends with its connection, once the caller makes the next one.

    :ivar unexpected_responses: what the API should not have answered.
    """

    def __init__(self, caller: Caller) -> None:
        self.unexpected_responses: list[str] = []
        self._caller = caller
        self._connections: dict[str, ClientConnection] = {}
        self._request: asyncio.Task[None] | None = None
        self._wake_ups: set[asyncio.TimerHandle] = set()
        self._stopped = asyncio.Event()
        self._failure: BaseException | None = None

    async def run(self) -> None:
        """Run until the caller makes no more calls, or until `stop`."""
        self._wake()
        await self._stopped.wait()
        if self._failure is not None:
            raise self._failure
        for timer in self._wake_ups:
            timer.cancel()
        if self._request is not None:
            self._request.cancel()
            with suppress(asyncio.CancelledError):
                await self._request
        for connection in self._connections.values():
            connection.close()

    def stop(self) -> None:
        """End the caller; the outcome of its pending call stays unknown."""
        self._caller.stop(time.monotonic_ns())
        self._run_commands()

    # -- commands

    def _wake(self) -> None:
        self._caller.wake(time.monotonic_ns())
        self._run_commands()

    def _run_commands(self) -> None:
        for command in self._caller.take_commands():
            match command:
                case SendCall():
                    self._send(command)
                case WakeAt(time_ns):
                    self._wake_at(time_ns)
        if self._caller.has_stopped():
            self._stopped.set()

    def _wake_at(self, time_ns: int) -> None:
        wait_s = max(0, time_ns - time.monotonic_ns()) / SECOND
        self._wake_ups = {timer for timer in self._wake_ups if timer.when() > self._loop_time()}
        self._wake_ups.add(asyncio.get_running_loop().call_later(wait_s, self._wake))

    def _send(self, command: SendCall) -> None:
        if self._request is not None:
            self._request.cancel()
        self._request = asyncio.create_task(self._carry_out(command))
        self._request.add_done_callback(self._on_request_done)

    def _on_request_done(self, task: asyncio.Task[None]) -> None:
        """End the application if its request has failed by an error of this program."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self._failure = error
            self._stopped.set()

    async def _carry_out(self, command: SendCall) -> None:
        outcome = await self._call(command)
        self._request = None
        self._caller.on_answer(time.monotonic_ns(), command.call_id, outcome)
        self._run_commands()

    # -- calls

    async def _call(self, command: SendCall) -> Outcome:
        try:
            response = await self._exchange(command.address, encode_call(command.arguments))
            return decode_response(command.arguments, response.status, response.body)
        except RequestError:
            return InternalFailure()
        except UnexpectedResponseError as error:
            self.unexpected_responses.append(f"{command.address}: {error}")
            return InternalFailure()

    async def _exchange(self, address: str, request: WireRequest) -> Response:
        connection = self._connections.get(address)
        if connection is None or not connection.is_usable():
            connection = await self._connect(address)
        headers = [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(request.body)).encode()),
        ]
        return await connection.request(request.method, request.target, headers, request.body, MAX_BODY_BYTES)

    async def _connect(self, address: str) -> ClientConnection:
        former = self._connections.pop(address, None)
        if former is not None:
            former.close()
        host, port = Address.parse(address)
        connection = await connect(host, port, CONNECT_TIMEOUT_S)
        self._connections[address] = connection
        return connection

    @staticmethod
    def _loop_time() -> float:
        return asyncio.get_running_loop().time()
