"""`meadowworks lab`: measurements of the product's own machines, without a bench."""

from __future__ import annotations

from typing import Annotated

from cappa import Arg

from meadowworks.commands import Bad
from meadowworks.lab import cost


def lab(what: Annotated[str, Arg(help="cost: of joins, reports, ticks, routes, at two sizes")]) -> int:
    """Measures the product's machines, as ratios within one run."""
    if what != "cost":
        raise Bad(f"there is no measurement {what!r}: there is cost")
    return cost.main()
