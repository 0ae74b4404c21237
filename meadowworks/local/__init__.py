"""A small gateway on this machine: for a newcomer's first look, and for tests over loopback."""
