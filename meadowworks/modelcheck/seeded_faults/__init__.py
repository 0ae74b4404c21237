"""Seeded faults, a table a model; `meadowworks.modelcheck.faults` joins them."""
