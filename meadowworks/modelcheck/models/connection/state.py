"""The state of a world: its connections, and the controller's streams and tables."""

from __future__ import annotations

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionItem, DemandReport
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.modelcheck.models.connection.connection import PROXY, ModelConnection, SharedState
from meadowworks.modelcheck.models.connection.scenarios import Scenario

UNBOUND = -1  # value of `bound` while the proxy has no connection
ROUTE, BACKEND, BACKEND_NAME, TABLE = "all", 0, "b", 0
INITIAL_WEIGHT = 1.0
DEMAND_REPORT = DemandReport(PROXY, ROUTE, 1, 0, 1)


class WorldState(SharedState):
    """The connections, and the streams and tables of the controller.

    :ivar last_nonce: the nonce of the newest message.
    :ivar weight: the weight of the only backend in the only table.
    :ivar bound: index of the connection to which the controller has bound the proxy, or `UNBOUND`.
    """

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self.now_ns = 0
        self.table_updates = TableUpdates((ROUTE,), {BACKEND: BACKEND_NAME})
        self.streams = ProxyStreams(self.table_updates)
        count = scenario.proxy_connections + scenario.unidentified_connections
        self.connections = [ModelConnection(self, index) for index in range(count)]
        self.weight_changes_left = scenario.weight_changes
        self.weight = INITIAL_WEIGHT
        self.last_nonce = 0
        self.bound = UNBOUND

    def connection_of(self, stream: Mailbox[ConnectionItem]) -> ModelConnection:
        """Return the connection with this mailbox."""
        return next(connection for connection in self.connections if connection.mailbox is stream)
