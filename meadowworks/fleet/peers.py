"""A peer's actor, a proxy's or a collector's: takes its mailbox item by item through its connection's
life."""

from __future__ import annotations

from loguru import logger

from meadowworks.fleet.connection_state import Life
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import Attach, Collector, Told


def who(first: Attach | Collector | None) -> str:
    if isinstance(first, Attach):
        return f"proxy {first.proxy}: stream over"
    return f"collector of {first.zone}: gone" if first else "stranger: gone"


async def serve(life: Life, mailbox: Mailbox[Told]) -> None:
    """The actor of one connection, until it ends; whatever ends it, a proxy has then left."""
    if isinstance(life.first, Collector):
        logger.info("collector of {}: joined", life.first.zone)
    life.begin()
    try:
        async for item in mailbox.each():
            life.take(item)
            if life.gone:
                logger.info("{}, {}", who(life.first), life.gone)
                return
    finally:
        life.finish("its actor ended")
