"""The controller program: starts the actors, handles signals, and ends when a main actor ends."""

from __future__ import annotations

import asyncio
import os
import signal
from dataclasses import fields
from typing import Any

from loguru import logger

from meadowworks.fleet.config import FleetConfig, load_config
from meadowworks.fleet.controller import FleetController
from meadowworks.fleet.discovery import DiscoveryClient
from meadowworks.fleet.invariants import count
from meadowworks.fleet.listener import Listener
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ControllerEvent, DiscoveryCommand, DiscoveryMoved

MAX_QUEUED_EVENTS = 16384  # reports that wait for the policy, for more than a minute
MAX_QUEUED_COMMANDS = 1  # without effect: the discovery actor's mailbox holds no reports
# Fields of the configuration whose change needs no restart: applied at once, or only used at a start.
RELOADABLE = frozenset(("discovery_address", "seed", "known_endpoints"))
# Names in the configuration file of fields that need a restart, where they differ.
SETTING_NAMES = {"descriptor_limit": "sockets", "zone_indices": "zones", "route_indices": "profiles"}


class FleetServer:
    """One controller process: its actors, its signals and its configuration."""

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.events: Mailbox[ControllerEvent] = Mailbox(MAX_QUEUED_EVENTS)
        self.discovery_commands: Mailbox[DiscoveryCommand] = Mailbox(MAX_QUEUED_COMMANDS)
        self._stopped: asyncio.Future[None] | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, or until a main actor fails.

        :raises Exception: the exception of the failed actor.
        """
        loop = asyncio.get_running_loop()
        self._stopped = loop.create_future()
        loop.set_exception_handler(self._on_loop_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload_config)
        config, events, commands = self.config, self.events, self.discovery_commands
        controller = FleetController(config, events, commands, loop.call_at)
        index = config.known_endpoints.index if config.known_endpoints else None
        refresh_ns = config.settings.list_refresh_ns
        discovery = DiscoveryClient(config.discovery_address, index, refresh_ns, commands, events)
        listener = Listener(events, config.zone_indices, config.settings.proxy_count, config.descriptor_limit)
        actors = (controller.run(), discovery.run(), self._listen(listener))
        waiting = [self._stopped, *(loop.create_task(actor) for actor in actors)]
        ended, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        controller.log_summary()
        for actor in ended:
            actor.result()  # a failed actor ends the program with its exception
        logger.info("{}: stopped by a signal", config.name)

    async def _listen(self, listener: Listener) -> None:
        config = self.config
        with await listener.open_socket(config.host, config.port) as listening:
            logger.info("{}: serving on {}:{}", config.name, config.host, config.port)
            await listener.run(listening)

    def _stop(self) -> None:
        if self._stopped and not self._stopped.done():
            self._stopped.set_result(None)

    def _on_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log a fault outside the main actors: in a peer's actor, the event loop or a transport."""
        exception = context.get("exception")
        if count("faults in the loop or a peer's actor"):
            logger.opt(exception=exception).error("fault outside the main actors: {}", context.get("message"))
        # A failed assertion ends a debug build; a release build has none.
        if isinstance(exception, AssertionError) and self._stopped and not self._stopped.done():
            self._stopped.set_exception(exception)

    def reload_config(self) -> None:
        """Read the configuration again; keep the old one if the new one is invalid."""
        old = self.config
        try:
            self.config = new = load_config(os.environ)
        except Exception as error:
            count("configurations rejected")
            return logger.warning("configuration not taken, the old one stands: {}", error)
        logger.info("configuration read again: discovery at {}", new.discovery_address)
        if new.discovery_address != old.discovery_address:
            self.discovery_commands.put(DiscoveryMoved(new.discovery_address))
        changed = {f.name for f in fields(FleetConfig) if getattr(new, f.name) != getattr(old, f.name)}
        if needs_restart := sorted(SETTING_NAMES.get(name, name) for name in changed - RELOADABLE):
            logger.warning("configuration: only a restart can change {}", ", ".join(needs_restart))
        return None


async def serve(config: FleetConfig) -> None:
    """Run the controller until it is stopped.

    :raises Exception: the exception of a failed main actor.
    """
    await FleetServer(config).run()
