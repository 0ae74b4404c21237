"""The simulator's wire as a host of the decision module."""
