"""Exhaustive model checking of the product's own state machines in small worlds.

It decides nothing about the product: `models` put the machines into worlds, `explorer` visits every state,
`liveness` looks for what is never answered, and `seeded_faults` take guards out to see that properties break.
"""
