"""Models that `meadowworks check` explores; each puts state machines of the product into a small world."""
