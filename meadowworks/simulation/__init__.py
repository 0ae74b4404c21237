"""A laboratory in simulated time: stand-in servers, proxies, channels and discovery round the product's own
controllers. It decides nothing that a controller decides, and nothing of the product imports it."""
