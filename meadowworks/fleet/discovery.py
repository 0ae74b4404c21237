"""The list's actor: follows discovery by one watch after another, as long as the module tracks it."""

from __future__ import annotations

import asyncio

import aiohttp
from loguru import logger

from meadowworks.fleet.invariants import count
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import Follow, ListFailed, Listing, Moved, News, Track, read_listing

# A watch waits so long, of the time within which the settings want the list asked for. Short, so that a
# connection that has gone silent is told soon; a watch that goes on costs discovery nothing.
WAIT_PART = 0.2
WAIT_MOST_MS = 60_000
# What discovery has to tell counts as told 2 s after a wait is over. The answer to a watch that goes on is
# missed soon enough to ask again before; a new watch may have to wait for its turn until then.
ANSWER_S, TURN_S = 1.0, 2.0
CONNECT_S = 1.0  # a connection that has not come up by now will not
HASTE_S = 0.1  # before asking on after an answer that did not wait: no spinning, and the watch goes on
READ_S = 0.1  # a process that stood still reads what came in meanwhile before it gives a call up


class Discovery:
    def __init__(
        self,
        address: str,
        index: int | None,
        ask_within_ns: int,
        mailbox: Mailbox[Follow],
        module: Mailbox[News],
    ) -> None:
        self.address, self.index = address, index
        self.wait_ms = min(WAIT_MOST_MS, int(ask_within_ns * WAIT_PART) // 1_000_000) or WAIT_MOST_MS
        self.mailbox, self.module = mailbox, module
        self.tracking = self.goes_on = False

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        limits = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)
        async with aiohttp.ClientSession(timeout=limits) as session:
            while True:
                while not self.tracking or self.mailbox.arrived.is_set():
                    await self.mailbox.wait()
                    for item in self.mailbox.drain():
                        match item:
                            case Track(on):
                                self.tracking = on
                            case Moved(address):  # the whole list: what the old one still told is lost
                                self.address, self.index = address, None
                                self.tracking, self.goes_on = True, False
                try:
                    was, began = self.index, loop.time()
                    news = await self.timely(session)
                    if news is None:
                        continue
                except Exception as trouble:  # whatever it is, the old list stands and the module is told
                    if self.mailbox.arrived.is_set():  # the old address went before its successor was read
                        continue
                    self.tracking = self.goes_on = False
                    count("list calls failed")
                    why = f"{type(trouble).__name__} {trouble}"
                    logger.warning("list: call failed, {}", why)
                    self.module.put(ListFailed(why))
                else:
                    self.goes_on = True
                    if news.whole or news.entries:
                        logger.info(
                            "list: index {}, {}, {} entries",
                            news.index,
                            "whole" if news.whole else "changes",
                            len(news.entries),
                        )
                    self.module.put(news)
                    if news.index == was and (loop.time() - began) * 2000 < self.wait_ms:
                        count("list answers without a wait")
                        await asyncio.sleep(HASTE_S)

    async def timely(self, session: aiohttp.ClientSession) -> Listing | None:
        """One call within its limit; nothing if there is mail first. Guards against giving up, after a stall
        that outlasted the limit, an answer that lies in the socket: what it told counts as told."""
        call, mail = asyncio.ensure_future(self.call(session)), asyncio.ensure_future(self.mailbox.wait())
        try:
            limit_s = self.wait_ms / 1000 + (ANSWER_S if self.goes_on else TURN_S)
            for wait_s in (limit_s, READ_S):
                await asyncio.wait({call, mail}, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            if mail.done():
                return None
            raise TimeoutError(f"no answer within {limit_s} s")
        finally:
            call.cancel()
            mail.cancel()

    async def call(self, session: aiohttp.ClientSession) -> Listing:
        """One call of a watch; without an index, the whole list."""
        query = {} if self.index is None else {"index": str(self.index), "wait": str(self.wait_ms)}
        url = f"http://{self.address}/discovery/hosts"
        async with session.get(url, params=query, allow_redirects=False) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            news = read_listing(await answer.read())
        if self.index is not None and news.index < self.index:
            was, self.index = self.index, None
            raise ValueError(f"index went back from {was} to {news.index}")
        if news.spoilt and count("list answers with spoilt entries"):
            logger.warning("list: {} entries without sense at index {}", news.spoilt, news.index)
        # What a spoilt change had to tell is in the whole list; if that is spoilt too, it has to do.
        self.index = None if news.spoilt and query else news.index
        return news
