"""Explores the product's own machines exhaustively in small worlds, and says which property breaks, and how.

It decides nothing about the product: models put the machines into worlds, `explore` visits every state,
`live` looks for what is never answered, `faults` takes guards out to see that the properties can fail.
"""
