"""`config.validation`: its verdicts are those of the schema alone, whatever is read past it."""

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


def reference_verdict(body: bytes) -> ValidConfiguration | InvalidConfiguration:
    """The verdict in the plain way: the schema reads all, then what it can't see is looked for."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return InvalidConfiguration("it cannot be read whole")
    try:
        found = ConfigurationSchema().load(document)
    except ValidationError as error:
        return InvalidConfiguration(first_error(error.messages))
    services = [service["name"] for service in found["services"]]
    if len(set(services)) < len(services):
        return InvalidConfiguration("two services have the same name")
    places: set[tuple[str, str]] = set()
    names: set[str] = set()
    for host in found["hosts"]:
        for route in host["prefixes"]:
            if inconsistency := route_error(route, set(services)):
                return InvalidConfiguration(f"route {route.name}: {inconsistency}")
            place = (host["host"].lower(), route.prefix)
            if place in places or route.name in names:
                return InvalidConfiguration(
                    f"route {route.name}: another route has the same name, or the same host and prefix"
                )
            places.add(place)
            names.add(route.name)
    return ValidConfiguration(int(found["version"], 16))


ODD_VALUES: tuple[Any, ...] = (
    *(0, 0.0, -0.0, 1e999, -1, 1e-9, 60_900, 60_899.9, 10**400, 1e15, 2**70, float("nan")),
    *("2", "x", "", " ", "/", "/a/", "a", "s", "t", "safe", "ONE.example", "0000000C", "0000000c\n"),
    *(None, True, False, [], {}, [[]], [None]),
    *([{"svc": "s", "weight": w}] for w in (0, "1", True, -1, 1e999)),
)


def odd_value(chance: random.Random, value: Any) -> Any:
    """What may stand in a value's place: figures at the bounds, other types, what is another's."""
    return chance.choice([*ODD_VALUES, value, [value], [value, value], {"a": value}])


def places(document: Any) -> list[tuple[Any, Any]]:
    """Every list and table of a document, with each of its keys."""
    rows = list(document.items()) if isinstance(document, dict) else list(enumerate(document))
    inner = [place for _, value in rows if isinstance(value, dict | list) for place in places(value)]
    return [(document, key) for key, _ in rows] + inner


def random_mutant(chance: random.Random) -> Any:
    """A configuration with one to three changes: of more than one it matters which is reported."""
    mutant = copy.deepcopy(CONFIG)
    for _ in range(chance.choice([1, 1, 1, 2, 3])):
        holder, key = chance.choice(places(mutant))
        if chance.random() < 0.2:
            del holder[key]
        else:
            holder[key] = odd_value(chance, holder[key])
        if not mutant:
            break
    return mutant


@pytest.mark.parametrize("window", [4, 90, 8192])
def test_the_verdict_on_a_mutated_configuration_is_the_schemas_own(
    window: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(incremental_json, "WINDOW_CHARS", window)
    chance = random.Random(window)
    drawn = [mutant for _, mutant in mutants(CONFIG)] + [random_mutant(chance) for _ in range(700)]
    valid = 0
    reasons = set()
    for mutant in drawn:
        body = json.dumps(mutant, indent=chance.choice([None, 1])).encode()
        found = validate_configuration(body)
        assert found == reference_verdict(body), body
        if isinstance(found, ValidConfiguration):
            valid += 1
            routes = sum(map(len, load_route_table(body).routes_by_host.values()))
            assert routes == sum(len(host["prefixes"]) for host in mutant["vhosts"])
        else:
            reasons.add(found.reason)
    assert valid > 60
    assert len(reasons) > 90


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        (("ver",), "c", "ver: is not eight hexadecimal digits"),
        (("limits",), None, "limits: Field may not be null."),
        (("svcs", 1, "name"), "s", "two services have the same name"),
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
            "route a: another route has the same name, or the same host and prefix",
        ),
        (("vhosts", 0, "prefixes", 1, "svc"), "u", "route b: service u is unknown"),
        (
            ("vhosts", 0, "prefixes", 1, "targetMs"),
            60_900,
            "route b: its targetMs exceeds its deadlineMs by a minute or more",
        ),
        (("vhosts", 0, "prefixes", 0, "split", 0, "svc"), "u", "route a: service u is unknown"),
        (("vhosts", 0, "prefixes", 0, "svc"), "s", "route a: it needs exactly one of svc and split"),
        (
            ("vhosts", 0, "prefixes", 1, "deadlineMs"),
            0,
            "vhosts.0.prefixes.1.deadlineMs: Must be greater than 0.",
        ),
        (("vhosts", 0, "prefixes", 1, "deadlineMs"), "900", None),
    ],
)
def test_verdicts_word_for_word(path: tuple[Any, ...], value: Any, reason: str | None) -> None:
    mutant = holder = copy.deepcopy(CONFIG)
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = value
    found = validate_configuration(json.dumps(mutant).encode())
    if reason is None:
        assert found == ValidConfiguration(12)
    else:
        assert isinstance(found, InvalidConfiguration)
        assert found.reason.startswith(reason)


def test_errors_are_reported_in_the_order_of_the_schemas_fields() -> None:
    assert validation.FIELD_KEYS == ["ver", "svcs", "limits", "vhosts"]


def test_fields_of_routes_that_nobody_knows_pass_and_are_named() -> None:
    document = json.loads(build_configuration(7, {"/a/": ("safe", "s"), "/b/": ("unsafe", "s")}))
    routes = [route for host in document["vhosts"] for route in host["prefixes"]]
    routes[0]["dedlineMs"] = 5
    routes[1] |= {"sessions": "cookie", "prio": "1"}  # not of the plain form
    checked = validate_configuration(json.dumps(document).encode())
    assert isinstance(checked, ValidConfiguration)
    assert checked.unknown_fields == ("dedlineMs", "sessions")
    plain = validate_configuration(build_configuration(7, {"/a/": ("safe", "s")}))
    assert isinstance(plain, ValidConfiguration)
    assert plain.unknown_fields == ()
