"""The real controller: one program that serves until it is told to end."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import fields
from typing import Any

from loguru import logger

from meadowworks.fleet.config import Config, load_config
from meadowworks.fleet.controller import FleetController
from meadowworks.fleet.discovery import DiscoveryClient
from meadowworks.fleet.invariants import count
from meadowworks.fleet.listener import Listener
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ControllerEvent, DiscoveryCommand, DiscoveryMoved
from meadowworks.fleet.settings import SettingsError

REPORTS_MOST = 16384  # waiting for the module: more than a minute of all that a report rate brings
LIST_MOST = 1  # nothing in the list's mailbox is a report
AT_ONCE = {"discovery", "seed", "known"}  # of a configuration read again: followed, or of a start alone


async def serve(config: Config) -> None:
    """Starts every actor, and ends when told to or when one of them fails."""
    loop = asyncio.get_running_loop()
    end: asyncio.Future[None] = loop.create_future()

    def fault(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What fails outside the main actors: in a peer's, in the loop, in the transports."""
        trouble = context.get("exception")
        if count("faults in the loop or a peer's actor"):
            logger.opt(exception=trouble).error("fault: {}", context.get("message"))
        if isinstance(trouble, AssertionError) and not end.done():  # never in a release
            end.set_exception(trouble)

    def told() -> None:
        if not end.done():
            end.set_result(None)

    def again() -> None:
        """Reads the configuration again. Whatever is wrong with it, the program goes on with the old one."""
        nonlocal config
        try:
            old, config = config, load_config(os.environ)
        except Exception as trouble:
            count("configurations passed over")
            return logger.warning("configuration not taken, the old one stands: {}", trouble)
        logger.info("configuration read again: discovery at {}", config.discovery)
        if config.discovery != old.discovery:
            lists.put(DiscoveryMoved(config.discovery))
        changed = {f.name for f in fields(Config) if getattr(config, f.name) != getattr(old, f.name)}
        if late := sorted(changed - AT_ONCE):
            logger.warning("configuration: only a restart can change {}", ", ".join(late))

    loop.set_exception_handler(fault)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told)
    module: Mailbox[ControllerEvent] = Mailbox(REPORTS_MOST)
    lists: Mailbox[DiscoveryCommand] = Mailbox(LIST_MOST)
    loop.add_signal_handler(signal.SIGHUP, again)
    node = FleetController(config, module, lists, loop.call_at)
    index = config.known.index if config.known else None
    discovery = DiscoveryClient(config.discovery, index, config.settings.ask_within_ns, lists, module)
    door = Listener(module, config.zone_indices, config.settings.proxies, config.sockets)

    async def listen() -> None:
        with await door.open_socket(config.host, config.port) as listening:
            logger.info("{}: serving on {}:{}", config.name, config.host, config.port)
            await door.run(listening)

    actors: list[asyncio.Future[None]] = [end]
    actors += [loop.create_task(actor) for actor in (node.run(), discovery.run(), listen())]
    ended, _ = await asyncio.wait(actors, return_when=asyncio.FIRST_COMPLETED)
    node.log_summary()
    for actor in ended:
        actor.result()  # a failed actor ends the program with its fault
    logger.info("{}: told to end", config.name)


def main() -> int:
    if len(sys.argv) > 1:
        from meadowworks.cli import main as commands  # what a word needs, a controller's start does not

        return commands.main()
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        config = load_config(os.environ)
    except SettingsError as trouble:
        print(f"meadowworks: {trouble}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except Exception:
        logger.exception("an actor failed: the program ends")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
