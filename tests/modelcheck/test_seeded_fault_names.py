"""Seeded faults speak of what the product has.

A fault whose text holds a name that was renamed raises a NameError, which is not the failure it stands for.
"""

from __future__ import annotations

import builtins
import inspect
import keyword
import re
import sys
from pathlib import Path

import pytest

import meadowworks
from meadowworks.modelcheck.catalog import SEEDED_FAULTS
from meadowworks.modelcheck.seeded_fault import SeededFault, target_function

STRINGS = re.compile(r"\"[^\"]*\"|'[^']*'")
NAMES = re.compile(r"\b[A-Za-z_]\w*\b")
BARE_NAMES = re.compile(r"(?<![\w.])[A-Za-z_]\w*\b")
ATTRIBUTES = re.compile(r"\.([A-Za-z_]\w*)\b")
CONTAINER_METHODS = {"extend", "setdefault"}  # of built-in containers; used by faults alone
PRODUCT = Path(meadowworks.__file__).parent


@pytest.fixture(scope="module")
def product_names() -> set[str]:
    """Every name in the product's sources, the tables of faults left out."""
    paths = [path for path in PRODUCT.rglob("*.py") if path.parent.name != "seeded_faults"]
    return {name for path in paths for name in NAMES.findall(path.read_text(encoding="utf-8"))}


@pytest.mark.parametrize("fault", SEEDED_FAULTS, ids=lambda fault: fault.name)
def test_what_a_fault_puts_in_names_only_what_there_is(fault: SeededFault, product_names: set[str]) -> None:
    source = inspect.getsource(sys.modules[target_function(fault.target).__module__])
    replacement = STRINGS.sub("", fault.replacement)
    in_module = {*NAMES.findall(source), *keyword.kwlist, *dir(builtins)}
    assert set(BARE_NAMES.findall(replacement)) <= in_module
    assert set(ATTRIBUTES.findall(replacement)) <= product_names | CONTAINER_METHODS
