"""`lab scale`: programs of the gateway by the hundred in one process, and what each role costs as they grow.

The programs are made of the product's own state machines and codecs, without sockets, disks or requests; time
is simulated. `simulation` plays a deployment, `series` plays many, `report` tabulates what they measured.
"""
