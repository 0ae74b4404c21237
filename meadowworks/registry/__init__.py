"""The service registry: the backend instances and their states. No I/O, no clock.

- ``backend_state``: the states of an instance and its published value;
- ``heartbeat_schema``: the schema of a heartbeat document;
- ``heartbeats``: the instances that send their heartbeats to one control-plane node;
- ``backends``: the directory of instances, merged from the reports of all control-plane nodes;
- ``drain_log``: drains and departures, stored durably on several disks;
- ``zone_redirects``: redirects of backends to a control-plane node of their own zone.
"""
