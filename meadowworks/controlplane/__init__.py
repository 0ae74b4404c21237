"""The control-plane program, which serves the configuration, the backend registry and gossip over HTTP."""
