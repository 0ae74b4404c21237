"""`meadowworks lab`: measurements of the product's own machines, without a bench."""

from __future__ import annotations

from typing import Annotated

from cappa import Arg

from meadowworks.commands import Bad
from meadowworks.lab import cost


def lab(
    what: Annotated[
        str, Arg(help="cost: of joins, reports, ticks, routes, at two sizes; control: days of losses")
    ],
    point: Annotated[int, Arg(long=True, help="control: of the letter, from 1")] = 1,
    seeds: Annotated[str, Arg(long=True, help="control: the days, A:B without B")] = "0:100",
    without: Annotated[str, Arg(long=True, help="control: a guard that is taken out")] = "",
    guards: Annotated[bool, Arg(long=True, help="control: list the guards")] = False,
    processes: Annotated[int, Arg(long=True, help="control: at once, 16 at most")] = 4,
    as_json: Annotated[bool, Arg(long="--json", help="control: one JSON object on standard output")] = False,
) -> int:
    """Measures the product's machines: as ratios within one run, or on days of losses in simulated time."""
    if what == "cost":
        return cost.main()
    if what != "control":
        raise Bad(f"there is no measurement {what!r}: there are cost and control")
    from meadowworks.lab import campaign  # needs apsw

    return campaign.main(point, seeds, without, guards, processes, as_json)
