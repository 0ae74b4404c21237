"""The command line for operators; each command has a module."""
