"""Which backends there are, as lives. No I/O, no clock.

`beats` decides what a signalbox says of those that call it; `lives` folds what all say into one list.
"""
