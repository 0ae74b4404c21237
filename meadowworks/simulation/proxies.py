"""A stand-in proxy: takes in the lines of the protocol as they come, and holds tables and levels."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import ConnectionItem


@dataclass(slots=True)
class Proxy:
    """`rate` in calls a second over all routes; `standing` is the table that it starts with."""

    number: int
    zone: str
    rate: float
    routes: tuple[str, ...]
    initial_table: dict[str, float]
    tables: list[dict[str, float]] = field(default_factory=list)  # by route
    admissions: list[tuple[float, int]] = field(default_factory=list)
    controller: int = -1  # the controller that its stream goes to; under 0: none
    stream: Mailbox[ConnectionItem] | None = None
    joined_ns: int = 0
    without_backend_ns: int = 0  # since when it has lacked a line that it might have
    messages: list[int] = field(default_factory=list)  # when they entered the channel, of this stream
    repeated_calls: float = 0.0  # calls that clients bring again

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """From nothing: the standing table for all routes."""
        self.tables = [dict(self.initial_table) for _ in self.routes]
        self.admissions = [(1.0, 0)] * len(self.routes)

    def apply(self, text: bytes) -> int | None:
        """One message; gives the mark that wants an answer, if it has one. Raises ValueError for what it
        cannot use: a stand-in is strict."""
        mark = None
        for line in text.decode().split("\r\n")[:-1]:
            kind, *words = line.split(" ")
            says = dict(word.split("=", 1) for word in words)
            if kind != "assign" or len(says) < len(words):
                raise ValueError(f"no order: {line!r}")
            named = [word.rsplit(":", 1) for word in says.get("endpoints", "").split(",") if word]
            meant = says["routes"].split("+") if "routes" in says else self.routes
            for k in map(self.routes.index, meant):
                if "full" in says:
                    self.tables[k], self.admissions[k] = {}, (1.0, 0)
                for name, weight in named:
                    self.tables[k][name] = float(weight)
                    if not self.tables[k][name]:
                        del self.tables[k][name]
                if "admit" in says:
                    self.admissions[k] = float(says["admit"]), int(says["policy"])
            mark = int(says["nonce_out"]) if "nonce_out" in says else mark
        return mark
