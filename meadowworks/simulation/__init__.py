"""The product's own state machines among simulated surroundings, in simulated time.

`control` plays control planes under losses, `scale` programs by the hundred, `fleet` the fleet controller
among stand-ins for proxies and servers. Nothing here decides what the product decides, and the product
imports nothing of it.
"""
