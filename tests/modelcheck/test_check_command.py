"""The command line of `meadowworks check`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from meadowworks.cli.main import main
from meadowworks.modelcheck.catalog import SEEDED_FAULTS
from meadowworks.modelcheck.counterexample_file import read_counterexample
from meadowworks.modelcheck.seeded_fault import injected_fault


def run(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str, str]:
    status = main(words)
    out, err = capsys.readouterr()
    return status, out, err


def test_the_command_prints_one_object_and_a_path_file_plays_again(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    fault = SEEDED_FAULTS[0]
    with injected_fault(fault):
        status, out, _ = run(
            capsys, "check", "attempt", "--no-faults", "--json", "--most", "400", "--keep", str(tmp_path)
        )
    printed = json.loads(out)
    (model,) = printed["models"]
    broken = [p for p in model["properties"] if not p["holds"]]
    assert status == 1
    assert not model["complete"]
    assert model["left_out"]
    assert broken
    assert not printed["faults"]
    assert {"name", "states", "transitions", "depth", "complete", "seconds", "properties"} <= set(model)
    file = sorted(tmp_path.iterdir())[0]
    stored = read_counterexample(file)
    assert run(capsys, "check", "--play", str(file))[0] == 0  # without the fault it holds
    file.write_text(json.dumps({**json.loads(file.read_text()), "fault": fault.name}))
    status, out, _ = run(capsys, "check", "--play", str(file))
    assert status == 1
    assert out.strip().endswith(f"{stored.violates}: BROKEN")


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["chek"], "there is no command 'chek'"),
        (["check", "atempt"], "there is no model 'atempt'"),
        (["lab", "speed"], "there is no measurement 'speed'"),
        (["check", "--most", "0"], "--most is a whole number above 0"),
        (["check", "--depth", "x"], "--depth is"),
        (["check", "--workers", "-1"], "--workers"),
        (["check", "--workers", "x"], "workers"),
        (["check", "--play", "CUT"], "no whole JSON"),
        (["check", "--play", "nowhere"], "cannot be read"),
        (["check", "--play", "OTHER"], "step 1"),
        (["check", "--play", "NOSTART"], "no start 99"),
        (["check", "--play", "FORM"], "no path of form 1"),
        (["check", "--frob"], "frob"),
        (["check", "--play", "ODD"], "steps makes no sense"),
    ],
)
def test_bad_input_is_one_plain_line_and_status_2(
    capsys: pytest.CaptureFixture[str], tmp_path: Path, words: list[str], said: str
) -> None:
    whole = {
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
        "CUT": json.dumps(whole)[:40],
        "OTHER": json.dumps(whole),
        "FORM": "[]",
        "NOSTART": json.dumps({**whole, "start": 99}),
        "ODD": json.dumps({**whole, "steps": [7]}),
    }.items():
        (tmp_path / name).write_text(text)
    status, out, err = run(capsys, *[str(tmp_path / w) if w.isupper() else w for w in words])
    assert (status, out) == (2, "")
    assert err.count("\n") == 1
    assert said in err


def test_help_and_no_word_are_no_errors(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(capsys)[0] == 0
    assert run(capsys, "--help")[0] == 0
    status, out, _ = run(capsys, "check", "--help")
    assert status == 0
    assert "--large" in out
