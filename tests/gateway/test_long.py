"""Long work in steps: the verdicts are the schema's own, the values the library's, others have their turn."""

from __future__ import annotations

import asyncio
import copy
import itertools
import json
import random
import time
import zlib
from typing import Any

import pytest
from marshmallow import ValidationError

from meadowworks.config import incremental_json, validation
from meadowworks.config.incremental_json import parse_steps
from meadowworks.config.route_table import load_route_table, load_route_table_steps
from meadowworks.config.schema import ConfigurationSchema
from meadowworks.config.validation import (
    InvalidConfiguration,
    ValidConfiguration,
    route_error,
    validate_configuration,
    validation_steps,
)
from meadowworks.runtime import cooperative
from meadowworks.runtime.compression import compress_steps, decompress_steps
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.schema_support import first_error
from meadowworks.runtime.steps import run_to_completion
from tests.gateway.test_state import mutants

ROUTE = {"name": "a", "prefix": "/a/", "type": "safe", "deadlineMs": 900, "targetMs": 200.5, "prio": 1}
CONFIG: dict[str, Any] = {
    "ver": "0000000c",
    "svcs": [{"name": "s", "healthPath": "/h", "maxConns": 9, "tls": False}, {"name": "t"}],
    "limits": {"maxHeaderBytes": 9, "maxBodyBytes": 9, "headerTimeoutMs": 9, "idleTimeoutMs": 9},
    "vhosts": [
        {
            "host": "One.example",
            "prefixes": [
                {**ROUTE, "split": [{"svc": "s", "weight": 9}, {"svc": "t", "weight": 0.5}], "tries": 2},
                {**ROUTE, "name": "b", "prefix": "/a/b/", "type": "unsafe", "svc": "t"},
            ],
        },
        {"host": "two.example", "prefixes": [{**ROUTE, "name": "c", "svc": "s", "more": [{}]}]},
    ],
}


def plain(body: bytes) -> ValidConfiguration | InvalidConfiguration:
    """The check as it was: the schema reads all, then what it can't see is looked for."""
    try:
        nested = json.loads(body)
    except (ValueError, RecursionError):
        return InvalidConfiguration("it cannot be read whole")
    try:
        found = ConfigurationSchema().load(nested)
    except ValidationError as trouble:
        return InvalidConfiguration(first_error(trouble.messages))
    services = [s["name"] for s in found["services"]]
    if len(set(services)) < len(services):
        return InvalidConfiguration("a service stands there twice")
    seen: set[tuple[str, str]] = set()
    names: set[str] = set()
    for host in found["hosts"]:
        for route in host["prefixes"]:
            if why := route_error(route, set(services)):
                return InvalidConfiguration(f"route {route.name}: {why}")
            place = (host["host"].lower(), route.prefix)
            if place in seen or route.name in names:
                return InvalidConfiguration(f"route {route.name}: its name or its place is another's too")
            seen.add(place)
            names.add(route.name)
    return ValidConfiguration(int(found["version"], 16))


ODD: tuple[Any, ...] = (
    *(0, 0.0, -0.0, 1e999, -1, 1e-9, 60_900, 60_899.9, 10**400, 1e15, 2**70, float("nan")),
    *("2", "x", "", " ", "/", "/a/", "a", "s", "t", "safe", "ONE.example", "0000000C", "0000000c\n"),
    *(None, True, False, [], {}, [[]], [None]),
    *([{"svc": "s", "weight": w}] for w in (0, "1", True, -1, 1e999)),
)


def odd(chance: random.Random, value: Any) -> Any:
    """What may stand in a value's place: figures at the bounds, other kinds, what is another's."""
    return chance.choice([*ODD, value, [value], [value, value], {"a": value}])


def places(whole: Any) -> list[tuple[Any, Any]]:
    rows = list(whole.items()) if isinstance(whole, dict) else list(enumerate(whole))
    inner = [p for _, v in rows if isinstance(v, dict | list) for p in places(v)]
    return [(whole, key) for key, _ in rows] + inner


