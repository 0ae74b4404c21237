"""`meadowworks local`: runs three control-plane nodes, two proxies and stub backends until Ctrl-C."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Annotated

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import call_node
from meadowworks.local.processes import PROJECT_ROOT, Process, running_backends, running_nodes
from meadowworks.local.system import (
    HOST_NAME,
    ZONES,
    Ports,
    SystemLayout,
    build_configuration,
    find_unavailable_address,
)

DEMO_ROUTES = {"/read/": ("safe", "lookup"), "/order/": ("unsafe", "orders")}
DEMO_SERVICES = ("lookup", "orders")
DEMO_SUBNET = 77
POLL_INTERVAL_S = 0.25  # between checks of the processes, and between attempts to put the configuration


def local(
    port: Annotated[
        int, Arg(long=True, help="the port for clients; the next three ports are used too")
    ] = 8480,
    seconds: Annotated[float, Arg(long=True, help="end after so many seconds; 0 runs until Ctrl-C")] = 0.0,
) -> int:
    """Start a small gateway with backends on loopback."""
    if not 1024 <= port <= 65000:
        raise CommandError("--port must be from 1024 to 65000")
    layout = SystemLayout(DEMO_SUBNET, Ports(port, port + 1, port + 2, port + 3))
    if reason := find_unavailable_address(layout.all_addresses()):
        raise CommandError(f"{reason}; end the process that listens there, or choose another --port")
    with running_nodes(layout) as processes:
        return asyncio.run(_serve(layout, processes, seconds))


def example_commands(layout: SystemLayout) -> list[str]:
    """Return example commands, to be run in the project's folder."""
    python = Path(sys.executable)
    program = python.relative_to(PROJECT_ROOT) if python.is_relative_to(PROJECT_ROOT) else python
    command = f"{program} -m meadowworks"
    control_plane, proxy = layout.ip_address(0), layout.proxy_addresses()[0].host
    ports = layout.ports
    return [
        f"curl -H 'Host: {HOST_NAME}' http://{proxy}:{ports.http}/read/x",
        f"{command} status {control_plane}:{ports.peer} --all",
        f"{command} members list {control_plane}:{ports.peer}",
        f"{command} backends {proxy}:{ports.peer}",
        f"{command} why lookup {proxy}:{ports.peer}",
        f"{command} config get {control_plane}:{ports.control}",
    ]


async def _serve(layout: SystemLayout, processes: list[Process], seconds: float) -> int:
    """Run the backends until a process ends or the time is over; put the configuration once.

    :param seconds: 0 for no time limit.
    :returns: the highest exit status of the processes that have ended.
    """
    end = time.monotonic() + seconds if seconds else float("inf")
    configured = False
    async with running_backends(layout, DEMO_SERVICES, list(ZONES)):
        while time.monotonic() < end and all(process.poll() is None for process in processes):
            await asyncio.sleep(POLL_INTERVAL_S)
            if not configured and await put_configuration(layout):
                configured = True
                _print_welcome(layout)
    return max((process.poll() or 0) for process in processes)


async def put_configuration(layout: SystemLayout) -> bool:
    """Put the demo configuration.

    :returns: whether the control plane has accepted it.
    """
    host, port = layout.control_addresses()[0]
    body = build_configuration(1, DEMO_ROUTES)
    try:
        response = await asyncio.to_thread(call_node, f"{host}:{port}", b"POST", b"/api/Config.Replace", body)
    except CommandError:
        return False
    return response.status == 200


def _print_welcome(layout: SystemLayout) -> None:
    addresses = " or ".join(f"{host}:{port}" for host, port in layout.proxy_addresses())
    commands = "\n".join(f"  {command}" for command in example_commands(layout))
    print(f"the gateway serves at {addresses}; try, in this folder:\n{commands}", flush=True)
    print("press Ctrl-C to stop", flush=True)
