"""Tables and levels as each proxy holds them, and the module's orders of one batch as a message a proxy.

What an order changes is noted once a table, however many proxies are on it; a message is made once for all
proxies that are told the same.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace

from meadowworks.fleet.invariants import holds
from meadowworks.fleet.messages import Part

Grant = tuple[float, int]
Bound = tuple[int | None, ...]  # a proxy's table by route


class Table:
    """What a table holds, who is on it, and what of it this batch has changed."""

    def __init__(self) -> None:
        self.lines: dict[int, float] = {}
        self.grants: dict[int, Grant] = {}  # by route
        self.users: set[int] = set()
        self.changed: set[int] = set()  # lines
        self.granted: set[int] = set()  # routes
        self.counted = 0  # lines to each user that the module has taken room for in the channel


class Orders:
    def __init__(self, routes: Sequence[str], names: Mapping[int, str]) -> None:
        self.routes, self.names = tuple(routes), names
        self.tables: dict[int, Table] = {}
        self.bound: dict[int, Bound] = {}
        self.changed: set[int] = set()  # tables
        self.fresh: dict[int, set[int]] = {}  # tables that a proxy was put on in this batch: told in full
        self.counted: dict[int, int] = {}  # lines for that
        self.mark: int | None = None  # carried by each message of this batch

    def join(self, proxy: int) -> None:
        self.bound[proxy] = (None,) * len(self.routes)

    def leave(self, proxy: int) -> None:
        for number in {*self.bound.pop(proxy, ())}:
            if number is not None:
                self.tables[number].users.discard(proxy)
        self.fresh.pop(proxy, None)
        self.counted.pop(proxy, None)

    def chosen(self, routes: int) -> list[int]:
        return [k for k in range(len(self.routes)) if not routes or routes >> k & 1]

    def table(self, number: int) -> Table:
        return self.tables.setdefault(number, Table())

    def set_line(self, number: int, backend: int, weight: float) -> None:
        table = self.table(number)
        table.lines[backend] = weight
        if not weight:
            del table.lines[backend]
        table.changed.add(backend)
        table.counted += 1
        self.changed.add(number)

    def bind(self, routes: int, proxy: int, number: int) -> None:
        holds(proxy in self.bound, "no order to a proxy that has not joined")
        if proxy not in self.bound:
            return
        chosen, table, old = self.chosen(routes), self.table(number), self.bound[proxy]
        bound = tuple(number if k in chosen else its for k, its in enumerate(old))
        self.bound[proxy] = bound
        for left in {*old} - {*bound} - {None}:
            self.tables[left].users.discard(proxy)  # type: ignore[index]
        table.users.add(proxy)
        self.fresh.setdefault(proxy, set()).add(number)
        self.counted[proxy] = self.counted.get(proxy, 0) + 1 + len(table.lines) + len(table.grants)

    def admit(self, number: int, routes: int, level: float, retry: int) -> None:
        table, chosen = self.table(number), self.chosen(routes)
        table.grants.update((k, (level, retry)) for k in chosen)
        table.granted.update(chosen)
        table.counted += 1
        self.changed.add(number)

    def some(self, routes: Sequence[int]) -> tuple[str, ...]:
        """Routes by name; none stand for all."""
        return () if len(routes) == len(self.routes) else tuple(self.routes[k] for k in routes)

    def parts(self, bound: Bound, fresh: frozenset[int]) -> list[Part]:
        """What is told to those that hold these tables, of which some are new to them."""
        by_grant: dict[Grant, list[int]] = {}
        for k, number in enumerate(bound):
            if (
                number is not None
                and k in (table := self.tables[number]).grants
                and (number in fresh or k in table.granted)
            ):  # a full table forgets levels
                by_grant.setdefault(table.grants[k], []).append(k)
        grants = {tuple(routes): grant for grant, routes in by_grant.items()}
        parts = []
        for number in sorted({number for number in bound if number is not None}):
            table, full = self.tables[number], number in fresh
            if full or table.changed:
                routes = tuple(k for k, its in enumerate(bound) if its == number)
                places = table.lines if full else sorted(table.changed)
                named = tuple((self.names[place], table.lines.get(place, 0.0)) for place in places)
                parts.append(Part(self.some(routes), full, named, grants.pop(routes, None)))
        return parts + [Part(self.some(routes), False, (), grant) for routes, grant in grants.items()]

    def messages(self) -> Iterator[tuple[list[int], list[Part]]]:
        """What the orders since the last call come to: a message, and all proxies that are told just that."""
        alike: dict[tuple[Bound, frozenset[int]], list[int]] = {}
        for proxy in {*self.fresh}.union(*(self.tables[number].users for number in self.changed)):
            alike.setdefault((self.bound[proxy], frozenset(self.fresh.get(proxy, ()))), []).append(proxy)
        try:
            for (bound, fresh), users in alike.items():
                if parts := self.parts(bound, fresh):
                    parts[-1] = replace(parts[-1], mark=self.mark)
                    cost = sum(part.cost() for part in parts)
                    counted = sum(self.tables[number].counted for number in {*bound} if number is not None)
                    counted += self.mark is not None
                    holds(
                        all(cost <= counted + self.counted.get(proxy, 0) for proxy in users),
                        "no more lines to a proxy than were counted for it",
                    )
                    yield sorted(users), parts
        finally:  # a fault in one message is no fault in the next batch
            for number in self.changed:
                table = self.tables[number]
                table.changed, table.granted, table.counted = set(), set(), 0
            self.changed, self.fresh, self.counted, self.mark = set(), {}, {}, None
