"""Tests that seeded faults use only names that exist in the product.

A fault with an outdated name raises a NameError instead of causing the failure that it represents.
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
CONTAINER_METHODS = {"extend", "setdefault"}  # methods of built-in containers that only faults use
PRODUCT = Path(meadowworks.__file__).parent


@pytest.fixture(scope="module")
def product_names() -> set[str]:
    """Every name in the product's sources, except in the seeded faults."""
    paths = [path for path in PRODUCT.rglob("*.py") if path.parent.name != "seeded_faults"]
    return {name for path in paths for name in NAMES.findall(path.read_text(encoding="utf-8"))}


@pytest.mark.parametrize("fault", SEEDED_FAULTS, ids=lambda fault: fault.name)
def test_replacement_uses_only_existing_names(fault: SeededFault, product_names: set[str]) -> None:
    source = inspect.getsource(sys.modules[target_function(fault.target).__module__])
    replacement = STRINGS.sub("", fault.replacement)
    names_in_module = {*NAMES.findall(source), *keyword.kwlist, *dir(builtins)}
    assert set(BARE_NAMES.findall(replacement)) <= names_in_module
    assert set(ATTRIBUTES.findall(replacement)) <= product_names | CONTAINER_METHODS
