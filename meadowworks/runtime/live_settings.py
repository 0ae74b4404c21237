"""Node settings that can be reloaded while the program runs."""

from __future__ import annotations

import asyncio
import signal

from meadowworks.runtime import logging as logs
from meadowworks.runtime.early_signals import take_held_sighup
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import NodeSettings, load_settings

log = logs.get_logger("settings")


class LiveSettings:
    """The current settings. Callers that must follow reloads read `current` on each use.

    :param settings: the settings at startup.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._current = settings

    @property
    def current(self) -> NodeSettings:
        """The settings that were last loaded successfully."""
        return self._current

    def reload(self) -> None:
        """Reload the settings file; keep the current settings if it is invalid."""
        try:
            self._current = load_settings()
        except SettingsError as error:
            log.warning("settings_rejected", reason=str(error))

    def reload_on_sighup(self) -> None:
        """Reload on each SIGHUP, and now if one came during the start.

        Must be called while the event loop is running.
        """
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        if take_held_sighup():
            self.reload()
