"""The discovery actor: follows the endpoint list by long polling while the policy wants it."""

from __future__ import annotations

import asyncio

import aiohttp
from loguru import logger

from meadowworks.fleet.invariants import count
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ControllerEvent,
    DiscoveryCommand,
    DiscoveryFailed,
    DiscoveryMoved,
    EndpointList,
    WatchEndpoints,
    decode_endpoint_list,
)

NS_PER_MS = 1_000_000
# The wait of a long poll, as a share of `refresh_ns`. Short, so that a dead connection is noticed soon;
# the repeat of an established watch costs discovery nothing.
WATCH_WAIT_SHARE = 0.2
MAX_WATCH_WAIT_MS = 60_000
# Discovery replies within 2 s after the wait is over. A new watch allows the full 2 s, since it may be
# queued; an established one allows less, which leaves time for another attempt.
ESTABLISHED_WATCH_GRACE_S, NEW_WATCH_GRACE_S = 1.0, 2.0
CONNECT_TIMEOUT_S = 1.0
MIN_POLL_INTERVAL_S = 0.1  # after a reply without a wait: prevents a busy loop
STALL_READ_S = 0.1  # extra time to read a reply that arrived while the process was stalled


class DiscoveryClient:
    """Watches the endpoint list.

    :param index: the index of the list that the controller has; None if it has none.
    :param refresh_ns: the maximum time between two requests for the list; 0 for no maximum.
    """

    def __init__(
        self,
        address: str,
        index: int | None,
        refresh_ns: int,
        commands: Mailbox[DiscoveryCommand],
        events: Mailbox[ControllerEvent],
    ) -> None:
        self.address, self.index = address, index
        wait_ms = int(refresh_ns * WATCH_WAIT_SHARE) // NS_PER_MS
        self.watch_wait_ms = min(MAX_WATCH_WAIT_MS, wait_ms) or MAX_WATCH_WAIT_MS
        self.commands, self.events = commands, events
        self.watching = self.watch_established = False

    async def run(self) -> None:
        """Watch the list whenever watching is enabled, without end."""
        timeouts = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeouts) as session:
            while True:
                while not self.watching or self.commands.not_empty.is_set():
                    await self.commands.wait()
                    for command in self.commands.drain():
                        self.on_command(command)
                await self._watch_once(session)

    def on_command(self, command: DiscoveryCommand) -> None:
        """Handle a command from the policy or from a configuration reload."""
        match command:
            case WatchEndpoints(enabled):
                self.watching = enabled
            case DiscoveryMoved(address):  # without an index: the new address sends the whole list
                self.address, self.index = address, None
                self.watching, self.watch_established = True, False

    async def _watch_once(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        old_index, started = self.index, loop.time()
        try:
            update = await self.fetch_with_timeout(session)
        except Exception as error:  # on any error the old list stays valid and the policy is notified
            # A pending command may bring a new address: ignores a failure of the old one.
            if not self.commands.not_empty.is_set():
                self._on_failure(f"{type(error).__name__} {error}")
            return
        if update is None:
            return
        self.watch_established = True
        if update.is_snapshot or update.entries:
            kind = "whole" if update.is_snapshot else "changes"
            logger.info("discovery: index {}, {}, {} entries", update.index, kind, len(update.entries))
        self.events.put(update)
        if update.index == old_index and (loop.time() - started) * 2000 < self.watch_wait_ms:
            count("discovery answers without a wait")
            await asyncio.sleep(MIN_POLL_INTERVAL_S)

    def _on_failure(self, reason: str) -> None:
        self.watching = self.watch_established = False
        count("discovery calls failed")
        logger.warning("discovery: call failed, the old list stands: {}", reason)
        self.events.put(DiscoveryFailed(reason))

    async def fetch_with_timeout(self, session: aiohttp.ClientSession) -> EndpointList | None:
        """Run one call within its time limit.

        After the limit it reads the socket once more. Prevents the loss of a reply that had already arrived
        when a stall of this process outlasted the limit.

        :returns: the reply; None if a command came first.
        :raises TimeoutError: if there is no reply in time.
        :raises Exception: the error of the call.
        """
        call = asyncio.ensure_future(self.fetch(session))
        command = asyncio.ensure_future(self.commands.wait())
        try:
            grace_s = ESTABLISHED_WATCH_GRACE_S if self.watch_established else NEW_WATCH_GRACE_S
            limit_s = self.watch_wait_ms / 1000 + grace_s
            for wait_s in (limit_s, STALL_READ_S):
                await asyncio.wait({call, command}, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            if command.done():
                return None
            raise TimeoutError(f"no reply within {limit_s} s")
        finally:
            call.cancel()
            command.cancel()

    async def fetch(self, session: aiohttp.ClientSession) -> EndpointList:
        """Make one call: a long poll, or without an index a request for the whole list.

        :raises ValueError: if the status is not 200, the reply is malformed or the index decreased.
        :raises aiohttp.ClientError: if the connection fails.
        """
        query = {} if self.index is None else {"index": str(self.index), "wait": str(self.watch_wait_ms)}
        url = f"http://{self.address}/discovery/hosts"
        async with session.get(url, params=query, allow_redirects=False) as response:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            update = decode_endpoint_list(await response.read())
        if self.index is not None and update.index < self.index:
            old, self.index = self.index, None
            raise ValueError(f"index decreased from {old} to {update.index}")
        if update.malformed_count and count("discovery answers with malformed entries"):
            logger.warning(
                "discovery: {} malformed entries passed over at index {}",
                update.malformed_count,
                update.index,
            )
        # After a malformed change the whole list is requested; a malformed whole list is accepted as it is.
        self.index = None if update.malformed_count and query else update.index
        return update
