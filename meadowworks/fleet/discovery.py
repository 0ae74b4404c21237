"""The list's actor: follows discovery by one watch after another, as long as the module tracks it."""

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

# A watch waits so long, of the time within which the settings want the list asked for. Short, so that a
# connection that has gone silent is told soon; a watch that goes on costs discovery nothing.
WATCH_WAIT_SHARE = 0.2
MAX_WATCH_WAIT_MS = 60_000
# What discovery has to tell counts as told 2 s after a wait is over. The answer to a watch that goes on is
# missed soon enough to ask again before; a new watch may have to wait for its turn until then.
ESTABLISHED_WATCH_GRACE_S, NEW_WATCH_GRACE_S = 1.0, 2.0
CONNECT_TIMEOUT_S = 1.0  # a connection that has not come up by now will not
MIN_POLL_INTERVAL_S = (
    0.1  # before asking on after an answer that did not wait: no spinning, and the watch goes on
)
STALL_READ_S = 0.1  # a process that stood still reads what came in meanwhile before it gives a call up


class DiscoveryClient:
    def __init__(
        self,
        address: str,
        index: int | None,
        ask_within_ns: int,
        mailbox: Mailbox[DiscoveryCommand],
        module: Mailbox[ControllerEvent],
    ) -> None:
        self.address, self.index = address, index
        self.watch_wait_ms = (
            min(MAX_WATCH_WAIT_MS, int(ask_within_ns * WATCH_WAIT_SHARE) // 1_000_000) or MAX_WATCH_WAIT_MS
        )
        self.commands, self.events = mailbox, module
        self.watching = self.watch_established = False

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        limits = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=limits) as session:
            while True:
                while not self.watching or self.commands.arrived.is_set():
                    await self.commands.wait()
                    for item in self.commands.drain():
                        match item:
                            case WatchEndpoints(on):
                                self.watching = on
                            case DiscoveryMoved(
                                address
                            ):  # the whole list: what the old one still told is lost
                                self.address, self.index = address, None
                                self.watching, self.watch_established = True, False
                try:
                    was, began = self.index, loop.time()
                    news = await self.fetch_in_time(session)
                    if news is None:
                        continue
                except Exception as trouble:  # whatever it is, the old list stands and the module is told
                    if self.commands.arrived.is_set():  # the old address went before its successor was read
                        continue
                    self.watching = self.watch_established = False
                    count("list calls failed")
                    why = f"{type(trouble).__name__} {trouble}"
                    logger.warning("list: call failed, {}", why)
                    self.events.put(DiscoveryFailed(why))
                else:
                    self.watch_established = True
                    if news.is_snapshot or news.entries:
                        logger.info(
                            "list: index {}, {}, {} entries",
                            news.index,
                            "whole" if news.is_snapshot else "changes",
                            len(news.entries),
                        )
                    self.events.put(news)
                    if news.index == was and (loop.time() - began) * 2000 < self.watch_wait_ms:
                        count("list answers without a wait")
                        await asyncio.sleep(MIN_POLL_INTERVAL_S)

    async def fetch_in_time(self, session: aiohttp.ClientSession) -> EndpointList | None:
        """One call within its limit; nothing if there is mail first. Guards against giving up, after a stall
        that outlasted the limit, an answer that lies in the socket: what it told counts as told."""
        call, mail = asyncio.ensure_future(self.fetch(session)), asyncio.ensure_future(self.commands.wait())
        try:
            limit_s = self.watch_wait_ms / 1000 + (
                ESTABLISHED_WATCH_GRACE_S if self.watch_established else NEW_WATCH_GRACE_S
            )
            for wait_s in (limit_s, STALL_READ_S):
                await asyncio.wait({call, mail}, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            if mail.done():
                return None
            raise TimeoutError(f"no answer within {limit_s} s")
        finally:
            call.cancel()
            mail.cancel()

    async def fetch(self, session: aiohttp.ClientSession) -> EndpointList:
        """One call of a watch; without an index, the whole list."""
        query = {} if self.index is None else {"index": str(self.index), "wait": str(self.watch_wait_ms)}
        url = f"http://{self.address}/discovery/hosts"
        async with session.get(url, params=query, allow_redirects=False) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            news = decode_endpoint_list(await answer.read())
        if self.index is not None and news.index < self.index:
            was, self.index = self.index, None
            raise ValueError(f"index went back from {was} to {news.index}")
        if news.malformed and count("list answers with spoilt entries"):
            logger.warning("list: {} entries without sense at index {}", news.malformed, news.index)
        # What a spoilt change had to tell is in the whole list; if that is spoilt too, it has to do.
        self.index = None if news.malformed and query else news.index
        return news
