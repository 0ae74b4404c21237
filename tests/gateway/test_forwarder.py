"""Forwarder of a proxy: admission by priority, withdrawn requests and disconnected clients."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.attempts.retry_policy import NEVER_RAN
from meadowworks.config.route_table import Route
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import EndpointChoices
from meadowworks.forwarding.memory_budget import MemoryBudget, MemoryReservation
from meadowworks.forwarding.request_attempts import RejectRequest
from meadowworks.load_balancing.service_balancer import ServiceBalancer
from meadowworks.proxy import forwarder as forwarder_module
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.forwarder import ClientContext, Forwarder
from meadowworks.proxy.upstream_attempt import AttemptResult, UpstreamRequest
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import now_ns
from tests.gateway.helpers import SECOND, make_backend

REQUEST = UpstreamRequest(b"GET", b"/a", [], b"", b"q")


def make_route(priority: int) -> Route:
    return Route("r", False, 1000.0, 300.0, priority, 1, (), "/")


class ForwarderFixture:
    """A forwarder with stubs around it; its service has a balancer and no backend."""

    def __init__(self) -> None:
        self.withdrawn: list[str] = []
        self.balancer = ServiceBalancer("s", ["north"], "north", SECOND, 1, 0)
        self.choices = EndpointChoices({}, {})
        bounds = SimpleNamespace(retry_window_s=10.0, retry_ratio=0.2)
        settings = SimpleNamespace(current=SimpleNamespace(bounds=bounds, zone="north"))
        view = SimpleNamespace(balancers={"s": self.balancer}, backends=SimpleNamespace(instances={}))
        reporter = SimpleNamespace(
            record_request=lambda _: None,
            withdraw_request=self.withdrawn.append,
            record_attempt=lambda *_: None,
        )
        selector = SimpleNamespace(select=lambda *_: self.choices)
        parts: Any = (
            settings,
            view,
            ConnectionPool(),
            selector,
            reporter,
            ProxyCounters(),
            BackgroundTasks(),
        )
        self.forwarder = Forwarder(*parts)

    def forward(self, priority: int = 0, is_disconnected: bool = False) -> Any:
        connection = cast(Any, SimpleNamespace(disconnected=is_disconnected, on_disconnect=None))
        memory = MemoryReservation(MemoryBudget(100))
        client = ClientContext(now_ns() + SECOND, memory, connection)
        return asyncio.run(self.forwarder.forward(make_route(priority), "s", REQUEST, client))


def test_the_less_urgent_of_two_priorities_is_rejected_more_often() -> None:
    fixture = ForwarderFixture()
    fixture.balancer.admission_ratio = 0.5
    for _ in range(200):
        fixture.forward(0)
        fixture.forward(1)
    assert set(fixture.balancer.priority_admission.counts) == {0, 1}
    rejected = fixture.forwarder.counters.responses["let in no more"]
    ratios = fixture.balancer.priority_admission.ratios(0.5)
    assert ratios[0] > 0.8 > 0.2 > ratios[1]
    assert rejected == pytest.approx(200, abs=50)
    fixture.forwarder.random = cast(Any, SimpleNamespace(random=lambda: 0.5))
    fixture.forward(0)
    assert fixture.forwarder.counters.responses["let in no more"] == rejected  # it was admitted
    fixture.forward(1)
    assert fixture.forwarder.counters.responses["let in no more"] == rejected + 1


@pytest.mark.parametrize("is_disconnected", [True, False])
def test_a_rejected_request_is_withdrawn_only_if_its_client_disconnected(is_disconnected: bool) -> None:
    fixture = ForwarderFixture()
    assert isinstance(fixture.forward(is_disconnected=is_disconnected), RejectRequest)
    assert fixture.withdrawn == (["s"] if is_disconnected else [])


def test_an_attempt_can_check_whether_its_client_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    observed = []

    async def send_attempt(*arguments: Any) -> Any:
        observed.append(arguments[5]())
        return AttemptResult(NEVER_RAN, None, 0)

    monkeypatch.setattr(forwarder_module, "send_attempt", send_attempt)
    fixture = ForwarderFixture()
    for is_disconnected in (True, False):
        connection = cast(Any, SimpleNamespace(disconnected=is_disconnected))
        client = ClientContext(now_ns() + SECOND, MemoryReservation(MemoryBudget(100)), connection)
        asyncio.run(fixture.forwarder.run_attempt(make_backend("me", ("h", 1)), REQUEST, client))
    assert observed == [True, False]
