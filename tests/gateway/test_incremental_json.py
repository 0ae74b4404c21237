"""`config.incremental_json`: a text that is read in steps has the value that the library reads."""

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
MARKS = (b"{", b"}", b"]", b'"', b",", b":", b"\\", b"0")


def mutate(chance: random.Random, text: bytearray) -> None:
    """Change none, one or two characters, and sometimes drop the rest."""
    for _ in range(chance.randrange(3)):
        at = chance.randrange(len(text) or 1)
        put = chance.choice([text[at : at + 1], b"", chance.choice(MARKS)])
        text[at : at + chance.choice([0, 1])] = put
        if chance.random() < 0.1:
            del text[at:]


def test_a_text_read_in_steps_is_what_the_library_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    chance = random.Random(5)
    broken = 0
    for turn in range(4000):
        monkeypatch.setattr(incremental_json, "WINDOW_CHARS", chance.choice([3, 9, 40]))
        text = bytearray(TEXTS[turn % len(TEXTS)])
        mutate(chance, text)
        body = bytes(text)
        try:
            value = json.loads(body)
        except (ValueError, RecursionError):
            broken += 1
            with pytest.raises((ValueError, RecursionError)):
                run_to_completion(parse_json_steps(body))
        else:
            assert repr(run_to_completion(parse_json_steps(body))) == repr(value)
    assert 1000 < broken < 3500
