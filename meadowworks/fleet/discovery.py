"""Discovery's actor: follows the endpoint list by one watch after another, as long as the policy wants it."""

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
# A watch waits so long, of the time within which the settings want the list asked for. Short, so that a
# connection that has gone silent is noticed soon; a watch that goes on costs discovery nothing.
WATCH_WAIT_SHARE = 0.2
MAX_WATCH_WAIT_MS = 60_000
# An answer of discovery is due 2 s after a wait is over. The answer to a watch that goes on is missed soon
# enough to ask again before; a new watch may have to wait for its turn until then.
ESTABLISHED_WATCH_GRACE_S, NEW_WATCH_GRACE_S = 1.0, 2.0
CONNECT_TIMEOUT_S = 1.0  # a connection that has not come up by now will not
MIN_POLL_INTERVAL_S = 0.1  # after an answer that did not wait: no busy loop, and the watch goes on
STALL_READ_S = 0.1  # a process that was held up reads what came in meanwhile before it gives a call up


class DiscoveryClient:
    """The watch of the endpoint list.

    :param index: of the list that the controller has; None if it has none.
    :param refresh_ns: the time within which the settings want the list asked for.
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
        """Watches as long as that is wanted, without end."""
        timeouts = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeouts) as session:
            while True:
                while not self.watching or self.commands.not_empty.is_set():
                    await self.commands.wait()
                    for command in self.commands.drain():
                        self.on_command(command)
                await self._watch_once(session)

    def on_command(self, command: DiscoveryCommand) -> None:
        """Takes in a command of the policy or of a new configuration."""
        match command:
            case WatchEndpoints(enabled):
                self.watching = enabled
            case DiscoveryMoved(address):  # the whole list: what the old one had not sent yet is lost
                self.address, self.index = address, None
                self.watching, self.watch_established = True, False

    async def _watch_once(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        old_index, began = self.index, loop.time()
        try:
            news = await self.fetch_in_time(session)
        except Exception as error:  # whatever it is, the old list stands and the policy is notified
            if (
                not self.commands.not_empty.is_set()
            ):  # else the old address went before its successor was read
                self._on_failure(f"{type(error).__name__} {error}")
            return
        if news is None:
            return
        self.watch_established = True
        if news.is_snapshot or news.entries:
            kind = "whole" if news.is_snapshot else "changes"
            logger.info("discovery: index {}, {}, {} entries", news.index, kind, len(news.entries))
        self.events.put(news)
        if news.index == old_index and (loop.time() - began) * 2000 < self.watch_wait_ms:
            count("discovery answers without a wait")
            await asyncio.sleep(MIN_POLL_INTERVAL_S)

    def _on_failure(self, reason: str) -> None:
        self.watching = self.watch_established = False
        count("discovery calls failed")
        logger.warning("discovery: call failed, the old list stands: {}", reason)
        self.events.put(DiscoveryFailed(reason))

    async def fetch_in_time(self, session: aiohttp.ClientSession) -> EndpointList | None:
        """One call within its time limit.

        Guards against giving up, after a stall that outlasted the limit, an answer that lies in the socket:
        what it has sent counts as received.

        :returns: the answer; None if a command came first.
        :raises TimeoutError: if there was no answer in time.
        :raises Exception: whatever the call fails with.
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
            raise TimeoutError(f"no answer within {limit_s} s")
        finally:
            call.cancel()
            command.cancel()

    async def fetch(self, session: aiohttp.ClientSession) -> EndpointList:
        """One call of a watch; without an index, the whole list.

        :raises ValueError: for another status than 200, for an answer that cannot be read, and for an index
            that went back.
        :raises aiohttp.ClientError: if the connection fails.
        """
        query = {} if self.index is None else {"index": str(self.index), "wait": str(self.watch_wait_ms)}
        url = f"http://{self.address}/discovery/hosts"
        async with session.get(url, params=query, allow_redirects=False) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            news = decode_endpoint_list(await answer.read())
        if self.index is not None and news.index < self.index:
            old, self.index = self.index, None
            raise ValueError(f"index went back from {old} to {news.index}")
        if news.malformed_count and count("discovery answers with malformed entries"):
            logger.warning(
                "discovery: {} malformed entries passed over at index {}", news.malformed_count, news.index
            )
        # What a malformed change had to tell is in the whole list; if that is malformed too, it has to do.
        self.index = None if news.malformed_count and query else news.index
        return news
