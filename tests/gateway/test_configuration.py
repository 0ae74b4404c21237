"""Configurations: what the operators' page calls invalid is rejected, and what is valid loads."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from meadowworks.config.route_table import load_route_table
from meadowworks.config.validation import InvalidConfiguration, ValidConfiguration, validate_configuration
from meadowworks.local.system import build_configuration
from tests.gateway.mutations import mutants

CONFIG = json.loads(build_configuration(7, {"/a/": ("safe", "s"), "/a/b/": ("unsafe", "t")}))


def test_a_mutated_configuration_is_rejected_or_loads() -> None:
    refused = 0
    for where, mutant in mutants(CONFIG):
        body = json.dumps(mutant).encode()
        found = validate_configuration(body)
        refused += isinstance(found, InvalidConfiguration)
        if isinstance(found, ValidConfiguration):
            load_route_table(body)
        if where in (("ver",), ("svcs",), ("limits",), ("vhosts",)):
            assert isinstance(found, InvalidConfiguration)
    assert refused > 60


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("deadlineMs", 0),
        ("targetMs", 62_001),
        ("prefix", "a/"),
        ("svc", "nobody"),
        ("type", "odd"),
        ("name", "r1"),
        ("prefix", "/a/b/"),
        ("split", [{"svc": "s", "weight": 0}]),
    ],
)
def test_what_the_operators_page_calls_invalid_is_rejected(field: str, value: Any) -> None:
    wrong = copy.deepcopy(CONFIG)
    if field == "split":
        del wrong["vhosts"][0]["prefixes"][0]["svc"]
    wrong["vhosts"][0]["prefixes"][0][field] = value
    assert isinstance(validate_configuration(json.dumps(wrong).encode()), InvalidConfiguration)
    assert validate_configuration(json.dumps(CONFIG).encode()) == ValidConfiguration(7)
    assert isinstance(
        validate_configuration(json.dumps(CONFIG).encode()[:-9]), InvalidConfiguration
    )  # cut short


def test_the_longest_prefix_of_the_host_is_the_route() -> None:
    table = load_route_table(json.dumps(CONFIG).encode())
    for path, name in (
        ("/a/x", "r0"),
        ("/a/b/x", "r1"),
        ("/a/b", "r0"),
        ("/a/bb/", "r0"),
        ("/b/", None),
        ("/a", None),
    ):
        route = table.find_route("LOCAL.example:80", path)
        assert (route.name if route else None) == name
    assert table.find_route("other.example", "/a/x") is None
