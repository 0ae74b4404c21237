"""The control plane's program: the configuration, the service registry and gossip, served over HTTP."""
