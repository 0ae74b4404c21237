"""A small gateway on this machine, for a first trial and for tests over loopback."""
