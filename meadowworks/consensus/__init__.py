"""Consensus of the control-plane replicas on the configuration and the membership, without I/O or a clock.

Each version of the configuration is a single-decree Paxos instance: a value is chosen once a majority of an
epoch's members have accepted it under one ballot, and only then is it acknowledged or applied. The next
membership is chosen in the same way, as version 0 of each epoch. A membership change stops the old epoch,
transfers its state and starts the next epoch (`reconfiguration`).

Reading order: `values`, `messages`, `acceptor`, `proposer`, `quorum_read`, `reconfiguration`, `replica`.

Sources: L. Lamport, "Paxos Made Simple" (2001), for one version; L. Lamport, D. Malkhi, L. Zhou, "Stoppable
Paxos" (2008) and "Reconfiguring a State Machine" (2010), for stop, transfer and restart of an epoch.
"""
