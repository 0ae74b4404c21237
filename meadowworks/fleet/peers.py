"""A peer's actor, a proxy's or a collector's: takes its mailbox item by item through its connection's
life."""

from __future__ import annotations

from loguru import logger

from meadowworks.fleet.connection_state import ConnectionState
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import CollectorHello, ConnectionItem, ProxyHello


def describe(first: ProxyHello | CollectorHello | None) -> str:
    if isinstance(first, ProxyHello):
        return f"proxy {first.proxy}: stream over"
    return f"collector of {first.zone}: gone" if first else "stranger: gone"


async def run_peer(life: ConnectionState, mailbox: Mailbox[ConnectionItem]) -> None:
    """The actor of one connection, until it ends; whatever ends it, a proxy has then left."""
    if isinstance(life.peer, CollectorHello):
        logger.info("collector of {}: joined", life.peer.zone)
    life.on_actor_started()
    try:
        async for item in mailbox.each():
            life.on_mailbox_item(item)
            if life.finish_reason:
                logger.info("{}, {}", describe(life.peer), life.finish_reason)
                return
    finally:
        life.finish("its actor ended")
