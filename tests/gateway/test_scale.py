"""`lab scale`: what is counted does not depend on the machine, and is what the programs' shells would say."""

from __future__ import annotations

import json
import zlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from meadowworks.cli.main import main
from meadowworks.simulation import report
from meadowworks.simulation.scale import ScaleSettings, measure

SMALL = ScaleSettings(
    controllers=13,
    zones=2,
    backends=24,
    services=3,
    routes=20,
    requests=40.0,
    seconds=6.0,
    whole=1,
    cpu=False,
    memory=False,
    changes=1200.0,
)


def counts(found: dict[str, Any]) -> list[float]:
    return [
        role[name]
        for role in found["roles"].values()
        for name in ("in_messages_s", "out_messages_s", "in_bytes_s", "out_bytes_s")
    ]


def played(**changed: Any) -> dict[str, Any]:
    found = measure(replace(SMALL, **changed))
    assert found["complete"]
    return found


def test_counts_are_the_same_in_each_run() -> None:
    assert counts(played()) == counts(played())


def test_a_junction_asks_once_a_second_however_many_there_are() -> None:
    few, many = (played(controllers=n, changes=0.0)["roles"] for n in (13, 43))
    for roles in (few, many):
        assert 0.9 <= roles["junction"]["out_messages_s"] <= 1.1
    # Figures are sums by zone: a line to each backend, whatever the number of junctions.
    assert many["junction"]["in_bytes_s"] < 1.2 * few["junction"]["in_bytes_s"]
    # Thirty junctions more at three signalboxes are ten answers more a second at each.
    more = many["signalbox"]["out_messages_s"] - few["signalbox"]["out_messages_s"]
    assert 9 <= more <= 11


def test_beats_cost_a_signalbox_a_message_each_and_others_nothing() -> None:
    few, many = (played(backends=n, changes=0.0, requests=0.0)["roles"] for n in (24, 84))
    more = many["signalbox"]["in_messages_s"] - few["signalbox"]["in_messages_s"]
    assert more == pytest.approx(60 / 1.5 / 3, abs=0.5)
    assert many["junction"]["in_bytes_s"] == pytest.approx(few["junction"]["in_bytes_s"], rel=0.02)


def test_a_change_comes_into_force_at_all_and_costs_each_its_whole_text() -> None:
    calm, changed = played(changes=0.0, routes=300), played(routes=300)
    assert len(changed["changes"]) == 2
    for one in changed["changes"]:
        # Two rounds of letters with a sync each; then a pull that waits is answered at once.
        assert 0.01 <= one["ack_s"] <= 0.02
        assert 0 < one["at_50_s"] <= one["at_99_s"] <= one["at_all_s"] <= 0.2
    more = changed["roles"]["junction"]["in_bytes_s"] - calm["roles"]["junction"]["in_bytes_s"]
    whole = changed["configuration"]["compressed"] * 2 / 6
    assert whole * 0.95 <= more <= whole * 1.1


def test_a_change_is_compressed_once_however_many_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    done: list[int] = []
    real = zlib.compress

    def counted(data: bytes, level: int = -1) -> bytes:
        done.append(len(data))
        return real(data, level)

    monkeypatch.setattr(zlib, "compress", counted)
    times = []
    for controllers in (13, 43):
        done.clear()
        (change,) = played(controllers=controllers, routes=300, changes=600.0)["changes"]
        assert change["at_all_s"]
        times.append(sum(size > 10000 for size in done))
    # Each of three boxes once for all its junctions, a letter to each of two others, one to tell its size.
    assert times[0] == times[1] <= 3 + 2 + 1


def test_lives_that_follow_each_other_fast_are_told_to_all() -> None:
    """Many leave in the two seconds that one takes to: none leaves twice."""
    calm, busy = played(changes=0.0), played(changes=0.0, churn=36000.0)
    assert busy["drain_ack_s"]["many"] > 20 and busy["drain_ack_s"]["most"] <= 0.2
    assert counts(busy)[2] > counts(calm)[2] and counts(busy)[0] > 2 * counts(calm)[0]


def test_a_bound_on_memory_is_a_number(capsys: pytest.CaptureFixture[str]) -> None:
    words = "--seconds 1 --controllers 4 --boxes 3 --axis boxes --points 3 --routes 10 --no-cpu --most-mb nan"
    assert main(["lab", "scale", *words.split()]) == 2
    assert "most-mb" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("loss", "least_s", "most_s"),
    [
        ("backend", 4.5, 8.0),  # four beats missed, a turn of a second, a pull held back for a batch
        ("junction", 0.0, 0.5),
        ("box", 0.2, 2.1),  # the patience of a pull, then another is asked
        ("start", 0.0, 0.5),
    ],
)
def test_a_loss_is_known_in_time(loss: str, least_s: float, most_s: float) -> None:
    found = played(loss=loss, changes=0.0, seconds=10.0)["loss"]
    assert found["known_s"]["many"] and least_s <= found["known_s"]["most"] <= most_s


def test_results_are_kept_and_made_into_a_page(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    kept, page = tmp_path / "kept.jsonl", tmp_path / "page.html"
    words = "--backends 12 --services 2 --routes 10 --seconds 2 --whole 1 --no-cpu --axis controllers"
    words += f" --points 7,13 --processes 2 --json --keep {kept}"
    status = main(["lab", "scale", *words.split()])
    points = json.loads(capsys.readouterr().out)["points"]
    assert status == 0 and len(points) == len(kept.read_text().splitlines()) == 2
    assert all(point["complete"] and point["memory"]["junction"]["held_mb"] > 0 for point in points)
    assert main(["lab", "report", str(kept), "--page", str(page)]) == 0
    assert "### controllers" in capsys.readouterr().out
    assert page.read_text().count("<svg") >= 8


def test_a_size_at_which_no_change_came_into_force_leaves_its_place_empty() -> None:
    few, many = played(controllers=7, memory=True), played(controllers=13, memory=True)
    for change in many["changes"]:
        change["at_all_s"] = None
    text, _ = report.build_report([few, many, few])
    (row,) = [line for line in text.splitlines() if "in force everywhere" in line] or [""]
    assert not row  # a line wants two sizes
    assert "| a junction's bytes in" in text


def test_a_fit_finds_a_line_and_says_how_far_off_it_is() -> None:
    found = report.fit_line([(x, 3.0 + 0.5 * x) for x in (10.0, 30.0, 100.0, 300.0)])
    assert found and found.base == pytest.approx(3.0) and found.slope == pytest.approx(0.5)
    assert found.max_deviation < 1e-9 and found.at(3300) == pytest.approx(1653.0)
    bent = report.fit_line([(x, x**2) for x in (10.0, 30.0, 100.0, 300.0)])
    assert bent and bent.max_deviation > 0.3 and bent.exponent == pytest.approx(2.0)


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["--controllers", "3"], "more --controllers"),
        (["--controllers", "x"], "controllers"),
        (["--seconds", "nan"], "above 0"),
        (["--changes", "inf"], "0 or more"),
        (["--loss", "luck"], "no loss 'luck'"),
        (["--axis", "luck"], "no axis 'luck'"),
        (["--axis", "zones", "--points", "1;2"], "--points"),
        (["--processes", "99"], "--processes"),
    ],
)
def test_bad_sizes_are_one_plain_line(
    capsys: pytest.CaptureFixture[str], words: list[str], said: str
) -> None:
    assert main(["lab", "scale", *words]) == 2
    told = capsys.readouterr().err.strip()
    assert said in told and "\n" not in told
