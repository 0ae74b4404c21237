"""Peer discovery and the exchange of updates between control-plane nodes and proxies. No I/O, no clock.

- ``updates``: versioned updates by source, reconciled with version vectors (anti-entropy);
- ``peer_sampling``: a bounded partial view of the peers, shuffled between neighbours;
- ``messages``: pull requests and replies and their encoding.
"""
