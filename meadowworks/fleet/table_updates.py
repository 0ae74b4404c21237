"""Tables and admissions as each proxy holds them, and the changes of one batch as a message a proxy.

A change is noted once a table, however many proxies use it; a message is made once for all proxies that are
sent the same.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.messages import TableUpdate

Admission = tuple[float, int]  # limit and retry policy
TableAssignment = tuple[int | None, ...]  # a proxy's table by route


class PublishedTable:
    """What a table holds, who uses it, and what of it this batch has changed."""

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}
        self.admissions: dict[int, Admission] = {}  # by route
        self.proxies: set[int] = set()
        self.changed_backends: set[int] = set()
        self.changed_routes: set[int] = set()  # those with another admission
        self.reserved_lines = 0  # to each proxy, that the policy has reserved in the channel


class TableUpdates:
    """The policy's changes, gathered until the next batch goes out."""

    def __init__(self, routes: Sequence[str], backend_names: Mapping[int, str]) -> None:
        self.routes, self.backend_names = tuple(routes), backend_names
        self.tables: dict[int, PublishedTable] = {}
        self.assignments: dict[int, TableAssignment] = {}
        self.changed_tables: set[int] = set()
        self.new_tables: dict[int, set[int]] = {}  # assigned to a proxy in this batch: sent in full
        self.reserved_lines: dict[int, int] = {}  # by proxy, for that
        self.nonce: int | None = None  # carried by each message of this batch

    def add_proxy(self, proxy: int) -> None:
        """Takes in a proxy, without tables so far."""
        self.assignments[proxy] = (None,) * len(self.routes)

    def remove_proxy(self, proxy: int) -> None:
        """Forgets a proxy, and what was to be sent to it."""
        for table_id in {*self.assignments.pop(proxy, ())}:
            if table_id is not None:
                self.tables[table_id].proxies.discard(proxy)
        self.new_tables.pop(proxy, None)
        self.reserved_lines.pop(proxy, None)

    def select_routes(self, routes: int) -> list[int]:
        """The routes in a bit mask; 0 stands for all."""
        return [k for k in range(len(self.routes)) if not routes or routes >> k & 1]

    def table(self, table_id: int) -> PublishedTable:
        """A table, a new one if it was not there."""
        return self.tables.setdefault(table_id, PublishedTable())

    def set_weight(self, table_id: int, backend: int, weight: float) -> None:
        """Sets a backend's weight in a table; 0 takes it out."""
        table = self.table(table_id)
        table.weights[backend] = weight
        if not weight:
            del table.weights[backend]
        table.changed_backends.add(backend)
        table.reserved_lines += 1
        self.changed_tables.add(table_id)

    def assign_table(self, routes: int, proxy: int, table_id: int) -> None:
        """Makes a proxy use a table for the routes of a bit mask."""
        check_invariant(proxy in self.assignments, "no order to a proxy that has not joined")
        if proxy not in self.assignments:
            return
        selected, table, old = self.select_routes(routes), self.table(table_id), self.assignments[proxy]
        assignment = tuple(table_id if k in selected else its for k, its in enumerate(old))
        self.assignments[proxy] = assignment
        for unused in {*old} - {*assignment} - {None}:
            self.tables[unused].proxies.discard(proxy)  # type: ignore[index]
        table.proxies.add(proxy)
        self.new_tables.setdefault(proxy, set()).add(table_id)
        lines = 1 + len(table.weights) + len(table.admissions)
        self.reserved_lines[proxy] = self.reserved_lines.get(proxy, 0) + lines

    def set_admission(self, table_id: int, routes: int, limit: float, retry_policy: int) -> None:
        """Sets the admission limit and the retry policy of a table's routes."""
        table, selected = self.table(table_id), self.select_routes(routes)
        table.admissions.update((k, (limit, retry_policy)) for k in selected)
        table.changed_routes.update(selected)
        table.reserved_lines += 1
        self.changed_tables.add(table_id)

    def route_names(self, routes: Sequence[int]) -> tuple[str, ...]:
        """Routes by name; none stand for all."""
        return () if len(routes) == len(self.routes) else tuple(self.routes[k] for k in routes)

    def build_updates(self, assignment: TableAssignment, new: frozenset[int]) -> list[TableUpdate]:
        """What is sent to proxies with this assignment, of whose tables some are new to them."""
        admissions = self._admissions_to_send(assignment, new)
        updates = []
        for table_id in sorted({table_id for table_id in assignment if table_id is not None}):
            table, full = self.tables[table_id], table_id in new
            if full or table.changed_backends:
                routes = tuple(k for k, its in enumerate(assignment) if its == table_id)
                backends = table.weights if full else sorted(table.changed_backends)
                weights = tuple((self.backend_names[b], table.weights.get(b, 0.0)) for b in backends)
                admission = admissions.pop(routes, None)
                updates.append(TableUpdate(self.route_names(routes), full, weights, admission))
        rest = admissions.items()
        return updates + [TableUpdate(self.route_names(routes), False, (), one) for routes, one in rest]

    def _admissions_to_send(
        self, assignment: TableAssignment, new: frozenset[int]
    ) -> dict[tuple[int, ...], Admission]:
        """Admissions that have changed or come with a new table, by the routes that share them."""
        routes_by_admission: dict[Admission, list[int]] = {}
        for k, table_id in enumerate(assignment):
            if table_id is None or k not in (table := self.tables[table_id]).admissions:
                continue
            if table_id in new or k in table.changed_routes:  # a full table resets admissions
                routes_by_admission.setdefault(table.admissions[k], []).append(k)
        return {tuple(routes): admission for admission, routes in routes_by_admission.items()}

    def take_messages(self) -> Iterator[tuple[list[int], list[TableUpdate]]]:
        """The changes since the last call: a message, and all proxies that get just that."""
        alike: dict[tuple[TableAssignment, frozenset[int]], list[int]] = {}
        for proxy in {*self.new_tables}.union(*(self.tables[n].proxies for n in self.changed_tables)):
            new = frozenset(self.new_tables.get(proxy, ()))
            alike.setdefault((self.assignments[proxy], new), []).append(proxy)
        try:
            for (assignment, new), proxies in alike.items():
                if updates := self.build_updates(assignment, new):
                    updates[-1] = replace(updates[-1], nonce=self.nonce)
                    self._check_reserved(assignment, proxies, updates)
                    yield sorted(proxies), updates
        finally:  # a fault in one message is no fault in the next batch
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
            "no more lines to a proxy than were counted for it",
        )
