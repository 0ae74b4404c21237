"""The command line for operators: a module a command."""
