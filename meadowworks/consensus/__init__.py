"""Agreement of the control-plane replicas on the configuration and on who is a member. No I/O and no clock.

Each version of the configuration is a single-decree Paxos instance: a value is chosen once a majority of an
epoch's members have accepted it under one ballot, and only then is it acknowledged or put in force. Who is a
member is agreed on in the same way, as version 0 of each epoch; a change of members stops the old epoch,
transfers what it held, and starts the next one (`reconfiguration`).

Read in this order: `values`, `messages`, `acceptor`, `proposer`, `quorum_read`, `reconfiguration`, `replica`.

Sources: L. Lamport, "Paxos Made Simple" (2001), for one version; L. Lamport, D. Malkhi, L. Zhou, "Stoppable
Paxos" (2008) and "Reconfiguring a State Machine" (2010), for stop, transfer and restart of an epoch.
"""
