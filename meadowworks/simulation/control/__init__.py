"""`lab control`: fault-injection simulation of the product's control planes.

Each control plane is the product's `Replica` with its SQLite store. The disk below SQLite, the network,
time, the operators and the faults are simulated. A seed determines a scenario; `invariants` checks safety.
"""
