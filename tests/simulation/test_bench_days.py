"""The project's own days, and the command that plays them, with a fake bench."""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path

import pytest

from meadowworks.cli.main import main
from meadowworks.simulation.bench_days import DAYS_FOLDER

SCENARIO_PREFIXES = ("cut-", "race-", "loss-", "storm-", "answers-")
KINDS = """release replace_with_reuse scale_in answer_lost garble node_kill roll_term herd_kill replace_core
seed_turnover after_ack_kill after_ack_wipe core_cut node_cut config_change config_race bad_config big_config
burst srv_grey srv_lying_health srv_flap srv_crash srv_slow idle_race disk_stall hup clock_step config_storm
scale_out give_up retry_abuse reset_conns node_slow node_freeze disk_slow disk_full ack_lost""".split()
REPORTS = {
    "cut-both": {"breaks": {"CONFIG": 2, "TWICE": 1}, "served": 0.9},
    "cut-seeds": {"breaks": {}, "fault": "too slow", "served": 0.0},
    "cut-reset": {"breaks": {}, "fault": None, "short": ["acks"], "served": 0.9},
    "cut-one-way": {"breaks": {}, "fault": None, "short": [], "served": 0.95},
}
BENCH = f"""#!{sys.executable}
import json, pathlib, sys
name = pathlib.Path(sys.argv[3]).stem
report = {REPORTS!r}.get(name)
seed = sys.argv[sys.argv.index("--seed") + 1] if "--seed" in sys.argv else ""
if name == "answers-grey":
    print("fleetbench: srv_grey: contract health is not open")
elif report is None:
    print("fleetbench: the day can't be read")
else:
    pathlib.Path(sys.argv[sys.argv.index("--report") + 1]).write_text(json.dumps(report))
    print("snapshot 0a1b2c3d" + seed)
"""


def run_days(folder: Path, *arguments: str) -> int:
    site, bench = folder / "small.toml", folder / "bench"
    site.write_text("")
    bench.write_text(BENCH)
    bench.chmod(0o700)
    return main(["days", str(site), "--bench", str(bench), *arguments])


def test_days_cover_every_kind_and_three_of_each_group() -> None:
    days = [tomllib.loads(file.read_text()) for file in DAYS_FOLDER.glob("*.toml")]
    for prefix in SCENARIO_PREFIXES:
        assert sum(day["name"].startswith(prefix) for day in days) >= 3, prefix
    entries = [entry for day in days for entry in day["plan"] + day["faults"]]
    assert {entry["kind"] for entry in entries} == set(KINDS)
    assert not [entry for entry in entries if {"zone", "to_zone", "service", "class"} & set(entry)]
    closings = [day["closing"] for day in days]
    assert any(c["kind"] == "wipe_after_ack" and c.get("how") == "timed" for c in closings)
    assert len({day["seed"] for day in days}) == len(days)


@pytest.mark.parametrize(
    ("name", "status", "line"),
    [
        ("cut-one-way", 0, "passed, worth 0.950; snapshot 0a1b2c3d"),
        ("cut-both", 1, "BROKEN CONFIG 2, TWICE 1; snapshot 0a1b2c3d"),
        ("cut-seeds", 1, "FAULT too slow; snapshot 0a1b2c3d"),
        ("cut-reset", 1, "GATE failed: acks; snapshot 0a1b2c3d"),
        ("race-cut", 1, "not played: fleetbench: the day can't be read"),
    ],
)
def test_each_outcome_is_printed_on_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], name: str, status: int, line: str
) -> None:
    assert run_days(tmp_path, "--only", name) == status
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split(None, 2) == [name, "small", line]
    assert lines[1:] == [f"1 days on small, {status} that did not hold, 0 left out"]


def test_day_without_a_contract_is_reported_as_left_out(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_days(tmp_path, "--only", "answers-grey") == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split(None, 2)[2] == "left out, srv_grey needs contract health"
    assert lines[1] == "0 days on small, 0 that did not hold, 1 left out"


def test_each_seed_is_a_separate_run(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_days(tmp_path, "--only", "cut-one-way", "--seeds", "3", "--jobs", "1") == 0
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert [(line[1], line[-1]) for line in lines[:-1]] == [(f"{n}", f"0a1b2c3d{n}") for n in (1, 2, 3)]


def test_all_days_run_with_bounded_jobs(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_days(tmp_path, "--jobs", "4") == 1
    names = {line.split()[0] for line in capsys.readouterr().out.splitlines()[:-1]}
    assert names == {file.stem for file in DAYS_FOLDER.glob("*.toml")}


@pytest.mark.parametrize(
    "arguments", [["--only", "none"], ["--jobs", "0"], ["--jobs", "99"], ["--seeds", "-1"]]
)
def test_invalid_arguments_give_one_line_and_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], arguments: list[str]
) -> None:
    assert run_days(tmp_path, *arguments) == 2
    captured = capsys.readouterr()
    assert captured.out == ""
    assert captured.err.count("\n") == 1


def test_missing_bench_or_site_gives_status_2(tmp_path: Path) -> None:
    assert main(["days", str(tmp_path / "site.toml"), "--bench", sys.executable]) == 2
    (tmp_path / "site.toml").write_text(json.dumps({}))
    assert main(["days", str(tmp_path / "site.toml"), "--bench", str(tmp_path / "site.toml")]) == 2
