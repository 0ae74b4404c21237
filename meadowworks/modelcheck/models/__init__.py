"""The models by name. Each module here puts a machine of the product into a small world."""
