"""Simulations of the product's own state machines, in simulated time.

`control` runs control planes under losses, `scale` a deployment of hundreds of programs, and `fleet` the
fleet controller with simulated proxies and servers. The simulations contain no logic of the product, and the
product doesn't import them.
"""
