"""Simulation: the real decision code between fakes, under virtual time."""
