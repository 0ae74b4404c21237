"""The settings in force, which SIGHUP reads anew."""

from __future__ import annotations

from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import NodeSettings, load_settings

log = logs.get_logger("proxy")


class ReloadableSettings:
    """Holds the newest settings that make sense. Whoever reads `current` each time sees a reload."""

    def __init__(self, settings: NodeSettings) -> None:
        self.current = settings

    def reload(self) -> None:
        """Read the settings file again: the seeds may be others now."""
        try:
            self.current = load_settings()
        except SettingsError as error:
            log.warning("settings were not reloaded, the previous ones stay in force: {}", error)
