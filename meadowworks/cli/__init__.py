"""The operators' words of the command line."""
