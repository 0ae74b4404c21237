"""The service registry: which instances of backends there are, and in which state. No I/O, no clock.

- ``backend_state``: the states of an instance, and the value under which it is published;
- ``heartbeat_schema``: what a heartbeat's document must hold;
- ``heartbeats``: the instances that call one control-plane node;
- ``backends``: what all control-plane nodes publish, merged into one directory;
- ``drain_log``: drains that outlive a loss of power;
- ``zone_redirects``: which control-plane node a backend is asked to call instead.
"""
