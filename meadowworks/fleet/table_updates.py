"""Tables and levels as each proxy holds them, and the module's orders of one batch as a message a proxy.

What an order changes is noted once a table, however many proxies are on it; a message is made once for all
proxies that are told the same.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.messages import TableUpdate

Admission = tuple[float, int]
TableAssignment = tuple[int | None, ...]  # a proxy's table by route


class PublishedTable:
    """What a table holds, who is on it, and what of it this batch has changed."""

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}
        self.admissions: dict[int, Admission] = {}  # by route
        self.proxies: set[int] = set()
        self.changed_backends: set[int] = set()  # lines
        self.changed_routes: set[int] = set()  # routes
        self.reserved_lines = 0  # lines to each user that the module has taken room for in the channel


class TableUpdates:
    def __init__(self, routes: Sequence[str], names: Mapping[int, str]) -> None:
        self.routes, self.backend_names = tuple(routes), names
        self.tables: dict[int, PublishedTable] = {}
        self.assignments: dict[int, TableAssignment] = {}
        self.changed_tables: set[int] = set()  # tables
        self.new_tables: dict[
            int, set[int]
        ] = {}  # tables that a proxy was put on in this batch: told in full
        self.reserved_lines: dict[int, int] = {}  # lines for that
        self.nonce: int | None = None  # carried by each message of this batch

    def add_proxy(self, proxy: int) -> None:
        self.assignments[proxy] = (None,) * len(self.routes)

    def remove_proxy(self, proxy: int) -> None:
        for number in {*self.assignments.pop(proxy, ())}:
            if number is not None:
                self.tables[number].proxies.discard(proxy)
        self.new_tables.pop(proxy, None)
        self.reserved_lines.pop(proxy, None)

    def select_routes(self, routes: int) -> list[int]:
        return [k for k in range(len(self.routes)) if not routes or routes >> k & 1]

    def table(self, number: int) -> PublishedTable:
        return self.tables.setdefault(number, PublishedTable())

    def set_weight(self, number: int, backend: int, weight: float) -> None:
        table = self.table(number)
        table.weights[backend] = weight
        if not weight:
            del table.weights[backend]
        table.changed_backends.add(backend)
        table.reserved_lines += 1
        self.changed_tables.add(number)

    def assign_table(self, routes: int, proxy: int, number: int) -> None:
        check_invariant(proxy in self.assignments, "no order to a proxy that has not joined")
        if proxy not in self.assignments:
            return
        chosen, table, old = self.select_routes(routes), self.table(number), self.assignments[proxy]
        bound = tuple(number if k in chosen else its for k, its in enumerate(old))
        self.assignments[proxy] = bound
        for left in {*old} - {*bound} - {None}:
            self.tables[left].proxies.discard(proxy)  # type: ignore[index]
        table.proxies.add(proxy)
        self.new_tables.setdefault(proxy, set()).add(number)
        self.reserved_lines[proxy] = (
            self.reserved_lines.get(proxy, 0) + 1 + len(table.weights) + len(table.admissions)
        )

    def set_admission(self, number: int, routes: int, level: float, retry: int) -> None:
        table, chosen = self.table(number), self.select_routes(routes)
        table.admissions.update((k, (level, retry)) for k in chosen)
        table.changed_routes.update(chosen)
        table.reserved_lines += 1
        self.changed_tables.add(number)

    def route_names(self, routes: Sequence[int]) -> tuple[str, ...]:
        """Routes by name; none stand for all."""
        return () if len(routes) == len(self.routes) else tuple(self.routes[k] for k in routes)

    def build_updates(self, bound: TableAssignment, fresh: frozenset[int]) -> list[TableUpdate]:
        """What is told to those that hold these tables, of which some are new to them."""
        by_grant: dict[Admission, list[int]] = {}
        for k, number in enumerate(bound):
            if (
                number is not None
                and k in (table := self.tables[number]).admissions
                and (number in fresh or k in table.changed_routes)
            ):  # a full table forgets levels
                by_grant.setdefault(table.admissions[k], []).append(k)
        grants = {tuple(routes): grant for grant, routes in by_grant.items()}
        parts = []
        for number in sorted({number for number in bound if number is not None}):
            table, full = self.tables[number], number in fresh
            if full or table.changed_backends:
                routes = tuple(k for k, its in enumerate(bound) if its == number)
                places = table.weights if full else sorted(table.changed_backends)
                named = tuple((self.backend_names[place], table.weights.get(place, 0.0)) for place in places)
                parts.append(TableUpdate(self.route_names(routes), full, named, grants.pop(routes, None)))
        return parts + [
            TableUpdate(self.route_names(routes), False, (), grant) for routes, grant in grants.items()
        ]

    def take_messages(self) -> Iterator[tuple[list[int], list[TableUpdate]]]:
        """What the orders since the last call come to: a message, and all proxies that are told just that."""
        alike: dict[tuple[TableAssignment, frozenset[int]], list[int]] = {}
        for proxy in {*self.new_tables}.union(
            *(self.tables[number].proxies for number in self.changed_tables)
        ):
            alike.setdefault((self.assignments[proxy], frozenset(self.new_tables.get(proxy, ()))), []).append(
                proxy
            )
        try:
            for (bound, fresh), users in alike.items():
                if parts := self.build_updates(bound, fresh):
                    parts[-1] = replace(parts[-1], nonce=self.nonce)
                    cost = sum(part.channel_lines() for part in parts)
                    counted = sum(
                        self.tables[number].reserved_lines for number in {*bound} if number is not None
                    )
                    counted += self.nonce is not None
                    check_invariant(
                        all(cost <= counted + self.reserved_lines.get(proxy, 0) for proxy in users),
                        "no more lines to a proxy than were counted for it",
                    )
                    yield sorted(users), parts
        finally:  # a fault in one message is no fault in the next batch
            for number in self.changed_tables:
                table = self.tables[number]
                table.changed_backends, table.changed_routes, table.reserved_lines = set(), set(), 0
            self.changed_tables, self.new_tables, self.reserved_lines, self.nonce = set(), {}, {}, None
