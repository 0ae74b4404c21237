"""The state of a world: its connections, and the controller's streams and tables."""

from __future__ import annotations

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionItem, DemandReport
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.modelcheck.models.connection.connection import PROXY, Connection, Shared
from meadowworks.modelcheck.models.connection.scenarios import Scenario

UNBOUND = -1  # the proxy is on no connection
ROUTE, BACKEND, BACKEND_NAME, TABLE = "all", 0, "b", 0
INITIAL_WEIGHT = 1.0
DEMAND_REPORT = DemandReport(PROXY, ROUTE, 1, 0, 1)


class WorldState(Shared):
    """The connections, and the controller as far as streams and tables go.

    :ivar last_nonce: of the newest message.
    :ivar weight: of the one backend, in the one table.
    :ivar bound: the connection that the controller takes the proxy to be on.
    """

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self.now_ns = 0
        self.table_updates = TableUpdates((ROUTE,), {BACKEND: BACKEND_NAME})
        self.streams = ProxyStreams(self.table_updates)
        count = scenario.proxy_connections + scenario.unidentified_connections
        self.connections = [Connection(self, place) for place in range(count)]
        self.weight_changes_left = scenario.weight_changes
        self.weight = INITIAL_WEIGHT
        self.last_nonce = 0
        self.bound = UNBOUND

    def connection_of(self, stream: Mailbox[ConnectionItem]) -> Connection:
        """The connection with this mailbox."""
        return next(connection for connection in self.connections if connection.mailbox is stream)
