"""Tests that `meadowworks config diff` reports differences by name."""

from __future__ import annotations

import copy
import json

from meadowworks.cli.config import differences
from meadowworks.local.system import build_configuration

CONFIG = json.loads(build_configuration(7, {"/a/": ("safe", "s"), "/a/b/": ("unsafe", "t")}))


def test_difference_is_reported_by_name() -> None:
    changed = copy.deepcopy(CONFIG)
    changed["vhosts"][0]["prefixes"][1]["tries"] = 9
    assert differences(CONFIG, changed) == ["vhosts.local.example.prefixes.r1.tries: 2 -> 9"]
    del changed["vhosts"][0]["prefixes"][0]
    assert len(differences(CONFIG, changed)) == 2
    assert not differences(CONFIG, CONFIG)
