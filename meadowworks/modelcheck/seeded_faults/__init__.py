"""Seeded faults, one module per area of the product; `meadowworks.modelcheck.catalog` combines them."""
