"""Tests of the command `meadowworks check`: output, exit codes and errors."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from meadowworks.cli.main import main
from meadowworks.modelcheck.catalog import SEEDED_FAULTS
from meadowworks.modelcheck.counterexample_file import read_counterexample
from meadowworks.modelcheck.seeded_fault import injected_fault


def run(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str, str]:
    status = main(arguments)
    out, err = capsys.readouterr()
    return status, out, err


def test_check_prints_one_json_object_and_its_counterexample_file_can_be_replayed(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    fault = SEEDED_FAULTS[0]
    with injected_fault(fault):
        status, out, _ = run(
            capsys, "check", "attempt", "--no-faults", "--json", "--most", "400", "--keep", str(tmp_path)
        )
    printed = json.loads(out)
    (model,) = printed["models"]
    violated = [p for p in model["properties"] if not p["holds"]]
    assert status == 1
    assert not model["complete"]
    assert model["left_out"]
    assert violated
    assert not printed["faults"]
    assert {"name", "states", "transitions", "depth", "complete", "seconds", "properties"} <= set(model)
    file = sorted(tmp_path.iterdir())[0]
    stored = read_counterexample(file)
    assert run(capsys, "check", "--play", str(file))[0] == 0  # without the fault, the property holds
    file.write_text(json.dumps({**json.loads(file.read_text()), "fault": fault.name}))
    status, out, _ = run(capsys, "check", "--play", str(file))
    assert status == 1
    assert out.strip().endswith(f"{stored.violates}: BROKEN")


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["chek"], "there is no command 'chek'"),
        (["check", "atempt"], "there is no model 'atempt'"),
        (["lab", "speed"], "there is no measurement 'speed'"),
        (["check", "--most", "0"], "--most is a whole number above 0"),
        (["check", "--depth", "x"], "--depth is"),
        (["check", "--workers", "-1"], "--workers"),
        (["check", "--workers", "x"], "workers"),
        (["check", "--play", "CUT"], "is not valid JSON"),
        (["check", "--play", "nowhere"], "cannot be read"),
        (["check", "--play", "OTHER"], "step 1, "),
        (["check", "--play", "NOSTART"], "no start 99"),
        (["check", "--play", "FORM"], "no path of form 1"),
        (["check", "--frob"], "frob"),
        (["check", "--play", "ODD"], "step 1 of steps must be a list that begins with a name, not 7"),
    ],
)
def test_bad_input_prints_one_line_and_exits_with_status_2(
    capsys: pytest.CaptureFixture[str], tmp_path: Path, arguments: list[str], message: str
) -> None:
    valid = {
        "form": 1,
        "model": "attempt",
        "large": False,
        "fault": "",
        "breaks": "in time",
        "start": 0,
        "steps": [["pass", 0]],
        "cycle": [],
    }
    for name, text in {
        "CUT": json.dumps(valid)[:40],
        "OTHER": json.dumps(valid),
        "FORM": "[]",
        "NOSTART": json.dumps({**valid, "start": 99}),
        "ODD": json.dumps({**valid, "steps": [7]}),
    }.items():
        (tmp_path / name).write_text(text)
    status, out, err = run(capsys, *[str(tmp_path / word) if word.isupper() else word for word in arguments])
    assert (status, out) == (2, "")
    assert err.count("\n") == 1
    assert message in err


def test_help_and_missing_command_exit_with_status_0(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(capsys)[0] == 0
    assert run(capsys, "--help")[0] == 0
    status, out, _ = run(capsys, "check", "--help")
    assert status == 0
    assert "--large" in out
