"""How controllers know each other and get each other's news. No I/O, no clock of its own.

`news`: what each source says, pulled by a vector of versions. `members`: a partial view, shuffled.
"""
