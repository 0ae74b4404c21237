"""`lab scale`: counts don't depend on the machine and match the messages that the programs would send."""

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


def test_counts_are_reproducible(run_small: RunSmall) -> None:
    assert counts(run_small()) == counts(run_small())


def test_proxy_pulls_once_a_second_for_any_number_of_proxies(run_small: RunSmall) -> None:
    few, many = (run_small(controllers=n, changes=0.0)["roles"] for n in (13, 43))
    for roles in (few, many):
        assert 0.9 <= roles["junction"]["out_messages_s"] <= 1.1
    # Load reports are sums by zone, whose size depends on the backends and not on the proxies.
    assert many["junction"]["in_bytes_s"] < 1.2 * few["junction"]["in_bytes_s"]
    # 30 more proxies at three control planes are ten more replies per second at each.
    more = many["signalbox"]["out_messages_s"] - few["signalbox"]["out_messages_s"]
    assert 9 <= more <= 11


def test_heartbeat_is_one_message_to_a_control_plane_and_none_to_proxies(run_small: RunSmall) -> None:
    few, many = (run_small(backends=n, changes=0.0, requests=0.0)["roles"] for n in (24, 84))
    more = many["signalbox"]["in_messages_s"] - few["signalbox"]["in_messages_s"]
    assert more == pytest.approx(60 / 1.5 / 3, abs=0.5)
    assert many["junction"]["in_bytes_s"] == pytest.approx(few["junction"]["in_bytes_s"], rel=0.02)


def test_change_is_applied_everywhere_and_sent_whole_to_each_proxy(run_small: RunSmall) -> None:
    calm, changed = run_small(changes=0.0, routes=300), run_small(routes=300)
    assert len(changed["changes"]) == 2
    for change in changed["changes"]:
        # Two rounds of consensus with a disk sync each, after which pending pulls are answered at once.
        assert 0.01 <= change["ack_s"] <= 0.02
        assert 0 < change["at_50_s"] <= change["at_99_s"] <= change["at_all_s"] <= 0.2
    more = changed["roles"]["junction"]["in_bytes_s"] - calm["roles"]["junction"]["in_bytes_s"]
    whole = changed["configuration"]["compressed"] * 2 / 6
    assert whole * 0.95 <= more <= whole * 1.1


def test_change_is_compressed_once_for_any_number_of_pulls(
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
    # Once at each of the three control planes for its proxies, once for each of two replicas, and once to
    # measure its size for the result.
    assert times[0] == times[1] <= 3 + 2 + 1


def test_fast_replacements_reach_all_programs(run_small: RunSmall) -> None:
    """Many backends leave within the drain period of one, and none leaves twice."""
    calm, busy = run_small(changes=0.0), run_small(changes=0.0, churn=36000.0)
    assert busy["drain_ack_s"]["many"] > 20
    assert busy["drain_ack_s"]["most"] <= 0.2
    assert counts(busy)[2] > counts(calm)[2]
    assert counts(busy)[0] > 2 * counts(calm)[0]


@pytest.mark.parametrize(
    ("loss", "min_s", "max_s"),
    [
        ("backend", 4.5, 8.0),  # four missed heartbeats, the periodic check, a pull delayed for a batch
        ("junction", 0.0, 0.5),
        ("box", 0.2, 2.1),  # the time-out of a pull, then a pull of another control plane
        ("start", 0.0, 0.5),
    ],
)
def test_loss_is_detected_in_time(run_small: RunSmall, loss: str, min_s: float, max_s: float) -> None:
    result = run_small(loss=loss, changes=0.0, seconds=10.0)["loss"]
    assert result["known_s"]["many"]
    assert min_s <= result["known_s"]["most"] <= max_s
