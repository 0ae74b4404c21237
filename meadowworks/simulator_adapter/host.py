"""One simulated controller: the policy's host, which writes what is ordered straight to the reply."""

from __future__ import annotations

from collections.abc import Mapping

from meadowworks.fleet.names import NameIndex
from meadowworks.fleet.settings import NS_PER_US, read_settings
from meadowworks.policy import Controller


class ControllerInstance:
    """A controller by its name on the wire; the adapter gives out the indices of backends, zones and routes.

    :param output: the lines of the reply.
    :raises FleetSettingsError: if an option is missing or makes no sense.
    """

    def __init__(
        self, name: str, seed: int, options: Mapping[str, str], output: list[str], now_ns: int
    ) -> None:
        self.name, self.output = name, output
        settings, self.zones, self.routes = read_settings(options)
        self.backends = NameIndex()
        self.policy = Controller(self, settings, seed, now_ns)

    def backend_index(self, name: str) -> int:
        """The index of a backend that the endpoint list has named; -1 for any other."""
        return self.backends.index_by_name.get(name, -1)

    # -- the policy's host

    def log(self, line: str) -> None:
        """Logs a decision."""
        self.output.append(f"RECORD\t{self.name}\t{line}")

    def watch_list(self, on: bool) -> None:
        """Follows the endpoint list, or ceases to."""
        self.output.append(f"TRACK\t{self.name}\t{int(on)}")

    def check_health(self, backend: int) -> None:
        """Checks a backend; the simulator answers by PROBED."""
        self.output.append(f"SAMPLE\t{self.name}\t{self.backends.name_by_index[backend]}")

    def release_backend(self, backend: int) -> None:
        """Frees a backend's index."""
        self.backends.release(backend)

    def request_ack(self, nonce: int) -> None:
        """Gives this batch's messages a nonce; the simulator answers by INSTALLED."""
        self.output.append(f"BARRIER\t{self.name}\t{nonce}\t0")

    def set_timer(self, wait_ns: int) -> None:
        """Asks for ELAPSED after this time."""
        self.output.append(f"WAKE_ME\t{self.name}\t{wait_ns // NS_PER_US}\ttick")

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Sets a backend's weight in a table; 0 takes it out."""
        name = self.backends.name_by_index[backend]
        self.output.append(f"UPSERT\t{self.name}\t{table}\t{name}\t{weight:.6g}")

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Makes a proxy use a table for the routes of a bit mask."""
        self.output.append(f"SUBSCRIBE_TO\t{self.name}\t{routes}\t{proxy}\t{table}")

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Sets the admission limit and the retry policy of a table's routes."""
        self.output.append(f"ADMIT\t{self.name}\t{table}\t{routes}\t{limit:.4f}\t{retry_policy}")
