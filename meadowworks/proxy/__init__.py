"""The program that carries traffic: a thin shell round the points, carriages and the telegraph."""
