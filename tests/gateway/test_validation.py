"""`config.validation`: its results equal those of a validation by the schema alone."""

from __future__ import annotations

import copy
import json
import random
from typing import Any

import pytest
from marshmallow import ValidationError

from meadowworks.config import incremental_json, validation
from meadowworks.config.route_table import load_route_table
from meadowworks.config.schema import ConfigurationSchema
from meadowworks.config.validation import (
    InvalidConfiguration,
    ValidConfiguration,
    route_error,
    validate_configuration,
)
from meadowworks.local.system import build_configuration
from meadowworks.runtime.schema_support import first_error
from tests.gateway.configurations import CONFIG
from tests.gateway.mutations import mutants


def reference_result(body: bytes) -> ValidConfiguration | InvalidConfiguration:
    """Validate with the schema alone, then check the consistency between elements."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return InvalidConfiguration("it cannot be read whole")
    try:
        loaded = ConfigurationSchema().load(document)
    except ValidationError as error:
        return InvalidConfiguration(first_error(error.messages))
    services = [service["name"] for service in loaded["services"]]
    if len(set(services)) < len(services):
        return InvalidConfiguration("a service stands there twice")
    prefixes: set[tuple[str, str]] = set()
    names: set[str] = set()
    for host in loaded["hosts"]:
        for route in host["prefixes"]:
            if inconsistency := route_error(route, set(services)):
                return InvalidConfiguration(f"route {route.name}: {inconsistency}")
            host_and_prefix = (host["host"].lower(), route.prefix)
            if host_and_prefix in prefixes or route.name in names:
                return InvalidConfiguration(f"route {route.name}: its name or its place is another's too")
            prefixes.add(host_and_prefix)
            names.add(route.name)
    return ValidConfiguration(int(loaded["version"], 16))


REPLACEMENT_VALUES: tuple[Any, ...] = (
    *(0, 0.0, -0.0, 1e999, -1, 1e-9, 60_900, 60_899.9, 10**400, 1e15, 2**70, float("nan")),
    *("2", "x", "", " ", "/", "/a/", "a", "s", "t", "safe", "ONE.example", "0000000C", "0000000c\n"),
    *(None, True, False, [], {}, [[]], [None]),
    *([{"svc": "s", "weight": w}] for w in (0, "1", True, -1, 1e999)),
)


def replacement_value(rng: random.Random, value: Any) -> Any:
    """Return a replacement for a value: a number at a bound, another type or the value of another element."""
    return rng.choice([*REPLACEMENT_VALUES, value, [value], [value, value], {"a": value}])


def locations(document: Any) -> list[tuple[Any, Any]]:
    """Return each list and object of a document with each of its indices or keys."""
    items = list(document.items()) if isinstance(document, dict) else list(enumerate(document))
    inner = [
        location for _, value in items if isinstance(value, dict | list) for location in locations(value)
    ]
    return [(document, key) for key, _ in items] + inner


def random_mutant(rng: random.Random) -> Any:
    """Return a configuration with one to three mutations; with several, the order of reporting matters."""
    mutant = copy.deepcopy(CONFIG)
    for _ in range(rng.choice([1, 1, 1, 2, 3])):
        container, key = rng.choice(locations(mutant))
        if rng.random() < 0.2:
            del container[key]
        else:
            container[key] = replacement_value(rng, container[key])
        if not mutant:
            break
    return mutant


@pytest.mark.parametrize("window", [4, 90, 8192])
def test_the_result_for_a_mutated_configuration_equals_that_of_the_schema(
    window: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(incremental_json, "WINDOW_CHARS", window)
    rng = random.Random(window)
    samples = [mutant for _, mutant in mutants(CONFIG)] + [random_mutant(rng) for _ in range(700)]
    valid = 0
    reasons = set()
    for mutant in samples:
        body = json.dumps(mutant, indent=rng.choice([None, 1])).encode()
        result = validate_configuration(body)
        assert result == reference_result(body), body
        if isinstance(result, ValidConfiguration):
            valid += 1
            routes = sum(map(len, load_route_table(body).routes_by_host.values()))
            assert routes == sum(len(host["prefixes"]) for host in mutant["vhosts"])
        else:
            reasons.add(result.reason)
    assert valid > 60
    assert len(reasons) > 90


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        (("ver",), "c", "ver: is not eight hexadecimal digits"),
        (("limits",), None, "limits: Field may not be null."),
        (("svcs", 1, "name"), "s", "a service stands there twice"),
        (("svcs", 1, "maxConns"), -1, "svcs.1.maxConns: Must be greater than or equal to 0."),
        (("vhosts",), {}, "vhosts: Not a valid list."),
        (("vhosts", 1), None, "vhosts.1: Field may not be null."),
        (("vhosts", 1, "host"), "", "vhosts.1.host: Shorter than minimum length 1."),
        (("vhosts", 1, "prefixes", 0), 7, "vhosts.1.prefixes.0._schema: Invalid input type."),
        (
            ("vhosts", 0, "prefixes", 1, "prefix"),
            "a",
            "vhosts.0.prefixes.1.prefix: does not begin with a slash",
        ),
        (
            ("vhosts", 0, "prefixes", 1, "name"),
            "a",
            "route a: its name or its place is another's too",
        ),
        (("vhosts", 0, "prefixes", 1, "svc"), "u", "route b: service u is unknown"),
        (
            ("vhosts", 0, "prefixes", 1, "targetMs"),
            60_900,
            "route b: its targetMs lies a minute or more over its deadlineMs",
        ),
        (("vhosts", 0, "prefixes", 0, "split", 0, "svc"), "u", "route a: service u is unknown"),
        (("vhosts", 0, "prefixes", 0, "svc"), "s", "route a: it wants a service or a split"),
        (
            ("vhosts", 0, "prefixes", 1, "deadlineMs"),
            0,
            "vhosts.0.prefixes.1.deadlineMs: Must be greater than 0.",
        ),
        (("vhosts", 0, "prefixes", 1, "deadlineMs"), "900", None),
    ],
)
def test_the_reason_for_rejecting_a_configuration(
    path: tuple[Any, ...], value: Any, reason: str | None
) -> None:
    mutant = container = copy.deepcopy(CONFIG)
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    result = validate_configuration(json.dumps(mutant).encode())
    if reason is None:
        assert result == ValidConfiguration(12)
    else:
        assert isinstance(result, InvalidConfiguration)
        assert result.reason.startswith(reason)


def test_errors_are_reported_in_the_order_of_the_schema_fields() -> None:
    assert validation.FIELD_KEYS == ["ver", "svcs", "limits", "vhosts"]


def test_unknown_fields_of_routes_are_accepted_and_reported() -> None:
    document = json.loads(build_configuration(7, {"/a/": ("safe", "s"), "/b/": ("unsafe", "s")}))
    routes = [route for host in document["vhosts"] for route in host["prefixes"]]
    routes[0]["dedlineMs"] = 5
    routes[1] |= {"sessions": "cookie", "prio": "1"}  # not in canonical form
    result = validate_configuration(json.dumps(document).encode())
    assert isinstance(result, ValidConfiguration)
    assert result.unknown_fields == ("dedlineMs", "sessions")
    without_unknown_fields = validate_configuration(build_configuration(7, {"/a/": ("safe", "s")}))
    assert isinstance(without_unknown_fields, ValidConfiguration)
    assert without_unknown_fields.unknown_fields == ()
