"""How control-plane nodes and proxies know each other and exchange updates, free of I/O and clocks.

- ``updates``: versioned updates by source, reconciled by version vectors (anti-entropy);
- ``peer_sampling``: a bounded partial view of the peers, shuffled between neighbours;
- ``messages``: the pull request and its reply, and their encoding.
"""
