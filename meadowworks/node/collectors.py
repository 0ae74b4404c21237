"""A collector's connection: reports from a zone. Nothing but the answer to `hb` is ever written to it."""

from __future__ import annotations

import asyncio

from loguru import logger

from meadowworks.node.invariants import count
from meadowworks.node.mailbox import Mailbox
from meadowworks.node.messages import BEAT_OK, Asked, Beat, Collector, End, Met, News, Told


async def serve(
    collector: Collector, transport: asyncio.Transport, mailbox: Mailbox[Told], module: Mailbox[News]
) -> None:
    """The actor of one collector, until it ends."""
    logger.info("collector of {}: joined", collector.zone)
    try:
        async for item in mailbox.each():
            match item:
                case End(why):
                    logger.info("collector of {}: gone, {}", collector.zone, why)
                    return
                case Met(zone=collector.zone) | Asked():
                    module.put(item, report=True)
                case Met():
                    count("lines passed over: another zone's report")
                case Beat():
                    transport.write(BEAT_OK)
                case _:
                    count("lines passed over: nothing the module reads")
    finally:
        transport.abort()
