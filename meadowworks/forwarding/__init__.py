"""One request from read to answered: attempts, time left, the budget of further tries, lines by life."""
