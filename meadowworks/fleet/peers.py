"""The actor of a peer (a proxy or a collector): passes the items of its mailbox to the connection state."""

from __future__ import annotations

from loguru import logger

from meadowworks.fleet.connection_state import ConnectionState
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import CollectorHello, ConnectionItem, ProxyHello


def describe(peer: ProxyHello | CollectorHello | None) -> str:
    """Return a description of a peer for the log."""
    if isinstance(peer, ProxyHello):
        return f"proxy {peer.proxy}"
    return f"collector of {peer.zone}" if peer else "unidentified peer"


async def run_peer(state: ConnectionState, mailbox: Mailbox[ConnectionItem]) -> None:
    """Process the mailbox until the connection ends. Afterwards a proxy has left, whatever ended it."""
    if isinstance(state.peer, CollectorHello):
        logger.info("collector of {}: joined", state.peer.zone)
    state.publish_proxy_joined()
    try:
        async for item in mailbox.iterate():
            state.on_mailbox_item(item)
            if state.finish_reason:
                logger.info("{}: disconnected, {}", describe(state.peer), state.finish_reason)
                return
    finally:
        state.finish("its actor ended")
