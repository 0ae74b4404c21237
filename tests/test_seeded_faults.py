"""Seeded faults speak of what the product has.

A fault whose text holds a name that was renamed raises a NameError, which is not the failure it stands for.
"""

from __future__ import annotations

import builtins
import inspect
import keyword
import re
import sys

import pytest

from meadowworks.modelcheck.fault import SeededFault, target_function
from meadowworks.modelcheck.faults import FAULTS

STRINGS = re.compile(r"\"[^\"]*\"|'[^']*'")
NAMES = re.compile(r"\b[A-Za-z_]\w*\b")
CONTAINER_METHODS = {"extend", "setdefault"}  # of built-in containers; used by faults alone


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_what_a_fault_puts_in_names_only_what_the_module_has(fault: SeededFault) -> None:
    source = inspect.getsource(sys.modules[target_function(fault.at).__module__])
    known = {*NAMES.findall(source), *keyword.kwlist, *dir(builtins), *CONTAINER_METHODS}
    assert set(NAMES.findall(STRINGS.sub("", fault.now))) <= known
