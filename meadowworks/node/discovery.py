"""The list's actor: follows discovery by one watch after another, as long as the module tracks it."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp
from loguru import logger

from meadowworks.node.invariants import count
from meadowworks.node.mailbox import Mailbox
from meadowworks.node.messages import Listing, read_listing

# A watch waits so long, of the time within which the settings want the list asked for. Short, so that a
# connection that has gone silent is told soon; a watch that goes on costs discovery nothing.
WAIT_PART = 0.2
WAIT_MOST_MS = 60_000
ANSWER_S = 2.0  # beyond its wait an answer takes at most so long where discovery still speaks
CONNECT_S = 1.0  # the same for a connection to come up


@dataclass(frozen=True, slots=True)
class Track:
    on: bool


@dataclass(frozen=True, slots=True)
class ListFailed:
    why: str


ListNews = Listing | ListFailed


class Discovery:
    def __init__(
        self, address: str, index: int, ask_within_ns: int, mailbox: Mailbox[Track], module: Mailbox[ListNews]
    ) -> None:
        self.url = f"http://{address}/discovery/hosts"
        self.index: int | None = index or None
        self.wait_ms = min(WAIT_MOST_MS, int(ask_within_ns * WAIT_PART) // 1_000_000) or WAIT_MOST_MS
        self.mailbox, self.module = mailbox, module
        self.tracking = False

    async def run(self) -> None:
        limit = aiohttp.ClientTimeout(total=self.wait_ms / 1000 + ANSWER_S, sock_connect=CONNECT_S)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                while not self.tracking or self.mailbox.arrived.is_set():
                    await self.mailbox.wait()
                    for track in self.mailbox.drain():
                        self.tracking = track.on
                try:
                    news = await self.call(session)
                except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as trouble:
                    self.tracking = False
                    count("list calls failed")
                    why = f"{type(trouble).__name__} {trouble}"
                    logger.warning("list: call failed, {}", why)
                    self.module.put(ListFailed(why))
                else:
                    if news.whole or news.entries:
                        logger.info("list: index {}, {}, {} entries", news.index,
                                    "whole" if news.whole else "changes", len(news.entries))
                    self.module.put(news)

    async def call(self, session: aiohttp.ClientSession) -> Listing:
        """One call of a watch; without an index, the whole list."""
        query = {} if self.index is None else {"index": str(self.index), "wait": str(self.wait_ms)}
        async with session.get(self.url, params=query) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            news = read_listing(await answer.read())
        if self.index is not None and news.index < self.index:
            was, self.index = self.index, None
            raise ValueError(f"index went back from {was} to {news.index}")
        self.index = news.index
        return news
