"""`config.incremental_json`: the result of the incremental parser equals that of `json.loads`."""

from __future__ import annotations

import json
import random

import pytest

from meadowworks.config import incremental_json
from meadowworks.config.incremental_json import parse_json_steps
from meadowworks.runtime.steps import run_to_completion
from tests.gateway.configurations import CONFIG

TEXTS = (
    json.dumps(CONFIG).encode(),
    b' {"a" : [ ] , "b":{ },"c":[[[[]]]], "d":"x\\u00e9\\"}{,", "d":[1.5e3,-0,true,null,NaN]} ',
    '\ufeff[1, "\u4e2d", {"k": 12345678901234567890}]'.encode(),
    '["a",{}]'.encode("utf-16"),
    b"[" * 3000,
)
TOKENS = (b"{", b"}", b"]", b'"', b",", b":", b"\\", b"0")


def mutate(rng: random.Random, text: bytearray) -> None:
    """Change up to two characters, and sometimes truncate the text."""
    for _ in range(rng.randrange(3)):
        position = rng.randrange(len(text) or 1)
        inserted = rng.choice([text[position : position + 1], b"", rng.choice(TOKENS)])
        text[position : position + rng.choice([0, 1])] = inserted
        if rng.random() < 0.1:
            del text[position:]


def test_parsing_in_steps_yields_the_value_of_json_loads(monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(5)
    invalid = 0
    for iteration in range(4000):
        monkeypatch.setattr(incremental_json, "WINDOW_CHARS", rng.choice([3, 9, 40]))
        text = bytearray(TEXTS[iteration % len(TEXTS)])
        mutate(rng, text)
        body = bytes(text)
        try:
            value = json.loads(body)
        except (ValueError, RecursionError):
            invalid += 1
            with pytest.raises((ValueError, RecursionError)):
                run_to_completion(parse_json_steps(body))
        else:
            assert repr(run_to_completion(parse_json_steps(body))) == repr(value)
    assert 1000 < invalid < 3500
