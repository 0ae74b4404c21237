"""The host of one simulated controller, which writes the policy's orders to the reply."""

from __future__ import annotations

from collections.abc import Mapping

from meadowworks.fleet.names import NameIndex
from meadowworks.fleet.settings import NS_PER_US, read_settings
from meadowworks.policy import Controller


class ControllerInstance:
    """A simulated controller, with the indices of its backends, zones and routes by name.

    :param name: its name in the protocol.
    :param output: the lines of the reply, to which orders are appended.
    :raises SettingsError: if an option is missing or invalid.
    """

    def __init__(
        self, name: str, seed: int, options: Mapping[str, str], output: list[str], now_ns: int
    ) -> None:
        self.name, self.output = name, output
        settings, self.zones, self.routes = read_settings(options)
        self.backends = NameIndex()
        self.policy = Controller(self, settings, seed, now_ns)

    def backend_index(self, name: str) -> int:
        """Return the index of a backend; -1 if the endpoint list has not named it."""
        return self.backends.index_by_name.get(name, -1)

    # -- the host protocol of the policy

    def log(self, line: str) -> None:
        """Log a decision."""
        self.output.append(f"RECORD\t{self.name}\t{line}")

    def watch_list(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        self.output.append(f"TRACK\t{self.name}\t{int(on)}")

    def check_health(self, backend: int) -> None:
        """Request a health check; the simulator replies with PROBED."""
        self.output.append(f"SAMPLE\t{self.name}\t{self.backends.name_by_index[backend]}")

    def release_backend(self, backend: int) -> None:
        """Free the index of a backend."""
        self.backends.release(backend)

    def request_ack(self, nonce: int) -> None:
        """Add a nonce to the messages of this batch; the simulator replies with INSTALLED."""
        self.output.append(f"BARRIER\t{self.name}\t{nonce}\t0")

    def set_timer(self, wait_ns: int) -> None:
        """Request an ELAPSED event after this time."""
        self.output.append(f"WAKE_ME\t{self.name}\t{wait_ns // NS_PER_US}\ttick")

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Set the weight of a backend in a table; 0 removes it."""
        name = self.backends.name_by_index[backend]
        self.output.append(f"UPSERT\t{self.name}\t{table}\t{name}\t{weight:.6g}")

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Make a proxy use a table for the routes of a bit mask."""
        self.output.append(f"SUBSCRIBE_TO\t{self.name}\t{routes}\t{proxy}\t{table}")

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Set the admission limit and the retry policy of routes in a table."""
        self.output.append(f"ADMIT\t{self.name}\t{table}\t{routes}\t{limit:.4f}\t{retry_policy}")
