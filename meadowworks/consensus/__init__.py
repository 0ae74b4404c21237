"""The configuration: read and checked, held by a majority of disks, looked up by host and path.

No I/O and no clock. `register` decides which content a version has and when it is acknowledged.
"""
