"""`lab control`: the product's control planes under losses, in simulated time.

Each control plane is the product's `Replica` over its store on SQLite. Simulated are the disk below SQLite,
the network, time, operators and faults. A seed gives a scenario; `invariants` says what must never be seen.
"""
