"""Exhaustive model checking of the product's state machines in small worlds.

The product does not depend on this package. `models` builds worlds around the state machines, `explorer`
visits every state, `liveness` finds obligations that stay pending forever, and `seeded_faults` removes guards
of the product to check that the properties detect it.
"""
