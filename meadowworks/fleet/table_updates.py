"""Tables and admissions of each proxy, and the changes of a batch as one message per proxy.

A change is recorded once per table, however many proxies use it. Proxies that need the same content share one
message.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.messages import TableUpdate

Admission = tuple[float, int]  # limit and retry policy
TableAssignment = tuple[int | None, ...]  # by route, the id of the proxy's table


class PublishedTable:
    """The content of a table, the proxies that use it, and its changes in this batch."""

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}
        self.admissions: dict[int, Admission] = {}  # by route
        self.proxies: set[int] = set()
        self.changed_backends: set[int] = set()
        self.changed_routes: set[int] = set()  # routes whose admission has changed
        self.reserved_lines = 0  # channel lines that the policy has reserved for each proxy


class TableUpdates:
    """The policy's changes, collected until the batch is sent."""

    def __init__(self, routes: Sequence[str], backend_names: Mapping[int, str]) -> None:
        self.routes, self.backend_names = tuple(routes), backend_names
        self.tables: dict[int, PublishedTable] = {}
        self.assignments: dict[int, TableAssignment] = {}
        self.changed_tables: set[int] = set()
        self.new_tables: dict[int, set[int]] = {}  # by proxy, assigned in this batch: sent in full
        self.reserved_lines: dict[int, int] = {}  # by proxy, for its new tables
        self.nonce: int | None = None  # carried by each message of this batch

    def add_proxy(self, proxy: int) -> None:
        """Add a proxy, which has no tables yet."""
        self.assignments[proxy] = (None,) * len(self.routes)

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy and its pending updates."""
        for table_id in {*self.assignments.pop(proxy, ())}:
            if table_id is not None:
                self.tables[table_id].proxies.discard(proxy)
        self.new_tables.pop(proxy, None)
        self.reserved_lines.pop(proxy, None)

    def select_routes(self, routes: int) -> list[int]:
        """Return the route indices in a bit mask; 0 selects all routes."""
        return [route for route in range(len(self.routes)) if not routes or routes >> route & 1]

    def table(self, table_id: int) -> PublishedTable:
        """Return a table; create it if it does not exist."""
        return self.tables.setdefault(table_id, PublishedTable())

    def set_weight(self, table_id: int, backend: int, weight: float) -> None:
        """Set a backend's weight in a table; 0 removes the backend."""
        table = self.table(table_id)
        table.weights[backend] = weight
        if not weight:
            del table.weights[backend]
        table.changed_backends.add(backend)
        table.reserved_lines += 1
        self.changed_tables.add(table_id)

    def assign_table(self, routes: int, proxy: int, table_id: int) -> None:
        """Assign a table to a proxy for the routes of a bit mask."""
        check_invariant(proxy in self.assignments, "no table for a proxy that has not joined")
        if proxy not in self.assignments:
            return
        selected, table, old = self.select_routes(routes), self.table(table_id), self.assignments[proxy]
        assignment = tuple(table_id if route in selected else current for route, current in enumerate(old))
        self.assignments[proxy] = assignment
        for unused in {*old} - {*assignment} - {None}:
            self.tables[unused].proxies.discard(proxy)  # type: ignore[index]
        table.proxies.add(proxy)
        self.new_tables.setdefault(proxy, set()).add(table_id)
        lines = 1 + len(table.weights) + len(table.admissions)
        self.reserved_lines[proxy] = self.reserved_lines.get(proxy, 0) + lines

    def set_admission(self, table_id: int, routes: int, limit: float, retry_policy: int) -> None:
        """Set the admission limit and the retry policy of a table's routes."""
        table, selected = self.table(table_id), self.select_routes(routes)
        table.admissions.update((route, (limit, retry_policy)) for route in selected)
        table.changed_routes.update(selected)
        table.reserved_lines += 1
        self.changed_tables.add(table_id)

    def route_names(self, routes: Sequence[int]) -> tuple[str, ...]:
        """Return the names of routes; an empty tuple stands for all routes."""
        return () if len(routes) == len(self.routes) else tuple(self.routes[route] for route in routes)

    def build_updates(self, assignment: TableAssignment, new: frozenset[int]) -> list[TableUpdate]:
        """Return the message for proxies with an assignment; tables in `new` are sent in full."""
        admissions = self._admissions_to_send(assignment, new)
        updates = []
        for table_id in sorted({table_id for table_id in assignment if table_id is not None}):
            table, is_full = self.tables[table_id], table_id in new
            if is_full or table.changed_backends:
                routes = tuple(route for route, assigned in enumerate(assignment) if assigned == table_id)
                backends = table.weights if is_full else sorted(table.changed_backends)
                weights = tuple((self.backend_names[b], table.weights.get(b, 0.0)) for b in backends)
                admission = admissions.pop(routes, None)
                updates.append(TableUpdate(self.route_names(routes), is_full, weights, admission))
        remaining = admissions.items()
        return updates + [
            TableUpdate(self.route_names(routes), False, (), admission) for routes, admission in remaining
        ]

    def _admissions_to_send(
        self, assignment: TableAssignment, new: frozenset[int]
    ) -> dict[tuple[int, ...], Admission]:
        """Return the admissions that have changed or belong to a new table, by the routes that share them."""
        routes_by_admission: dict[Admission, list[int]] = {}
        for route, table_id in enumerate(assignment):
            if table_id is None or route not in (table := self.tables[table_id]).admissions:
                continue
            if table_id in new or route in table.changed_routes:  # a full update resets admissions
                routes_by_admission.setdefault(table.admissions[route], []).append(route)
        return {tuple(routes): admission for admission, routes in routes_by_admission.items()}

    def take_messages(self) -> Iterator[tuple[list[int], list[TableUpdate]]]:
        """Yield the changes since the last call: the proxies that share a message, and the message."""
        proxies_by_content: dict[tuple[TableAssignment, frozenset[int]], list[int]] = {}
        for proxy in {*self.new_tables}.union(*(self.tables[n].proxies for n in self.changed_tables)):
            new = frozenset(self.new_tables.get(proxy, ()))
            proxies_by_content.setdefault((self.assignments[proxy], new), []).append(proxy)
        try:
            for (assignment, new), proxies in proxies_by_content.items():
                if updates := self.build_updates(assignment, new):
                    updates[-1] = replace(updates[-1], nonce=self.nonce)
                    self._check_reserved(assignment, proxies, updates)
                    yield sorted(proxies), updates
        finally:  # a fault in one message does not reach the next batch
            for table_id in self.changed_tables:
                table = self.tables[table_id]
                table.changed_backends, table.changed_routes, table.reserved_lines = set(), set(), 0
            self.changed_tables, self.new_tables, self.reserved_lines, self.nonce = set(), {}, {}, None

    def _check_reserved(
        self, assignment: TableAssignment, proxies: list[int], updates: list[TableUpdate]
    ) -> None:
        lines = sum(update.channel_lines() for update in updates)
        reserved = sum(
            self.tables[table_id].reserved_lines for table_id in {*assignment} if table_id is not None
        )
        reserved += self.nonce is not None
        check_invariant(
            all(lines <= reserved + self.reserved_lines.get(proxy, 0) for proxy in proxies),
            "no more lines to a proxy than the policy has reserved",
        )
