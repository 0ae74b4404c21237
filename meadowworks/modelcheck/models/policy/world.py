"""One world of the model: the controller, its host, the channel, and the steps that may come."""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from typing import Any, NamedTuple

from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.policy.channel import ControlChannel, ProxyState
from meadowworks.modelcheck.models.policy.deployment import (
    BACKEND_WEIGHT,
    BACKEND_ZONES,
    BACKENDS,
    BATCH_NS,
    GONE,
    LISTED_STATES,
    NS_PER_S,
    READY,
    ROUTE_NAMES,
    SETTINGS,
    STALL_TICKS,
    START_NS,
    TICK_NS,
    UNANNOUNCED_BACKEND,
    backend_index,
    backend_name,
)
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry

CONTROLLER_SEED = 7
USUAL_RATE = 10.0  # calls a second that a proxy says it has when it joins
ATTEMPTS = 20  # of a report
NO_FAILURES, ALL_FAIL = -1, -2  # reports of no backend's failures alone
FEW_CALLS, MANY_CALLS = 2, 200  # of a demand report


class ListedBackend(NamedTuple):
    """A backend as the endpoint list has it."""

    state: str
    since_ns: int


class AdmissionSet(NamedTuple):
    """An outcome of a step: the controller has set an admission."""

    limit: float
    retry_policy: int


