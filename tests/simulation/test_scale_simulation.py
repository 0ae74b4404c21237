"""`lab scale`: what is counted does not depend on the machine, and is what the programs would say."""

from __future__ import annotations

import zlib
from typing import Any

import pytest

from tests.simulation.conftest import RunSmall


def counts(result: dict[str, Any]) -> list[float]:
    return [
        role[name]
        for role in result["roles"].values()
        for name in ("in_messages_s", "out_messages_s", "in_bytes_s", "out_bytes_s")
    ]


def test_counts_are_the_same_in_each_run(run_small: RunSmall) -> None:
    assert counts(run_small()) == counts(run_small())


def test_a_proxy_pulls_once_a_second_however_many_there_are(run_small: RunSmall) -> None:
    few, many = (run_small(controllers=n, changes=0.0)["roles"] for n in (13, 43))
    for roles in (few, many):
        assert 0.9 <= roles["junction"]["out_messages_s"] <= 1.1
    # Load reports are sums by zone: a row for each backend, whatever the number of proxies.
    assert many["junction"]["in_bytes_s"] < 1.2 * few["junction"]["in_bytes_s"]
    # Thirty proxies more at three control planes are ten replies more a second at each.
    more = many["signalbox"]["out_messages_s"] - few["signalbox"]["out_messages_s"]
    assert 9 <= more <= 11


def test_heartbeats_cost_a_control_plane_a_message_each_and_others_nothing(run_small: RunSmall) -> None:
    few, many = (run_small(backends=n, changes=0.0, requests=0.0)["roles"] for n in (24, 84))
    more = many["signalbox"]["in_messages_s"] - few["signalbox"]["in_messages_s"]
    assert more == pytest.approx(60 / 1.5 / 3, abs=0.5)
    assert many["junction"]["in_bytes_s"] == pytest.approx(few["junction"]["in_bytes_s"], rel=0.02)


def test_a_change_comes_into_force_everywhere_and_costs_each_its_whole_text(run_small: RunSmall) -> None:
    calm, changed = run_small(changes=0.0, routes=300), run_small(routes=300)
    assert len(changed["changes"]) == 2
    for change in changed["changes"]:
        # Two rounds of consensus with a sync each; then a pull that waits is answered at once.
        assert 0.01 <= change["ack_s"] <= 0.02
        assert 0 < change["at_50_s"] <= change["at_99_s"] <= change["at_all_s"] <= 0.2
    more = changed["roles"]["junction"]["in_bytes_s"] - calm["roles"]["junction"]["in_bytes_s"]
    whole = changed["configuration"]["compressed"] * 2 / 6
    assert whole * 0.95 <= more <= whole * 1.1


def test_a_change_is_compressed_once_however_many_pull(
    monkeypatch: pytest.MonkeyPatch, run_small: RunSmall
) -> None:
    sizes: list[int] = []
    compress = zlib.compress

    def counted(data: bytes, level: int = -1) -> bytes:
        sizes.append(len(data))
        return compress(data, level)

    monkeypatch.setattr(zlib, "compress", counted)
    times = []
    for controllers in (13, 43):
        sizes.clear()
        (change,) = run_small(controllers=controllers, routes=300, changes=600.0)["changes"]
        assert change["at_all_s"]
        times.append(sum(size > 10000 for size in sizes))
    # Each of three control planes once for all its proxies, a message to each of two others, one to tell
    # its size.
    assert times[0] == times[1] <= 3 + 2 + 1


def test_instances_that_follow_each_other_fast_are_told_to_all(run_small: RunSmall) -> None:
    """Many leave in the two seconds that one takes to: none leaves twice."""
    calm, busy = run_small(changes=0.0), run_small(changes=0.0, churn=36000.0)
    assert busy["drain_ack_s"]["many"] > 20
    assert busy["drain_ack_s"]["most"] <= 0.2
    assert counts(busy)[2] > counts(calm)[2]
    assert counts(busy)[0] > 2 * counts(calm)[0]


@pytest.mark.parametrize(
    ("loss", "least_s", "most_s"),
    [
        ("backend", 4.5, 8.0),  # four heartbeats missed, a turn of a second, a pull held back for a batch
        ("junction", 0.0, 0.5),
        ("box", 0.2, 2.1),  # the time-out of a pull, then another is asked
        ("start", 0.0, 0.5),
    ],
)
def test_a_loss_is_known_in_time(run_small: RunSmall, loss: str, least_s: float, most_s: float) -> None:
    found = run_small(loss=loss, changes=0.0, seconds=10.0)["loss"]
    assert found["known_s"]["many"]
    assert least_s <= found["known_s"]["most"] <= most_s
