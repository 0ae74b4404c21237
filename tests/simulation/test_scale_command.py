"""The commands `lab scale` and `lab report`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from meadowworks.cli.main import main


def test_memory_limit_must_be_a_number(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = (
        "--seconds 1 --controllers 4 --boxes 3 --axis boxes --points 3 --routes 10 --no-cpu --most-mb nan"
    )
    assert main(["lab", "scale", *arguments.split()]) == 2
    assert "most-mb" in capsys.readouterr().err


def test_results_are_kept_and_reported_on_a_page(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    kept, page = tmp_path / "kept.jsonl", tmp_path / "page.html"
    arguments = "--backends 12 --services 2 --routes 10 --seconds 2 --whole 1 --no-cpu --axis controllers"
    arguments += f" --points 7,13 --processes 2 --json --keep {kept}"
    status = main(["lab", "scale", *arguments.split()])
    points = json.loads(capsys.readouterr().out)["points"]
    assert status == 0
    assert len(points) == len(kept.read_text().splitlines()) == 2
    assert all(point["complete"] for point in points)
    assert all(point["memory"]["junction"]["held_mb"] > 0 for point in points)
    assert main(["lab", "report", str(kept), "--page", str(page)]) == 0
    assert "### controllers" in capsys.readouterr().out
    assert page.read_text().count("<svg") >= 8


@pytest.mark.parametrize(
    ("arguments", "message"),
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
def test_invalid_settings_give_one_line(
    capsys: pytest.CaptureFixture[str], arguments: list[str], message: str
) -> None:
    assert main(["lab", "scale", *arguments]) == 2
    error = capsys.readouterr().err.strip()
    assert message in error
    assert "\n" not in error