class World:
    """The controller's host, the channel and the proxies behind it.

    :ivar outcomes: the admissions that the last step has set.
    :ivar listed: the backends as they are.
    :ivar removed_since_ns: since when the controller knows that a backend is not ready.
    :ivar has_list: whether the controller has been given the list.
    """

    def __init__(self, listed: bool = True) -> None:
        self.outcomes: list[tuple[Any, ...]] = []
        self.frozen = b""
        self.now_ns = START_NS
        initial = ListedBackend(READY, 0)
        self.listed = dict.fromkeys(BACKENDS, initial)
        self.removed_since_ns: dict[int, int] = {}
        self.updates = TableUpdates(ROUTE_NAMES, {backend: backend_name(backend) for backend in BACKENDS})
        self.channel = ControlChannel(self.now_ns)
        self.has_list = listed
        self.controller = Controller(self, SETTINGS, CONTROLLER_SEED, self.now_ns)
        if listed:
            self.controller.on_endpoints(self.now_ns, "disk", self._entries(BACKENDS))
        self._send_updates()

    def _entries(self, backends: Iterable[int]) -> list[EndpointEntry]:
        return [
            EndpointEntry(backend, BACKEND_ZONES[backend], *self.listed[backend], BACKEND_WEIGHT)
            for backend in backends
        ]

    # -- the controller's host

    def log(self, _line: str) -> None:
        """Drops a line of the log."""

    def watch_list(self, _on: bool) -> None:
        """Does nothing: steps say what the list names."""

    def check_health(self, _backend: int) -> None:
        """Refuses a health check.

        :raises AssertionError: always, as the settings allow none.
        """
        raise AssertionError("no probe is asked for where none is allowed")

    def release_backend(self, backend: int) -> None:
        """Checks that no table names a released backend any more."""
        tables = self.updates.tables.values()
        assert not any(backend in table.weights for table in tables), "a name still in use"

    def request_ack(self, nonce: int) -> None:
        """Gives this step's messages a nonce, whose acknowledgement is then on its way."""
        self.updates.nonce = nonce
        self.channel.pending_nonces.append(nonce)

    def set_timer(self, wait_ns: int) -> None:
        """Checks the wait: `do_tick` is the timer."""
        assert wait_ns == TICK_NS

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Sets a backend's weight in a table."""
        assert weight >= 0
        self.updates.set_weight(table, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Makes a proxy use a table."""
        self.updates.assign_table(routes, proxy, table)

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Sets the admission of a table's routes."""
        self.outcomes.append(AdmissionSet(limit, retry_policy))
        self.updates.set_admission(table, routes, limit, retry_policy)

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """The steps that may come next."""
        found: list[Step] = [("tick",), ("stall",), ("whole",)]
        if self.listed[UNANNOUNCED_BACKEND].state != GONE:
            found.append(("miss", UNANNOUNCED_BACKEND))
        for backend, (state, _) in self.listed.items():
            found += [("list", backend, to) for to in LISTED_STATES[backend] if to != state]
        found += [("start", 0), ("start", 1)]
        found += [("report", 0), ("report", NO_FAILURES), ("report", ALL_FAIL)]
        found += [("ask", FEW_CALLS), ("ask", MANY_CALLS)]
        for proxy in range(SETTINGS.proxy_count):
            found.append(("leave", proxy) if proxy in self.channel.proxies else ("join", proxy))
        found.append(("channel",))
        return found

    def take_step(self, step: Step) -> None:
        """Takes a step, and sends what the controller has ordered."""
        self.outcomes, self.frozen = [], b""
        self.now_ns += BATCH_NS
        kind, *arguments = step
        getattr(self, "do_" + kind)(*arguments)
        self._send_updates()

    def do_tick(self, ticks: int = 1) -> None:
        """Time goes by, and the timer ends."""
        self.now_ns += TICK_NS * ticks
        self._deliver_acks()
        self.controller.tick(self.now_ns)

    def do_stall(self) -> None:
        """The controller does not run for several ticks."""
        self.do_tick(STALL_TICKS)

    def do_miss(self, backend: int) -> None:
        """A backend is gone, and the change does not come: the next whole list lacks it."""
        self.listed[backend] = ListedBackend(GONE, self.listed[backend].since_ns)

    def do_whole(self) -> None:
        """The whole list comes."""
        self.has_list = True
        for backend, (state, _) in self.listed.items():
            if state == GONE:
                self.removed_since_ns.setdefault(backend, self.now_ns)
        present = [backend for backend, (state, _) in self.listed.items() if state != GONE]
        self.controller.on_endpoints(self.now_ns, "whole", self._entries(present))

    def do_list(self, backend: int, state: str) -> None:
        """The list changes a backend's state."""
        self._list_change(backend, state, self.listed[backend].since_ns)

    def do_start(self, backend: int) -> None:
        """A backend has just been started, under its name: cold."""
        self._list_change(backend, READY, self.now_ns)

    def do_report(self, failing: int) -> None:
        """A period in which every proxy tried the backends that it holds.

        :param failing: the backend at which all attempts fail, `NO_FAILURES` or `ALL_FAIL`.
        """
        load = {"queue": 9.0} if failing == ALL_FAIL else {}
        for number, proxy in self.channel.proxies.items():
            for name in proxy.tables[0]:
                backend = backend_index(name)
                failures = ATTEMPTS if failing in (backend, ALL_FAIL) else 0
                report = AttemptReport(ATTEMPTS, failures, NS_PER_S // 10, NS_PER_S, dict(load))
                self.controller.on_backend_report(self.now_ns, number, backend, report)

    def do_ask(self, calls: int) -> None:
        """Calls of each route come to each proxy."""
        for proxy in self.channel.proxies:
            for route in range(len(ROUTE_NAMES)):
                self.controller.on_demand_report(self.now_ns, proxy, route, calls, NS_PER_S)

    def do_join(self, proxy: int) -> None:
        """A proxy joins, in the zone of its number."""
        self.channel.proxies[proxy] = ProxyState()
        self.updates.add_proxy(proxy)
        self.controller.on_proxy_joined(self.now_ns, proxy, proxy, USUAL_RATE)

    def do_leave(self, proxy: int) -> None:
        """A proxy leaves."""
        del self.channel.proxies[proxy]
        self.updates.remove_proxy(proxy)
        self.controller.on_proxy_left(self.now_ns, proxy)

    def do_channel(self) -> None:
        """The channel stalls, or goes on."""
        self.channel.is_stalled = not self.channel.is_stalled

    def _list_change(self, backend: int, state: str, since_ns: int) -> None:
        self.listed[backend] = ListedBackend(state, since_ns)
        if state == READY:
            self.removed_since_ns.pop(backend, None)
        else:
            self.removed_since_ns.setdefault(backend, self.now_ns)
        self.controller.on_endpoints(self.now_ns, "changes", self._entries([backend]))

    def _deliver_acks(self) -> None:
        if self.channel.is_stalled:
            return
        for nonce in self.channel.pending_nonces:
            self.controller.on_ack(self.now_ns, nonce)
        self.channel.pending_nonces.clear()

    def _send_updates(self) -> None:
        self.channel.send(self.now_ns, self.updates)
        self.channel.observe(self.now_ns, self.has_list and self._has_warm_backend())

    def _has_warm_backend(self) -> bool:
        return any(
            state == READY and self.now_ns - since_ns >= SETTINGS.slow_start_ns
            for state, since_ns in self.listed.values()
        )

    # -- states

    def freeze(self) -> bytes:
        """What `thaw` makes the same world of, without the settings and the last step's outcomes."""
        if self.frozen:
            return self.frozen
        outcomes, self.outcomes = self.outcomes, []
        self.controller.settings = None  # type: ignore[assignment]
        try:
            self.frozen = pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
            return self.frozen
        finally:
            self.controller.settings, self.outcomes = SETTINGS, outcomes

    def key(self) -> bytes:
        """What tells this state from others."""
        return self.freeze()


def thaw(state: bytes) -> World:
    """The world that was frozen."""
    world: World = pickle.loads(state)
    world.controller.settings = SETTINGS
    return world
