"""Load balancing in a proxy: a policy controller for each service, and the load reports that it uses."""
