"""The real controller: the decision module on sockets, an actor for each peer and job."""
