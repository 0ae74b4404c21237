"""Checks of coordination in simulated time: histories of calls, a judge of the rules, and seeded callers."""
