"""The node's settings, which can be read again while the program runs."""

from __future__ import annotations

import asyncio
import signal

from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import NodeSettings, load_settings

log = logs.get_logger("settings")


class LiveSettings:
    """The settings in force. Whoever must see a reload asks for `current` each time.

    :param settings: what the program was started with.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._current = settings

    @property
    def current(self) -> NodeSettings:
        """The settings that were last read successfully."""
        return self._current

    def reload(self) -> None:
        """Read the settings file again; keep the settings in force if it is invalid."""
        try:
            self._current = load_settings()
        except SettingsError as error:
            log.warning("settings_rejected", reason=str(error))

    def reload_on_sighup(self) -> None:
        """Reload whenever the process receives SIGHUP. Call it with the event loop running."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
