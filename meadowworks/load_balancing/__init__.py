"""The decision module in a junction: one `rules.Controller` a service, and the host that it acts through."""