@pytest.mark.parametrize("window", [4, 90, 8192])
def test_the_verdict_on_a_mutated_configuration_is_the_schemas_own(
    window: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(incremental_json, "WINDOW_CHARS", window)
    chance, valid, whys = random.Random(window), 0, set()
    drawn = [mutant for _, mutant in mutants(CONFIG)]
    for _ in range(700):
        drawn.append(copy.deepcopy(CONFIG))
        for _ in range(chance.choice([1, 1, 1, 2, 3])):  # more at once: which of them is named
            holder, key = chance.choice(places(drawn[-1]))
            if chance.random() < 0.2:
                del holder[key]
            else:
                holder[key] = odd(chance, holder[key])
            if not drawn[-1]:
                break
    for mutant in drawn:
        body = json.dumps(mutant, indent=chance.choice([None, 1])).encode()
        found = validate_configuration(body)
        assert found == plain(body), body
        if isinstance(found, ValidConfiguration):
            valid += 1
            assert sum(map(len, load_route_table(body).routes_by_host.values())) == sum(
                len(h["prefixes"]) for h in mutant["vhosts"]
            )
        else:
            whys.add(found.reason)
    assert valid > 60 and len(whys) > 90


@pytest.mark.parametrize(
    "at, value, why",
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
        (("vhosts", 0, "prefixes", 1, "name"), "a", "route a: its name or its place is another's too"),
        (("vhosts", 0, "prefixes", 1, "svc"), "u", "route b: service u is unknown"),
        (
            ("vhosts", 0, "prefixes", 1, "targetMs"),
            60_900,
            "route b: its targetMs lies a minute or more over its",
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
def test_verdicts_word_for_word(at: tuple[Any, ...], value: Any, why: str | None) -> None:
    mutant = holder = copy.deepcopy(CONFIG)
    for key in at[:-1]:
        holder = holder[key]
    holder[at[-1]] = value
    found = validate_configuration(json.dumps(mutant).encode())
    assert (
        found == ValidConfiguration(12)
        if why is None
        else isinstance(found, InvalidConfiguration) and found.reason.startswith(why)
    )


def test_a_text_read_in_steps_is_what_the_library_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    texts = [
        json.dumps(CONFIG).encode(),
        b' {"a" : [ ] , "b":{ },"c":[[[[]]]], "d":"x\\u00e9\\"}{,", "d":[1.5e3,-0,true,null,NaN]} ',
        '\ufeff[1, "\u4e2d", {"k": 12345678901234567890}]'.encode(),
        '["a",{}]'.encode("utf-16"),
        b"[" * 3000,
    ]
    chance, broken = random.Random(5), 0
    for turn in range(4000):
        monkeypatch.setattr(incremental_json, "WINDOW_CHARS", chance.choice([3, 9, 40]))
        text = bytearray(texts[turn % len(texts)])
        for _ in range(chance.randrange(3)):
            at = chance.randrange(len(text) or 1)
            kept = chance.choice(
                [text[at : at + 1], b"", chance.choice([b"{", b"}", b"]", b'"', b",", b":", b"\\", b"0"])]
            )
            text[at : at + chance.choice([0, 1])] = kept
            if chance.random() < 0.1:
                del text[at:]
        try:
            value = json.loads(bytes(text))
        except (ValueError, RecursionError):
            broken += 1
            with pytest.raises((ValueError, RecursionError)):
                run_to_completion(parse_steps(bytes(text)))
        else:
            assert repr(run_to_completion(parse_steps(bytes(text)))) == repr(value)
    assert 1000 < broken < 3500


def test_others_have_their_turn_while_a_large_configuration_is_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    routes = [{**ROUTE, "name": f"r{n}", "prefix": f"/{n}/", "svc": "s"} for n in range(1000)]
    body = json.dumps({**CONFIG, "vhosts": [{"host": "h", "prefixes": routes}]}).encode()
    packed = run_to_completion(compress_steps(body))
    assert zlib.decompress(packed) == body and run_to_completion(decompress_steps(packed, len(body))) == body
    for short in (packed[:-9], b"", packed[1:]):
        with pytest.raises(ValueError):
            run_to_completion(decompress_steps(short, len(body)))
    with pytest.raises(ValueError):
        run_to_completion(decompress_steps(packed, 1000))

    async def turns_while(work: Any) -> tuple[Any, int]:
        task, turns = asyncio.ensure_future(work), 0
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        return task.result(), turns

    async def whole() -> None:
        ticks = itertools.count()
        monkeypatch.setattr(time, "monotonic", lambda: next(ticks) * 0.002)  # a slice is two steps
        found, turns = await turns_while(run_cooperatively(validation_steps(body)))
        assert found == ValidConfiguration(12) and turns > 60
        table, turns = await turns_while(run_cooperatively(load_route_table_steps(body)))
        assert (
            table == load_route_table(body)
            and len(table.routes_by_host["h"]) == 1000
            and table.latency_targets_ms == {"s": 200.5}
            and turns > 60
        )
        found, turns = await turns_while(run_cooperatively(validation_steps(body[:-1])))
        assert found == InvalidConfiguration("it cannot be read whole")
        one = asyncio.Lock()
        alone = run_cooperatively(validation_steps(body), one), run_cooperatively(validation_steps(body), one)
        found, turns = await turns_while(asyncio.gather(*alone))
        assert found == [ValidConfiguration(12)] * 2 and turns > 70  # one after the other
        monkeypatch.setattr(cooperative, "TIME_SLICE_S", 60.0)
        found, turns = await turns_while(run_cooperatively(validation_steps(json.dumps(CONFIG).encode())))
        assert found == ValidConfiguration(12) and turns <= 2  # what is done within a slice waits for nobody

    asyncio.run(whole())
    assert validation.FIELD_KEYS == ["ver", "svcs", "limits", "vhosts"]
