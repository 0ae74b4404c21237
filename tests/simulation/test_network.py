"""The simulated network: delay, one-way cuts, loss and duplication of messages."""

from __future__ import annotations

import random

import pytest

from meadowworks.simulation.control.network import SimulatedNetwork
from meadowworks.simulation.event_scheduler import MS, SECOND, EventScheduler

MESSAGES = 40


def send_all(network: SimulatedNetwork, arrivals: list[int]) -> None:
    for number in range(MESSAGES):
        network.send("a", "b", lambda number=number: arrivals.append(number))  # type: ignore[misc]


def build(seed: int = 1) -> tuple[EventScheduler, SimulatedNetwork, list[int]]:
    scheduler = EventScheduler()
    return scheduler, SimulatedNetwork(scheduler, random.Random(seed)), []


def test_each_message_arrives_once_and_updates_last_contact() -> None:
    scheduler, network, arrivals = build()
    scheduler.run_until(SECOND)
    send_all(network, arrivals)
    scheduler.run_until(SECOND + 3 * MS)
    assert sorted(arrivals) == list(range(MESSAGES))
    assert network.last_contact == {("a", "b"): SECOND}


def test_cut_is_one_way_and_held_messages_arrive_after_heal() -> None:
    scheduler, network, arrivals = build()
    answers: list[int] = []
    network.cut("a", "b")
    send_all(network, arrivals)
    network.send("b", "a", lambda: answers.append(0))
    scheduler.run_until(SECOND)
    assert not arrivals
    assert answers
    network.heal()
    scheduler.run_until(2 * SECOND)
    assert 0 < len(arrivals) < MESSAGES  # the cut dropped some
    assert network.last_contact["a", "b"] == 0  # the time of sending, not of delivery


@pytest.mark.parametrize(("rate", "minimum", "maximum"), [("loss_rate", 1, 39), ("duplicate_rate", 41, 79)])
def test_messages_are_lost_and_duplicated(rate: str, minimum: int, maximum: int) -> None:
    scheduler, network, arrivals = build()
    setattr(network, rate, 0.5)
    send_all(network, arrivals)
    scheduler.run_until(SECOND)
    assert minimum <= len(arrivals) <= maximum
