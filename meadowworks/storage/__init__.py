"""Durable storage of a control-plane replica: acceptor state, backend hints and drain records."""
