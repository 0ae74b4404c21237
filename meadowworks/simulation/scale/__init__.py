"""`lab scale`: simulates hundreds of the gateway's programs in one process and measures each role's cost.

The programs consist of the product's own state machines and codecs, without sockets, disks or requests, in
simulated time. `simulation` runs one deployment, `series` runs several, and `report` tabulates their results.
"""
