"""A simulated proxy, which applies the protocol's messages to its tables and admission levels."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionItem


@dataclass(slots=True)
class Proxy:
    """A proxy; `rate` is its calls per second over all routes, `initial_table` the table after a start."""

    number: int
    zone: str
    rate: float
    routes: tuple[str, ...]
    initial_table: dict[str, float]
    tables: list[dict[str, float]] = field(default_factory=list)  # by route
    admissions: list[tuple[float, int]] = field(default_factory=list)  # by route: share, retry policy
    controller_number: int = -1  # the controller of its stream, negative for none
    stream: Mailbox[ConnectionItem] | None = None
    joined_ns: int = 0
    without_backend_ns: int = 0  # since when it has had an empty table despite a warm server, or 0
    message_times: list[int] = field(default_factory=list)  # when this stream's messages were queued
    repeated_calls: float = 0.0  # calls that clients retry

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Reset to the initial table for all routes."""
        self.tables = [dict(self.initial_table) for _ in self.routes]
        self.admissions = [(1.0, 0)] * len(self.routes)

    def apply(self, text: bytes) -> int | None:
        """Apply one message and return the nonce that it asks to acknowledge, None if it has none.

        :raises ValueError: for a line that isn't a valid assignment.
        """
        nonce = None
        for line in text.decode().split("\r\n")[:-1]:
            kind, *tokens = line.split(" ")
            fields = dict(token.split("=", 1) for token in tokens)
            if kind != "assign" or len(fields) < len(tokens):
                raise ValueError(f"not a valid assignment: {line!r}")
            weights = [entry.rsplit(":", 1) for entry in fields.get("endpoints", "").split(",") if entry]
            route_names = fields["routes"].split("+") if "routes" in fields else self.routes
            for k in map(self.routes.index, route_names):
                if "full" in fields:
                    self.tables[k], self.admissions[k] = {}, (1.0, 0)
                for name, weight in weights:
                    self.tables[k][name] = float(weight)
                    if not self.tables[k][name]:
                        del self.tables[k][name]
                if "admit" in fields:
                    self.admissions[k] = float(fields["admit"]), int(fields["policy"])
            nonce = int(fields["nonce_out"]) if "nonce_out" in fields else nonce
        return nonce
