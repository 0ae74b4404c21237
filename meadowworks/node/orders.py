"""Tables and levels as each proxy holds them, and the module's orders of one batch as a message a proxy."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from meadowworks.node.invariants import holds
from meadowworks.node.messages import Part

Grant = tuple[float, int]


class Pending:
    """What one proxy is to be told of this batch: tables by number, grants by route."""

    def __init__(self) -> None:
        self.full: set[int] = set()
        self.lines: dict[int, dict[int, float]] = {}
        self.grants: dict[int, Grant] = {}
        self.counted = 0  # lines that the module has taken room for in the channel


class Orders:
    def __init__(self, routes: Sequence[str], names: Sequence[str]) -> None:
        self.routes, self.names = tuple(routes), names
        self.tables: dict[int, dict[int, float]] = {}
        self.grants: dict[int, dict[int, Grant]] = {}  # by table and route
        self.bound: dict[int, dict[int, int]] = {}  # a proxy's table by route
        self.pending: dict[int, Pending] = {}

    def join(self, proxy: int) -> None:
        self.bound[proxy] = {}

    def leave(self, proxy: int) -> None:
        self.bound.pop(proxy, None)
        self.pending.pop(proxy, None)

    def chosen(self, routes: int) -> list[int]:
        return [k for k in range(len(self.routes)) if not routes or routes >> k & 1]

    def told(self, proxy: int) -> Pending:
        return self.pending.setdefault(proxy, Pending())

    def set_line(self, table: int, backend: int, weight: float) -> None:
        lines = self.tables.setdefault(table, {})
        lines[backend] = weight
        if not weight:
            del lines[backend]
        for proxy, bound in self.bound.items():
            if table in bound.values():
                pending = self.told(proxy)
                pending.lines.setdefault(table, {})[backend] = weight
                pending.counted += 1

    def bind(self, routes: int, proxy: int, table: int) -> None:
        holds(proxy in self.bound, "no order to a proxy that has not joined")
        if proxy not in self.bound:
            return
        bound = self.bound[proxy]
        bound.update((k, table) for k in self.chosen(routes))
        pending = self.told(proxy)
        pending.full.add(table)
        pending.lines[table] = dict(self.tables.get(table, {}))
        pending.counted += 1 + len(pending.lines[table]) + len(self.grants.get(table, {}))
        for k in (k for k, its in bound.items() if its == table):  # a full table forgets levels
            pending.grants.pop(k, None)
            if k in self.grants.get(table, {}):
                pending.grants[k] = self.grants[table][k]

    def admit(self, table: int, routes: int, level: float, retry: int) -> None:
        chosen = self.chosen(routes)
        self.grants.setdefault(table, {}).update((k, (level, retry)) for k in chosen)
        for proxy, bound in self.bound.items():
            if table in bound.values():
                pending = self.told(proxy)
                pending.counted += 1
                pending.grants.update((k, (level, retry)) for k in chosen if bound.get(k) == table)

    def some(self, routes: Sequence[int]) -> tuple[str, ...]:
        """Routes by name; none stand for all."""
        return () if len(routes) == len(self.routes) else tuple(self.routes[k] for k in routes)

    def messages(self) -> Iterator[tuple[int, list[Part]]]:
        """What the orders since the last call come to: one message for each proxy concerned."""
        pending, self.pending = self.pending, {}
        for proxy, told in pending.items():
            bound = self.bound[proxy]
            by_grant: dict[Grant, list[int]] = {}
            for k in sorted(told.grants):
                by_grant.setdefault(told.grants[k], []).append(k)
            grants = {tuple(routes): grant for grant, routes in by_grant.items()}
            parts = []
            for table, changed in told.lines.items():
                routes = tuple(k for k in range(len(self.routes)) if bound.get(k) == table)
                if routes:
                    named = tuple((self.names[place], weight) for place, weight in changed.items())
                    parts.append(Part(self.some(routes), table in told.full, named, grants.pop(routes, None)))
            parts += [Part(self.some(routes), False, (), grant) for routes, grant in grants.items()]
            lines = sum(part.cost() for part in parts)
            holds(lines <= told.counted, "no more lines to a proxy than were counted for it")
            if parts:
                yield proxy, parts
